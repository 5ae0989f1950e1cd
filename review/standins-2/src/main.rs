//! The cases of the second review. Each starts dispatchers as the deploy file says, plays clients,
//! nodes and the control feed, and exits with 1 if the rule was broken, 0 if it held, and 2 if the
//! case could not run.

mod cases;
mod client;
mod dispatcher;
mod feed;
mod node;
mod record;
mod sys;

use std::path::Path;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record_path] = &arguments[..] else {
        eprintln!("usage: corkspan-review-2 CASE RECORD");
        std::process::exit(2);
    };
    record::open(Path::new(record_path));
    // A case takes 120 s at most.
    std::thread::spawn(|| {
        record::sleep_ms(110_000);
        record::say("CAN'T RUN: it took too long");
        dispatcher::end_all();
        std::process::exit(2);
    });
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record::line(&format!("case {case}, with the disruption: {trouble}"));
    let result = std::panic::catch_unwind(|| cases::run(case, trouble));
    dispatcher::end_all();
    let code = match result {
        Ok(Ok(broken)) if broken.is_empty() => {
            record::say("HELD");
            0
        }
        Ok(Ok(broken)) => {
            for line in &broken {
                record::say(&format!("BROKEN: {line}"));
            }
            1
        }
        Ok(Err(error)) => {
            record::say(&format!("CAN'T RUN: {error}"));
            2
        }
        Err(_) => {
            record::say("CAN'T RUN: the stand-ins have panicked");
            2
        }
    };
    std::process::exit(code);
}
