//! Benchmarks of the system with real node processes over loopback.
//!
//! Each subcommand starts the processes that it measures, prints JSON lines and tables, and
//! terminates the processes. The benchmarks are not part of the product; their nodes run
//! `agatedeck_node::Node`.

mod arguments;
mod calls;
mod change_generator;
mod control_bytes;
mod convergence;
mod fleet;
mod node_command;
mod report;
mod simulated_fleet;
mod slopes;
mod statistics;

use std::process::ExitCode;

use miette::{IntoDiagnostic, Result, miette};
use tokio::signal::unix::{SignalKind, signal};

use arguments::{Invocation, parse_arguments};
use report::BenchReport;

const USAGE_ERROR_EXIT_CODE: u8 = 2;

fn main() -> ExitCode {
    let invocation = match parse_arguments(lexopt::Parser::from_env()) {
        Ok(invocation) => invocation,
        Err(error) => {
            eprintln!("agatedeck-bench: {error}; `--help` lists the options");
            return ExitCode::from(USAGE_ERROR_EXIT_CODE);
        }
    };
    let result = match invocation {
        Invocation::Print(text) => {
            print!("{text}");
            Ok(())
        }
        Invocation::Node(command) => node_command::run(&command),
        benchmark => run_until_signal(benchmark),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:?}");
            ExitCode::FAILURE
        }
    }
}

/// Runs a benchmark until it completes or a signal (SIGINT, SIGTERM) arrives. Dropping the
/// benchmark kills the processes that it started.
#[tokio::main]
async fn run_until_signal(invocation: Invocation) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).into_diagnostic()?;
    let mut interrupt = signal(SignalKind::interrupt()).into_diagnostic()?;
    tokio::select! {
        result = run_benchmark(invocation) => result,
        _ = terminate.recv() => Err(miette!("terminated")),
        _ = interrupt.recv() => Err(miette!("interrupted")),
    }
}

async fn run_benchmark(invocation: Invocation) -> Result<()> {
    match invocation {
        Invocation::Convergence(settings) => {
            let mut report = BenchReport::start("convergence", None, &settings)?;
            convergence::run(&settings, &mut report).await?;
            report.print_tables()
        }
        Invocation::ControlBytes(settings) => {
            let mut report = BenchReport::start("control-bytes", None, &settings)?;
            control_bytes::run(&settings, &mut report).await?;
            report.print_tables()
        }
        Invocation::Calls(settings) => {
            let mut report = BenchReport::start("calls", None, &settings)?;
            calls::run(&settings, &mut report).await?;
            report.print_tables()
        }
        Invocation::Slopes(settings) => {
            let mut report = BenchReport::start("slopes", Some(&settings.out), &settings)?;
            slopes::run(&settings, &mut report).await?;
            report.print_tables()
        }
        Invocation::Simulation(settings) => {
            let mut report = BenchReport::start("fleet", None, &settings)?;
            simulated_fleet::run(&settings, &mut report)?;
            report.print_tables()
        }
        Invocation::Print(_) | Invocation::Node(_) => Ok(()),
    }
}
