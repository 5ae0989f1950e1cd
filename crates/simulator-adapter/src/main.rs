//! Runs corkspan's scheduling engine on the simulator's protocol: reads lines, calls the engine
//! and writes its answers as lines.

#![warn(missing_docs, clippy::too_many_lines)]

mod decode;
mod error;
mod instance;
mod message;
mod reply;
mod session;

use error::InputError;
use message::InputLines;
use reply::ReplyLines;
use session::Session;
use std::io::{BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    match run(std::io::stdin().lock(), std::io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{}: {error}", env!("CARGO_PKG_NAME"));
            ExitCode::FAILURE
        }
    }
}

/// Processes batches until the input ends.
fn run(input: impl BufRead, mut output: impl Write) -> Result<(), InputError> {
    let mut session = Session::new();
    let mut lines = InputLines::new(input);
    let mut text = String::new();
    while let Some(tick) = lines.next_message()? {
        if tick.name != "TICK" {
            return Err(tick.unexpected());
        }
        let (us, turn): (u64, u64) = (tick.get("t-us")?, tick.get("turn")?);
        text.clear();
        let mut reply = ReplyLines(&mut text);
        session.run_batch(us, &mut lines, &mut reply)?;
        reply.end(turn);
        output.write_all(text.as_bytes())?;
        output.flush()?;
    }
    Ok(())
}
