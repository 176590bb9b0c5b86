//! Measures control traffic, store requests, CPU time and memory, idle and while changes are made.

use std::time::Duration;

use agatedeck_standin::PlatformCounters;
use miette::Result;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use tokio::time::{Instant, sleep};

use crate::arguments::DEFAULT_WORKER_THREADS;
use crate::change_generator::ChangeGenerator;
use crate::fleet::{FleetSettings, NodeFleet, ProcessUsage, SETTLE_PER_NODE_MS};
use crate::report::BenchReport;
use crate::statistics::{u64_to_f64, usize_to_f64};

/// Number of regions of each fleet.
const REGION_COUNT: u64 = 3;

/// Settings of the `control-bytes` benchmark.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct ControlBytesSettings {
    /// Node counts of the fleets.
    pub(crate) sizes: Vec<usize>,
    /// Dissemination policies.
    pub(crate) policies: Vec<String>,
    /// Number of changes per fleet.
    pub(crate) changes: usize,
    /// Number of configured services.
    pub(crate) services: usize,
    /// Pause after each change, in milliseconds.
    pub(crate) pause_ms: u64,
    /// Length of the idle window, in milliseconds.
    pub(crate) idle_ms: u64,
    /// Pause after the start, in milliseconds, until probes no longer carry the member updates of
    /// the start.
    pub(crate) settle_ms: u64,
    /// Additional pause per node, in milliseconds.
    pub(crate) settle_per_node_ms: u64,
    /// Worker threads of each node.
    pub(crate) workers: usize,
    pub(crate) seed: u64,
}

impl Default for ControlBytesSettings {
    fn default() -> Self {
        Self {
            sizes: vec![6, 12, 24, 48, 96],
            policies: vec!["tree".to_owned()],
            changes: 40,
            services: 4,
            pause_ms: 100,
            idle_ms: 10_000,
            settle_ms: 6_000,
            settle_per_node_ms: SETTLE_PER_NODE_MS,
            workers: DEFAULT_WORKER_THREADS,
            seed: 1,
        }
    }
}

/// Totals over all nodes at one instant.
#[derive(Clone, Debug)]
struct FleetTotals {
    taken_at: Instant,
    bytes: u64,
    cross_region_bytes: u64,
    store: PlatformCounters,
    usages: Vec<ProcessUsage>,
}

impl FleetTotals {
    async fn read(fleet: &NodeFleet) -> Result<Self> {
        let states = fleet.states().await?;
        Ok(Self {
            taken_at: Instant::now(),
            bytes: states.iter().map(|state| state.control_bytes).sum(),
            cross_region_bytes: states
                .iter()
                .map(|state| state.cross_region_control_bytes)
                .sum(),
            store: fleet.store_counters().await,
            usages: fleet.usages()?,
        })
    }
}

/// Mean rates over a window, computed from the totals at its start and end. Memory is that at its
/// end.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct WindowRates {
    pub(crate) seconds: f64,
    pub(crate) bytes_per_second: f64,
    pub(crate) cross_region_bytes_per_second: f64,
    pub(crate) bytes_per_node_second: f64,
    pub(crate) store_reads_per_second: f64,
    pub(crate) store_writes_per_second: f64,
    pub(crate) cpu_ms_per_node_second: f64,
    pub(crate) max_cpu_ms_per_second: f64,
    pub(crate) resident_kib_per_node: f64,
    pub(crate) max_resident_kib: u64,
    pub(crate) anonymous_kib_per_node: f64,
}

impl WindowRates {
    fn between(start: &FleetTotals, end: &FleetTotals) -> Self {
        let seconds = (end.taken_at - start.taken_at).as_secs_f64();
        let nodes = usize_to_f64(end.usages.len());
        let rate = |from: u64, to: u64| u64_to_f64(to.saturating_sub(from)) / seconds;
        let pairs = start.usages.iter().zip(&end.usages);
        let node_cpu_ms: Vec<u64> = pairs
            .map(|(from, to)| to.cpu_ms.saturating_sub(from.cpu_ms))
            .collect();
        let mean = |value: fn(&ProcessUsage) -> u64| {
            u64_to_f64(end.usages.iter().map(value).sum::<u64>()) / nodes
        };
        let bytes = rate(start.bytes, end.bytes);
        Self {
            seconds,
            bytes_per_second: bytes,
            cross_region_bytes_per_second: rate(start.cross_region_bytes, end.cross_region_bytes),
            bytes_per_node_second: bytes / nodes,
            store_reads_per_second: rate(start.store.reads, end.store.reads),
            store_writes_per_second: rate(start.store.writes, end.store.writes),
            cpu_ms_per_node_second: u64_to_f64(node_cpu_ms.iter().sum()) / seconds / nodes,
            max_cpu_ms_per_second: u64_to_f64(node_cpu_ms.iter().copied().max().unwrap_or(0))
                / seconds,
            resident_kib_per_node: mean(|usage| usage.resident_kib),
            max_resident_kib: end
                .usages
                .iter()
                .map(|usage| usage.resident_kib)
                .max()
                .unwrap_or(0),
            anonymous_kib_per_node: mean(|usage| usage.anonymous_kib),
        }
    }
}

/// Mean cost of one change, compared with the lower bound on the bytes that must be sent.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct ChangeCost {
    /// Size of the compressed change.
    pub(crate) compressed_bytes: f64,
    /// Control bytes while changes were made, less the idle traffic of the same duration.
    pub(crate) bytes: f64,
    /// `bytes` divided by its lower bound: the compressed change times the number of receivers.
    pub(crate) floor_ratio: f64,
    pub(crate) cross_region_bytes: f64,
    /// `cross_region_bytes` divided by its lower bound: the compressed change times the number of
    /// other regions.
    pub(crate) cross_region_floor_ratio: f64,
    pub(crate) store_reads: f64,
    pub(crate) store_writes: f64,
    /// CPU time, summed over all nodes, in milliseconds.
    pub(crate) cpu_ms: f64,
}

/// JSON line with the resource usage of one fleet, idle and while changes were made.
#[derive(Debug, Serialize)]
pub(crate) struct FleetUsage {
    pub(crate) policy: String,
    pub(crate) nodes: usize,
    pub(crate) changes: usize,
    pub(crate) services: usize,
    pub(crate) seed: u64,
    pub(crate) idle: WindowRates,
    pub(crate) changing: WindowRates,
    pub(crate) per_change: ChangeCost,
    pub(crate) nodes_in_force: usize,
}

const CHANGE_TABLE_TITLE: &str =
    "control bytes of one change; `x`: ratio to the lower bound, `cross`: between regions";
const CHANGE_TABLE_HEADER: [&str; 10] = [
    "policy",
    "nodes",
    "compressed",
    "bytes",
    "x",
    "cross",
    "x",
    "reads",
    "writes",
    "cpu ms all",
];
const IDLE_TABLE_TITLE: &str = "idle";
const IDLE_TABLE_HEADER: [&str; 9] = [
    "policy",
    "nodes",
    "B/s node",
    "cross B/s all",
    "reads/s",
    "writes/s",
    "cpu ms/s node",
    "max cpu ms/s",
    "rss KiB node",
];

/// Measures each fleet size under each policy.
pub(crate) async fn run(settings: &ControlBytesSettings, report: &mut BenchReport) -> Result<()> {
    for policy in &settings.policies {
        for size in &settings.sizes {
            let usage = measure_fleet(settings, policy, *size).await?;
            report.write_record("result", &usage)?;
            add_rows(report, &usage);
        }
    }
    Ok(())
}

fn add_rows(report: &mut BenchReport, usage: &FleetUsage) {
    let one_decimal = |value: f64| format!("{value:.1}");
    let two_decimals = |value: f64| format!("{value:.2}");
    let (change, idle) = (&usage.per_change, &usage.idle);
    let cells = vec![
        usage.policy.clone(),
        usage.nodes.to_string(),
        one_decimal(change.compressed_bytes),
        one_decimal(change.bytes),
        two_decimals(change.floor_ratio),
        one_decimal(change.cross_region_bytes),
        two_decimals(change.cross_region_floor_ratio),
        two_decimals(change.store_reads),
        two_decimals(change.store_writes),
        one_decimal(change.cpu_ms),
    ];
    report.add_row(CHANGE_TABLE_TITLE, &CHANGE_TABLE_HEADER, cells);
    let cells = vec![
        usage.policy.clone(),
        usage.nodes.to_string(),
        one_decimal(idle.bytes_per_node_second),
        one_decimal(idle.cross_region_bytes_per_second),
        two_decimals(idle.store_reads_per_second),
        two_decimals(idle.store_writes_per_second),
        two_decimals(idle.cpu_ms_per_node_second),
        two_decimals(idle.max_cpu_ms_per_second),
        one_decimal(idle.resident_kib_per_node),
    ];
    report.add_row(IDLE_TABLE_TITLE, &IDLE_TABLE_HEADER, cells);
}

/// Starts a fleet and measures it idle and while changes are made.
///
/// # Errors
///
/// Fails if the fleet does not start, or a change is not accepted or not active on every node in
/// time.
pub(crate) async fn measure_fleet(
    settings: &ControlBytesSettings,
    policy: &str,
    size: usize,
) -> Result<FleetUsage> {
    let mut rng = SmallRng::seed_from_u64(settings.seed);
    let fleet_settings = FleetSettings::spread_over_regions(size, policy, settings.workers);
    let mut fleet = NodeFleet::start(fleet_settings).await?;
    let mut generator = ChangeGenerator::default();
    let first = generator.first_change(settings.services)?;
    let accepted = fleet.submit_change(0, &first.change).await?;
    fleet.wait_active(accepted.version).await?;
    fleet
        .wait_settled(settings.settle_ms, settings.settle_per_node_ms)
        .await;

    let start = FleetTotals::read(&fleet).await?;
    sleep(Duration::from_millis(settings.idle_ms)).await;
    let idle_end = FleetTotals::read(&fleet).await?;
    let mut total_compressed_bytes = 0;
    for _ in 0..settings.changes {
        let prepared = generator.next_change()?;
        total_compressed_bytes += prepared.compressed_bytes();
        let node = rng.random_range(0..size);
        let accepted = fleet.submit_change(node, &prepared.change).await?;
        fleet.wait_active(accepted.version).await?;
        sleep(Duration::from_millis(settings.pause_ms)).await;
    }
    let end = FleetTotals::read(&fleet).await?;
    let states = fleet.states().await?;
    let idle = WindowRates::between(&start, &idle_end);
    let changing = WindowRates::between(&idle_end, &end);
    Ok(FleetUsage {
        policy: policy.to_owned(),
        nodes: size,
        changes: settings.changes,
        services: settings.services,
        seed: settings.seed,
        idle,
        changing,
        per_change: change_cost(
            settings.changes,
            size,
            total_compressed_bytes,
            &idle,
            &changing,
        ),
        nodes_in_force: states
            .iter()
            .filter(|state| state.version == generator.version())
            .count(),
    })
}

/// Computes the cost of one change from the rates in the idle window and while changes were made.
fn change_cost(
    changes: usize,
    size: usize,
    total_compressed_bytes: u64,
    idle: &WindowRates,
    changing: &WindowRates,
) -> ChangeCost {
    let changes = usize_to_f64(changes);
    let compressed_bytes = u64_to_f64(total_compressed_bytes) / changes;
    let added_per_change =
        |rate: fn(&WindowRates) -> f64| (rate(changing) - rate(idle)) * changing.seconds / changes;
    let bytes = added_per_change(|rates| rates.bytes_per_second);
    let cross_region_bytes = added_per_change(|rates| rates.cross_region_bytes_per_second);
    let receivers = usize_to_f64(size - 1);
    ChangeCost {
        compressed_bytes,
        bytes,
        floor_ratio: bytes / (compressed_bytes * receivers),
        cross_region_bytes,
        cross_region_floor_ratio: cross_region_bytes
            / (compressed_bytes * u64_to_f64(REGION_COUNT - 1)),
        store_reads: added_per_change(|rates| rates.store_reads_per_second),
        store_writes: added_per_change(|rates| rates.store_writes_per_second),
        cpu_ms: added_per_change(|rates| rates.cpu_ms_per_node_second) * usize_to_f64(size),
    }
}
