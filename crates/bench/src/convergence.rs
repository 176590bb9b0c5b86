//! Measures the time from the acceptance of a change until it is active on every node.

use std::time::Duration;

use miette::Result;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use tokio::time::{Instant, sleep};

use crate::arguments::DEFAULT_WORKER_THREADS;
use crate::change_generator::ChangeGenerator;
use crate::fleet::{FleetSettings, NodeFleet};
use crate::report::BenchReport;
use crate::statistics::{TimeSummary, new_histogram};

/// Settings of the `convergence` benchmark.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct ConvergenceSettings {
    /// Node counts of the fleets.
    pub(crate) sizes: Vec<usize>,
    /// Dissemination policies.
    pub(crate) policies: Vec<String>,
    /// Number of changes per fleet under the policy `tree`.
    pub(crate) changes: usize,
    /// Number of changes per fleet under the policy `poll`; fewer, because each takes longer.
    pub(crate) poll_changes: usize,
    /// Number of configured services.
    pub(crate) services: usize,
    /// Mean pause between two changes, in milliseconds. Each pause is drawn uniformly from 0.5 to
    /// 1.5 times the mean, so that changes do not synchronise with polls.
    pub(crate) pause_ms: u64,
    /// Worker threads of each node.
    pub(crate) workers: usize,
    pub(crate) seed: u64,
}

impl Default for ConvergenceSettings {
    fn default() -> Self {
        Self {
            sizes: vec![6, 12, 24, 48, 96],
            policies: vec!["tree".to_owned(), "poll".to_owned()],
            changes: 100,
            poll_changes: 20,
            services: 4,
            pause_ms: 200,
            workers: DEFAULT_WORKER_THREADS,
            seed: 1,
        }
    }
}

/// JSON line with the result for one fleet size and policy.
#[derive(Debug, Serialize)]
struct ConvergenceResult<'a> {
    policy: &'a str,
    nodes: usize,
    changes: usize,
    seed: u64,
    /// Time from the start of the first process until all nodes served and saw each other alive.
    start_ms: u64,
    /// Time from the response of the accepting node until the change was active on the last node.
    from_acceptance: TimeSummary,
    /// Time from the request until the change was active on the last node.
    from_request: TimeSummary,
    /// Time from the response of the accepting node until the change was active, for each node;
    /// zero if it was active before the response arrived.
    each_node: TimeSummary,
    /// Time from the request to the response.
    acceptance: TimeSummary,
    /// Number of nodes on which the last version was active at the end.
    nodes_in_force: usize,
}

const CONVERGENCE_TABLE_TITLE: &str =
    "convergence in ms: `all`: from the response to the last node, `sent`: from the request";

const CONVERGENCE_TABLE_HEADER: [&str; 12] = [
    "policy",
    "nodes",
    "changes",
    "start",
    "all p50",
    "all p99",
    "all max",
    "sent p50",
    "sent p99",
    "node p50",
    "node p99",
    "accept p50",
];

/// Measures each fleet size under each policy.
///
/// # Errors
///
/// Fails if a fleet does not start, or a change is not accepted or not active on every node in
/// time.
pub(crate) async fn run(settings: &ConvergenceSettings, report: &mut BenchReport) -> Result<()> {
    for policy in &settings.policies {
        for size in &settings.sizes {
            let result = measure_fleet(settings, policy, *size).await?;
            report.write_record("result", &result)?;
            add_row(report, &result);
        }
    }
    Ok(())
}

fn add_row(report: &mut BenchReport, result: &ConvergenceResult<'_>) {
    let format_ms = |value: f64| format!("{value:.1}");
    let cells = vec![
        result.policy.to_owned(),
        result.nodes.to_string(),
        result.changes.to_string(),
        result.start_ms.to_string(),
        format_ms(result.from_acceptance.p50_ms),
        format_ms(result.from_acceptance.p99_ms),
        format_ms(result.from_acceptance.max_ms),
        format_ms(result.from_request.p50_ms),
        format_ms(result.from_request.p99_ms),
        format_ms(result.each_node.p50_ms),
        format_ms(result.each_node.p99_ms),
        format_ms(result.acceptance.p50_ms),
    ];
    report.add_row(CONVERGENCE_TABLE_TITLE, &CONVERGENCE_TABLE_HEADER, cells);
}

async fn measure_fleet<'a>(
    settings: &ConvergenceSettings,
    policy: &'a str,
    size: usize,
) -> Result<ConvergenceResult<'a>> {
    let mut rng = SmallRng::seed_from_u64(settings.seed);
    let started_at = Instant::now();
    let fleet_settings = FleetSettings::spread_over_regions(size, policy, settings.workers);
    let mut fleet = NodeFleet::start(fleet_settings).await?;
    let start_ms = u64::try_from(started_at.elapsed().as_millis()).unwrap_or(u64::MAX);
    let mut generator = ChangeGenerator::default();
    let first = generator.first_change(settings.services)?;
    let accepted = fleet.submit_change(0, &first.change).await?;
    fleet.wait_active(accepted.version).await?;

    let changes = if policy == "poll" {
        settings.poll_changes
    } else {
        settings.changes
    };
    let mut from_acceptance = new_histogram();
    let mut from_request = new_histogram();
    let mut each_node = new_histogram();
    let mut acceptance = new_histogram();
    for _ in 0..changes {
        let pause_ms = rng.random_range(settings.pause_ms / 2..=settings.pause_ms * 3 / 2);
        sleep(Duration::from_millis(pause_ms)).await;
        let prepared = generator.next_change()?;
        let node = rng.random_range(0..size);
        let accepted = fleet.submit_change(node, &prepared.change).await?;
        let activation_times_us = fleet.wait_active(accepted.version).await?;
        let last_active_us = activation_times_us
            .iter()
            .copied()
            .max()
            .unwrap_or_default();
        from_acceptance.saturating_record(last_active_us.saturating_sub(accepted.accepted_us));
        from_request.saturating_record(last_active_us.saturating_sub(accepted.sent_us));
        acceptance.saturating_record(accepted.accepted_us - accepted.sent_us);
        for active_us in activation_times_us {
            each_node.saturating_record(active_us.saturating_sub(accepted.accepted_us));
        }
    }
    let states = fleet.states().await?;
    let is_current = |version: u64| version == generator.version();
    Ok(ConvergenceResult {
        policy,
        nodes: size,
        changes,
        seed: settings.seed,
        start_ms,
        from_acceptance: TimeSummary::from_histogram(&from_acceptance),
        from_request: TimeSummary::from_histogram(&from_request),
        each_node: TimeSummary::from_histogram(&each_node),
        acceptance: TimeSummary::from_histogram(&acceptance),
        nodes_in_force: states
            .iter()
            .filter(|state| is_current(state.version))
            .count(),
    })
}
