//! The `ragwortswitch` program.

use std::process::ExitCode;

fn main() -> ExitCode {
    ragwortswitch::run_command(std::env::args_os(), |peers| peers)
}
