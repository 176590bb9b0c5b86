//! The node daemon.

use std::path::PathBuf;
use std::process::ExitCode;

use agatedeck::{
    BAD_INPUT_EXIT_CODE, Node, NodeSettings, node_runtime, read_settings, run_daemon, start_logging,
};
use lexopt::prelude::*;
use log::LevelFilter;
use miette::{IntoDiagnostic, Result, WrapErr, miette};
use tokio::signal::unix::{SignalKind, signal};

const HELP: &str = "\
Runs the node beside a target.

Usage: agatedeck-node --config FILE [--check]

Options:
  --config FILE  settings in TOML; docs/OPERATIONS.md lists them
  --check        check the settings and exit
  --help         print this text
  --version      print the version

Exit codes:
  0  the node was stopped, or the settings are valid
  1  the node could not start
  2  the command line or the settings are invalid
";

/// Default number of worker threads. It is low because most of the host is left to the target;
/// measurements use the same number.
const DEFAULT_WORKER_THREADS: usize = 2;

struct Arguments {
    config: PathBuf,
    check: bool,
}

enum Invocation {
    Run(Arguments),
    Print(String),
}

fn parse_arguments() -> Result<Invocation, lexopt::Error> {
    let mut parser = lexopt::Parser::from_env();
    let (mut config, mut check) = (None, false);
    while let Some(argument) = parser.next()? {
        match argument {
            Long("config") => config = Some(PathBuf::from(parser.value()?)),
            Long("check") => check = true,
            Long("help") | Short('h') => return Ok(Invocation::Print(HELP.to_owned())),
            Long("version") => {
                let version = concat!("agatedeck-node ", env!("CARGO_PKG_VERSION"), "\n");
                return Ok(Invocation::Print(version.to_owned()));
            }
            other => return Err(other.unexpected()),
        }
    }
    let config = config.ok_or("`--config FILE` is missing")?;
    Ok(Invocation::Run(Arguments { config, check }))
}

fn main() -> ExitCode {
    let arguments = match parse_arguments() {
        Ok(Invocation::Run(arguments)) => arguments,
        Ok(Invocation::Print(text)) => {
            print!("{text}");
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("agatedeck-node: {error}\n\n{HELP}");
            return ExitCode::from(BAD_INPUT_EXIT_CODE);
        }
    };
    let check = arguments.check.then_some(arguments.config.as_path());
    run_daemon(read_settings(&arguments.config), check, run)
}

fn run(settings: NodeSettings) -> Result<()> {
    let worker_threads = settings.workers.unwrap_or(DEFAULT_WORKER_THREADS);
    let runtime = node_runtime(worker_threads).into_diagnostic()?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: NodeSettings) -> Result<()> {
    let level = settings.log_level.unwrap_or(LevelFilter::Info);
    start_logging(&settings.name, level).into_diagnostic()?;
    let mut terminate = signal(SignalKind::terminate()).into_diagnostic()?;
    let mut interrupt = signal(SignalKind::interrupt()).into_diagnostic()?;
    let node = Node::start(settings)
        .await
        .into_diagnostic()
        .wrap_err("the node did not start")?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = node.wait_for_failure() => return Err(miette!("an actor of the node has ended unexpectedly")),
    }
    node.shutdown().await;
    Ok(())
}
