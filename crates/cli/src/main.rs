//! `corkspan`: see the library beside it.

use std::process::ExitCode;

fn main() -> ExitCode {
    corkspan_cli::run(std::env::args_os())
}
