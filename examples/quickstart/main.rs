//! Runs a mesh in one process, puts it under load and prints a summary.
//!
//! The mesh consists of stand-ins for the platform and for the targets of both adopters, and of one
//! node beside each target, in three regions with two failure domains each. The last line printed
//! is one JSON object. The exit code is 0 only if the last version is active on every node, calls
//! were made, and each call was answered with status 200 by the right service and ran only once.
//!
//! With `--keep` the mesh keeps running until Ctrl-C. The first node then listens for calls at
//! 127.0.0.1:7401 and for operators at 127.0.0.1:7404, as the tour in the README expects.

mod load;
mod mesh;

use std::process::ExitCode;
use std::time::{Duration, Instant};

use agatedeck::read_record_file;
use agatedeck_wire::{Change, RecordWrite};
use miette::{IntoDiagnostic, Result, WrapErr, miette};
use serde::Serialize;

use load::{LoadStatistics, generate_load};
use mesh::LocalMesh;

/// Maximum time from sending a change until its version is active on every node.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(7);

/// Time for which load is generated.
const LOAD_DURATION: Duration = Duration::from_secs(3);

/// Time from the start of the load to the change of a policy.
const CHANGE_DELAY: Duration = Duration::from_secs(1);

const LOTUSMERE_RECORDS: &str = include_str!("../records/lotusmere.toml");
const ABEBE_RECORDS: &str = include_str!("../records/abebe.toml");

/// Summary of a run, printed as the last line. The field names are the keys of its JSON object.
#[derive(Debug, Serialize)]
struct RunSummary {
    version: u64,
    nodes: usize,
    /// Nodes on which `version` is active.
    nodes_in_force: usize,
    /// Time from sending the last change until its version was active on every node.
    convergence_ms: f64,
    calls: u64,
    calls_answered: u64,
    /// Calls that were not answered by a target with status 200.
    calls_lost: u64,
    /// Answered calls whose answer is for another request or service.
    calls_wrong: u64,
    /// Requests that ran more than once.
    calls_doubled: u64,
    control_bytes: u64,
    cross_region_control_bytes: u64,
}

impl RunSummary {
    /// Whether the run succeeded, as the exit code reports it.
    fn has_passed(&self) -> bool {
        let failed_calls = self.calls_lost + self.calls_wrong + self.calls_doubled;
        self.nodes_in_force == self.nodes && failed_calls == 0 && self.calls > 0
    }
}

#[tokio::main]
async fn main() -> Result<ExitCode> {
    let keep = parse_keep_flag()?;
    let mesh = LocalMesh::start(keep).await?;
    println!(
        "started {} nodes in 3 regions with 2 failure domains each",
        mesh.nodes.len()
    );
    let mut version = 0;
    for (adopter, text) in [("lotusmere", LOTUSMERE_RECORDS), ("abebe", ABEBE_RECORDS)] {
        let (accepted, convergence_time) =
            commit_and_wait(&mesh, adopter, parse_record_writes(text)?).await?;
        println!(
            "records of {adopter}: version {accepted}, \
             active on every node after {convergence_time:?}"
        );
        version = accepted;
    }
    println!("generating load for {LOAD_DURATION:?}");
    let (statistics, changed) = tokio::join!(
        generate_load(&mesh, LOAD_DURATION),
        change_policy_under_load(&mesh)
    );
    let (accepted, convergence_time) = changed?;
    println!(
        "changed a policy under load: version {accepted}, \
         active on every node after {convergence_time:?}"
    );
    let summary = build_summary(&mesh, version.max(accepted), convergence_time, &statistics).await;
    print_statistics(&statistics);
    println!("{}", serde_json::to_string(&summary).into_diagnostic()?);
    if keep {
        println!(
            "mesh keeps running until Ctrl-C: calls at 127.0.0.1:7401, operators at 127.0.0.1:7404"
        );
        tokio::signal::ctrl_c().await.into_diagnostic()?;
    }
    mesh.shutdown().await;
    Ok(if summary.has_passed() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

/// Parses the command line and returns whether it has the flag `--keep`.
fn parse_keep_flag() -> Result<bool> {
    let mut parser = lexopt::Parser::from_env();
    let mut keep = false;
    while let Some(argument) = parser.next().into_diagnostic()? {
        match argument {
            lexopt::Arg::Long("keep") => keep = true,
            other => return Err(other.unexpected()).into_diagnostic(),
        }
    }
    Ok(keep)
}

/// Parses a record file into writes with base revision 0, which create the records.
fn parse_record_writes(text: &str) -> Result<Vec<RecordWrite>> {
    let records =
        read_record_file("records", text).map_err(|diagnostics| miette!("{diagnostics}"))?;
    Ok(records.iter().map(|record| record.to_write(0)).collect())
}

/// Commits a change at the first node and waits until its version is active on every node. Returns
/// the version and the time that this took.
async fn commit_and_wait(
    mesh: &LocalMesh,
    change_id: &str,
    writes: Vec<RecordWrite>,
) -> Result<(u64, Duration)> {
    let change = Change {
        change_id: change_id.to_owned(),
        operator: "quickstart".to_owned(),
        writes,
        insist: false,
    };
    let sent_at = Instant::now();
    let version = mesh.commit_change(&change).await?;
    let activations = mesh.nodes.iter().map(|node| node.wait_for_version(version));
    let all_nodes = futures::future::join_all(activations);
    tokio::time::timeout(CONVERGENCE_TIMEOUT, all_nodes)
        .await
        .into_diagnostic()
        .wrap_err_with(|| {
            format!("version {version} is not active on every node after {CONVERGENCE_TIMEOUT:?}")
        })?;
    Ok((version, sent_at.elapsed()))
}

/// Raises the timeout of the policy `search` while load is generated.
async fn change_policy_under_load(mesh: &LocalMesh) -> Result<(u64, Duration)> {
    tokio::time::sleep(CHANGE_DELAY).await;
    let records = LOTUSMERE_RECORDS.replace("timeout_ms = 800", "timeout_ms = 900");
    let writes = parse_record_writes(&records)?.into_iter();
    let mut writes: Vec<RecordWrite> = writes
        .filter(|write| {
            write
                .name
                .as_ref()
                .is_some_and(|name| name.name == "search")
        })
        .collect();
    for write in &mut writes {
        write.base_revision = 1;
    }
    commit_and_wait(mesh, "longer-search", writes).await
}

async fn build_summary(
    mesh: &LocalMesh,
    version: u64,
    convergence_time: Duration,
    statistics: &LoadStatistics,
) -> RunSummary {
    let nodes_in_force = mesh
        .nodes
        .iter()
        .filter(|node| node.version() == Some(version))
        .count();
    let bytes = mesh.nodes.iter().map(agatedeck::Node::control_bytes);
    let (control_bytes, cross_region_control_bytes) = bytes.fold((0, 0), |(all, cross), bytes| {
        (all + bytes.all, cross + bytes.cross_region)
    });
    RunSummary {
        version,
        nodes: mesh.nodes.len(),
        nodes_in_force,
        convergence_ms: convergence_time.as_secs_f64() * 1_000.0,
        calls: statistics.calls,
        calls_answered: statistics.answered,
        calls_lost: statistics.calls - statistics.answered,
        calls_wrong: statistics.wrong,
        calls_doubled: mesh.count_repeated_requests().await,
        control_bytes,
        cross_region_control_bytes,
    }
}

fn print_statistics(statistics: &LoadStatistics) {
    println!("calls by outcome:");
    for (outcome, count) in &statistics.outcomes {
        println!("  {outcome}: {count}");
    }
    for (class, histogram) in &statistics.latencies_us {
        let latency = |quantile| Duration::from_micros(histogram.value_at_quantile(quantile));
        println!("  {class}: p50 {:?}, p99 {:?}", latency(0.5), latency(0.99));
    }
}
