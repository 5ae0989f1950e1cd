//! The `corkspan` program; see the library of this package.

use std::process::ExitCode;

fn main() -> ExitCode {
    corkspan_cli::run(std::env::args_os())
}
