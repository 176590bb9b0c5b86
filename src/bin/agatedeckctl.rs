//! Entry point of `agatedeckctl`, the operators' command line.

use std::process::ExitCode;

fn main() -> ExitCode {
    agatedeck_ctl::run_cli()
}
