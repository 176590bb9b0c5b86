//! Command-line parsing.

use std::ffi::OsString;
use std::str::FromStr;

use lexopt::prelude::*;

use crate::calls::CallSettings;
use crate::control_bytes::ControlBytesSettings;
use crate::convergence::ConvergenceSettings;
use crate::fleet::MAX_NODES;
use crate::node_command::NodeCommand;
use crate::simulated_fleet::SimulationSettings;
use crate::slopes::SlopeSettings;

/// Default number of worker threads per node; production hosts are small.
pub(crate) const DEFAULT_WORKER_THREADS: usize = 2;

/// Maximum arrival rate of a load.
const MAX_CALLS_PER_SECOND: u32 = 50_000;

/// Node counts of a simulated fleet: at least one node in each of its failure domains.
const SIMULATED_NODES: std::ops::RangeInclusive<usize> = 9..=3_000;

/// Parsed command line.
#[derive(Debug)]
pub(crate) enum Invocation {
    /// Prints a help text.
    Print(String),
    /// Runs one node; used for the processes of a fleet.
    Node(NodeCommand),
    Convergence(ConvergenceSettings),
    ControlBytes(ControlBytesSettings),
    Calls(CallSettings),
    Slopes(SlopeSettings),
    Simulation(SimulationSettings),
}

/// Parses the command line.
///
/// # Errors
///
/// Fails on a missing or unknown subcommand, an unknown option and an invalid value.
pub(crate) fn parse_arguments(mut parser: lexopt::Parser) -> Result<Invocation, lexopt::Error> {
    let Some(argument) = parser.next()? else {
        return Err("missing subcommand".into());
    };
    match argument {
        Value(name) => match name.to_str() {
            Some("convergence") => parse_convergence(parser),
            Some("control-bytes") => parse_control_bytes(parser),
            Some("calls") => parse_calls(parser),
            Some("slopes") => parse_slopes(parser),
            Some("fleet") => parse_simulation(parser),
            Some("node") => parse_node(parser),
            _ => Err(format!("unknown subcommand `{}`", name.to_string_lossy()).into()),
        },
        Long("help") | Short('h') => {
            Ok(help_invocation(include_str!("../help/agatedeck-bench.txt")))
        }
        other => Err(other.unexpected()),
    }
}

fn help_invocation(text: &str) -> Invocation {
    Invocation::Print(text.to_owned())
}

/// Parses a comma-separated list.
fn parse_list<T: FromStr>(value: &OsString) -> Result<Vec<T>, lexopt::Error>
where
    T::Err: std::error::Error + Send + Sync + 'static,
{
    let parts = value
        .to_str()
        .ok_or("the list is not valid UTF-8")?
        .split(',');
    let parts: Result<Vec<T>, T::Err> = parts.map(|part| part.trim().parse()).collect();
    parts.map_err(|error| lexopt::Error::Custom(Box::new(error)))
}

fn parse_sizes(value: &OsString) -> Result<Vec<usize>, lexopt::Error> {
    let sizes: Vec<usize> = parse_list(value)?;
    match sizes.iter().find(|size| !(2..=MAX_NODES).contains(*size)) {
        Some(size) => {
            Err(format!("fleet size {size} is not between 2 and {MAX_NODES} nodes").into())
        }
        None => Ok(sizes),
    }
}

fn parse_policies(value: &OsString) -> Result<Vec<String>, lexopt::Error> {
    let policies: Vec<String> = parse_list(value)?;
    let supported = ["tree", "poll"];
    match policies
        .iter()
        .find(|policy| !supported.contains(&policy.as_str()))
    {
        Some(policy) => Err(format!("unknown policy `{policy}`, expected `tree` or `poll`").into()),
        None => Ok(policies),
    }
}

/// Parses a number within `range`, which limits the size and duration of a run.
fn parse_bounded<T>(
    value: &OsString,
    range: std::ops::RangeInclusive<T>,
) -> Result<T, lexopt::Error>
where
    T: FromStr + PartialOrd + std::fmt::Display,
    T::Err: std::error::Error + Send + Sync + 'static,
{
    let number: T = value.parse()?;
    if range.contains(&number) {
        Ok(number)
    } else {
        let (start, end) = (range.start(), range.end());
        Err(format!("{number} is not between {start} and {end}").into())
    }
}

fn parse_node(mut parser: lexopt::Parser) -> Result<Invocation, lexopt::Error> {
    let (mut config, mut workers) = (None, DEFAULT_WORKER_THREADS);
    while let Some(argument) = parser.next()? {
        match argument {
            Long("config") => config = Some(parser.value()?.into()),
            Long("workers") => workers = parse_bounded(&parser.value()?, 1..=64)?,
            other => return Err(other.unexpected()),
        }
    }
    let config = config.ok_or("missing option `--config FILE`")?;
    Ok(Invocation::Node(NodeCommand { config, workers }))
}

fn parse_convergence(mut parser: lexopt::Parser) -> Result<Invocation, lexopt::Error> {
    let mut settings = ConvergenceSettings::default();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("sizes") => settings.sizes = parse_sizes(&parser.value()?)?,
            Long("policies") => settings.policies = parse_policies(&parser.value()?)?,
            Long("changes") => settings.changes = parse_bounded(&parser.value()?, 1..=10_000)?,
            Long("poll-changes") => {
                settings.poll_changes = parse_bounded(&parser.value()?, 1..=10_000)?;
            }
            Long("services") => settings.services = parse_bounded(&parser.value()?, 1..=1_000)?,
            Long("pause-ms") => settings.pause_ms = parse_bounded(&parser.value()?, 0..=60_000)?,
            Long("workers") => settings.workers = parse_bounded(&parser.value()?, 1..=64)?,
            Long("seed") => settings.seed = parser.value()?.parse()?,
            Long("help") | Short('h') => {
                return Ok(help_invocation(include_str!("../help/convergence.txt")));
            }
            other => return Err(other.unexpected()),
        }
    }
    Ok(Invocation::Convergence(settings))
}

fn parse_control_bytes(mut parser: lexopt::Parser) -> Result<Invocation, lexopt::Error> {
    let mut settings = ControlBytesSettings::default();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("sizes") => settings.sizes = parse_sizes(&parser.value()?)?,
            Long("policies") => settings.policies = parse_policies(&parser.value()?)?,
            Long("changes") => settings.changes = parse_bounded(&parser.value()?, 1..=10_000)?,
            Long("services") => settings.services = parse_bounded(&parser.value()?, 1..=1_000)?,
            Long("pause-ms") => settings.pause_ms = parse_bounded(&parser.value()?, 0..=60_000)?,
            Long("idle-ms") => settings.idle_ms = parse_bounded(&parser.value()?, 100..=600_000)?,
            Long("settle-ms") => settings.settle_ms = parse_bounded(&parser.value()?, 0..=600_000)?,
            Long("settle-per-node-ms") => {
                settings.settle_per_node_ms = parse_bounded(&parser.value()?, 0..=10_000)?;
            }
            Long("workers") => settings.workers = parse_bounded(&parser.value()?, 1..=64)?,
            Long("seed") => settings.seed = parser.value()?.parse()?,
            Long("help") | Short('h') => {
                return Ok(help_invocation(include_str!("../help/control-bytes.txt")));
            }
            other => return Err(other.unexpected()),
        }
    }
    Ok(Invocation::ControlBytes(settings))
}

fn parse_calls(mut parser: lexopt::Parser) -> Result<Invocation, lexopt::Error> {
    let mut settings = CallSettings::default();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("targets") => settings.targets = parse_bounded(&parser.value()?, 2..=50)?,
            Long("rates") => {
                settings.rates = parse_list(&parser.value()?)?;
                let rates = &settings.rates;
                if rates
                    .iter()
                    .any(|rate| !(1..=MAX_CALLS_PER_SECOND).contains(rate))
                {
                    return Err(format!(
                        "rates must be between 1 and {MAX_CALLS_PER_SECOND} calls per second"
                    )
                    .into());
                }
            }
            Long("load-ms") => settings.load_ms = parse_bounded(&parser.value()?, 40..=120_000)?,
            Long("deadline-ms") => {
                settings.deadline_ms = parse_bounded(&parser.value()?, 1..=10_000)?;
            }
            Long("work-ms") => settings.work_ms = parse_bounded(&parser.value()?, 1..=1_000)?,
            Long("failing-rate") => {
                settings.failing_rate = parse_bounded(&parser.value()?, 1..=MAX_CALLS_PER_SECOND)?;
            }
            Long("workers") => settings.workers = parse_bounded(&parser.value()?, 1..=64)?,
            Long("seed") => settings.seed = parser.value()?.parse()?,
            Long("help") | Short('h') => {
                return Ok(help_invocation(include_str!("../help/calls.txt")));
            }
            other => return Err(other.unexpected()),
        }
    }
    Ok(Invocation::Calls(settings))
}

/// Parses a comma-separated list of numbers within `range`.
fn parse_bounded_list<T>(
    value: &OsString,
    range: &std::ops::RangeInclusive<T>,
) -> Result<Vec<T>, lexopt::Error>
where
    T: FromStr + PartialOrd + std::fmt::Display,
    T::Err: std::error::Error + Send + Sync + 'static,
{
    let numbers: Vec<T> = parse_list(value)?;
    match numbers.iter().find(|number| !range.contains(number)) {
        Some(number) => Err(format!(
            "{number} is not between {} and {}",
            range.start(),
            range.end()
        )
        .into()),
        None => Ok(numbers),
    }
}

fn parse_simulation(mut parser: lexopt::Parser) -> Result<Invocation, lexopt::Error> {
    let mut settings = SimulationSettings::default();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("nodes") => {
                settings.sizes = parse_bounded_list(&parser.value()?, &SIMULATED_NODES)?;
            }
            Long("faults") => settings.faults = parse_list(&parser.value()?)?,
            Long("seeds") => settings.seeds = parse_bounded(&parser.value()?, 1..=100_000)?,
            Long("seed") => settings.seed = parser.value()?.parse()?,
            Long("jobs") => settings.jobs = parse_bounded(&parser.value()?, 1..=64)?,
            Long("trace") => settings.trace = true,
            Long("help") | Short('h') => {
                return Ok(help_invocation(include_str!("../help/fleet.txt")));
            }
            other => return Err(other.unexpected()),
        }
    }
    Ok(Invocation::Simulation(settings))
}

fn parse_slopes(mut parser: lexopt::Parser) -> Result<Invocation, lexopt::Error> {
    let mut settings = SlopeSettings::default();
    let mut out = None;
    while let Some(argument) = parser.next()? {
        match argument {
            Long("out") => out = Some(parser.value()?.into()),
            Long("sizes") => settings.sizes = parse_sizes(&parser.value()?)?,
            Long("services") => {
                settings.services = parse_bounded_list(&parser.value()?, &(1..=1_000))?;
            }
            Long("churn-rates") => {
                settings.churn_rates = parse_bounded_list(&parser.value()?, &(0.0..=10.0))?;
            }
            Long("change-rates") => {
                settings.change_rates = parse_bounded_list(&parser.value()?, &(0.0..=100.0))?;
            }
            Long("base-nodes") => {
                settings.base_nodes = parse_bounded(&parser.value()?, 2..=MAX_NODES)?;
            }
            Long("base-services") => {
                settings.base_services = parse_bounded(&parser.value()?, 1..=1_000)?;
            }
            Long("base-change-rate") => {
                settings.base_change_rate = parse_bounded(&parser.value()?, 0.0..=100.0)?;
            }
            Long("settle-ms") => settings.settle_ms = parse_bounded(&parser.value()?, 0..=600_000)?,
            Long("settle-per-node-ms") => {
                settings.settle_per_node_ms = parse_bounded(&parser.value()?, 0..=10_000)?;
            }
            Long("window-ms") => {
                settings.window_ms = parse_bounded(&parser.value()?, 100..=600_000)?;
            }
            Long("members") => {
                // At least 130 members, so that the view has several failure domains and every
                // service has at least one target.
                settings.members = parse_bounded_list(&parser.value()?, &(130..=20_000))?;
            }
            Long("decision-services") => {
                settings.decision_services = parse_bounded_list(&parser.value()?, &(1..=1_000))?;
            }
            Long("events") => settings.events = parse_bounded(&parser.value()?, 1..=1_000_000)?,
            Long("workers") => settings.workers = parse_bounded(&parser.value()?, 1..=64)?,
            Long("seed") => settings.seed = parser.value()?.parse()?,
            Long("help") | Short('h') => {
                return Ok(help_invocation(include_str!("../help/slopes.txt")));
            }
            other => return Err(other.unexpected()),
        }
    }
    settings.out = out.ok_or("missing option `--out DIR`")?;
    Ok(Invocation::Slopes(settings))
}
