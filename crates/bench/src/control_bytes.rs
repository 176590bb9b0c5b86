//! Bytes of the control protocol, requests to the store, CPU time and memory.

use std::time::Duration;

use agatedeck_standin::PlatformCounters;
use miette::Result;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use tokio::time::{Instant, sleep};

use crate::arguments::DEFAULT_WORKERS;
use crate::fleet::{Fleet, FleetSettings, ProcessUsage, SETTLE_PER_NODE_MS};
use crate::records::ConfigMirror;
use crate::report::Report;
use crate::statistics::{count_f64, to_f64};

/// Regions over which the fleets of this measurement stand.
const REGIONS: u64 = 3;

/// Settings of the measurement.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct ControlBytesSettings {
    pub(crate) sizes: Vec<usize>,
    pub(crate) policies: Vec<String>,
    /// Changes for each size.
    pub(crate) changes: usize,
    pub(crate) services: usize,
    /// Pause after each change.
    pub(crate) pause_ms: u64,
    /// Length of the idle window.
    pub(crate) idle_ms: u64,
    /// Pause after the start, in which the updates on nodes that joined die down.
    pub(crate) settle_ms: u64,
    /// Further pause for each node.
    pub(crate) settle_per_node_ms: u64,
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
            workers: DEFAULT_WORKERS,
            seed: 1,
        }
    }
}

/// Totals over all nodes at one moment.
#[derive(Clone, Debug)]
struct FleetTotals {
    at: Instant,
    bytes: u64,
    cross_region_bytes: u64,
    store: PlatformCounters,
    usages: Vec<ProcessUsage>,
}

impl FleetTotals {
    async fn read(fleet: &Fleet) -> Result<Self> {
        let states = fleet.states().await?;
        Ok(Self {
            at: Instant::now(),
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

/// Rates over a window, from the totals at its start and end.
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
        let seconds = (end.at - start.at).as_secs_f64();
        let nodes = count_f64(end.usages.len());
        let rate = |from: u64, to: u64| to_f64(to.saturating_sub(from)) / seconds;
        let pairs = start.usages.iter().zip(&end.usages);
        let cpu: Vec<u64> = pairs
            .map(|(from, to)| to.cpu_ms.saturating_sub(from.cpu_ms))
            .collect();
        let mean =
            |of: fn(&ProcessUsage) -> u64| to_f64(end.usages.iter().map(of).sum::<u64>()) / nodes;
        let bytes = rate(start.bytes, end.bytes);
        Self {
            seconds,
            bytes_per_second: bytes,
            cross_region_bytes_per_second: rate(start.cross_region_bytes, end.cross_region_bytes),
            bytes_per_node_second: bytes / nodes,
            store_reads_per_second: rate(start.store.reads, end.store.reads),
            store_writes_per_second: rate(start.store.writes, end.store.writes),
            cpu_ms_per_node_second: to_f64(cpu.iter().sum()) / seconds / nodes,
            max_cpu_ms_per_second: to_f64(cpu.iter().copied().max().unwrap_or(0)) / seconds,
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

/// Bytes of one change in the mean, beside the least that would carry it.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct ChangeBytes {
    /// The compressed change.
    pub(crate) compressed_bytes: f64,
    /// All bytes while changes were made, without those that would have been sent when idle.
    pub(crate) bytes: f64,
    /// `bytes` by the compressed change times the receivers.
    pub(crate) floor_ratio: f64,
    pub(crate) cross_region_bytes: f64,
    /// `cross_region_bytes` by the compressed change times the other regions.
    pub(crate) cross_region_floor_ratio: f64,
    pub(crate) store_reads: f64,
    pub(crate) store_writes: f64,
    /// CPU time of all nodes together.
    pub(crate) cpu_ms: f64,
}

/// What one fleet used, idle and while changes were made.
#[derive(Debug, Serialize)]
pub(crate) struct FleetUse {
    pub(crate) policy: String,
    pub(crate) nodes: usize,
    pub(crate) changes: usize,
    pub(crate) services: usize,
    pub(crate) seed: u64,
    pub(crate) idle: WindowRates,
    pub(crate) changing: WindowRates,
    pub(crate) per_change: ChangeBytes,
    pub(crate) nodes_in_force: usize,
}

const CHANGE_TITLE: &str =
    "control bytes of one change; `x` is the ratio to the floor, `cross` is between regions";
const CHANGE_HEAD: [&str; 10] = [
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
const IDLE_TITLE: &str = "idle";
const IDLE_HEAD: [&str; 9] = [
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

/// Measures every size under every policy.
pub(crate) async fn run(settings: &ControlBytesSettings, report: &mut Report) -> Result<()> {
    for policy in &settings.policies {
        for size in &settings.sizes {
            let used = measure(settings, policy, *size).await?;
            report.record("result", &used)?;
            add_rows(report, &used);
        }
    }
    Ok(())
}

fn add_rows(report: &mut Report, used: &FleetUse) {
    let one = |value: f64| format!("{value:.1}");
    let two = |value: f64| format!("{value:.2}");
    let (change, idle) = (&used.per_change, &used.idle);
    let cells = vec![
        used.policy.clone(),
        used.nodes.to_string(),
        one(change.compressed_bytes),
        one(change.bytes),
        two(change.floor_ratio),
        one(change.cross_region_bytes),
        two(change.cross_region_floor_ratio),
        two(change.store_reads),
        two(change.store_writes),
        one(change.cpu_ms),
    ];
    report.add_row(CHANGE_TITLE, &CHANGE_HEAD, cells);
    let cells = vec![
        used.policy.clone(),
        used.nodes.to_string(),
        one(idle.bytes_per_node_second),
        one(idle.cross_region_bytes_per_second),
        two(idle.store_reads_per_second),
        two(idle.store_writes_per_second),
        two(idle.cpu_ms_per_node_second),
        two(idle.max_cpu_ms_per_second),
        one(idle.resident_kib_per_node),
    ];
    report.add_row(IDLE_TITLE, &IDLE_HEAD, cells);
}

/// Starts a fleet, leaves it idle and then makes changes.
pub(crate) async fn measure(
    settings: &ControlBytesSettings,
    policy: &str,
    size: usize,
) -> Result<FleetUse> {
    let mut rng = SmallRng::seed_from_u64(settings.seed);
    let fleet = FleetSettings::spread_over_regions(size, policy, settings.workers);
    let mut fleet = Fleet::start(fleet).await?;
    let mut mirror = ConfigMirror::default();
    let first = mirror.first_change(settings.services)?;
    let accepted = fleet.accept(0, &first.change).await?;
    fleet.in_force(accepted.version).await?;
    fleet
        .settle(settings.settle_ms, settings.settle_per_node_ms)
        .await;

    let start = FleetTotals::read(&fleet).await?;
    sleep(Duration::from_millis(settings.idle_ms)).await;
    let idle_end = FleetTotals::read(&fleet).await?;
    let mut compressed = 0;
    for _ in 0..settings.changes {
        let prepared = mirror.next_change()?;
        compressed += prepared.compressed_bytes();
        let node = rng.random_range(0..size);
        let accepted = fleet.accept(node, &prepared.change).await?;
        fleet.in_force(accepted.version).await?;
        sleep(Duration::from_millis(settings.pause_ms)).await;
    }
    let end = FleetTotals::read(&fleet).await?;
    let states = fleet.states().await?;
    let idle = WindowRates::between(&start, &idle_end);
    let changing = WindowRates::between(&idle_end, &end);
    Ok(FleetUse {
        policy: policy.to_owned(),
        nodes: size,
        changes: settings.changes,
        services: settings.services,
        seed: settings.seed,
        idle,
        changing,
        per_change: change_bytes(settings.changes, size, compressed, &idle, &changing),
        nodes_in_force: states
            .iter()
            .filter(|state| state.version == mirror.version())
            .count(),
    })
}

fn change_bytes(
    changes: usize,
    size: usize,
    compressed: u64,
    idle: &WindowRates,
    changing: &WindowRates,
) -> ChangeBytes {
    let changes = count_f64(changes);
    let compressed_bytes = to_f64(compressed) / changes;
    let added =
        |of: fn(&WindowRates) -> f64| (of(changing) - of(idle)) * changing.seconds / changes;
    let bytes = added(|rates| rates.bytes_per_second);
    let cross_region_bytes = added(|rates| rates.cross_region_bytes_per_second);
    let receivers = count_f64(size - 1);
    ChangeBytes {
        compressed_bytes,
        bytes,
        floor_ratio: bytes / (compressed_bytes * receivers),
        cross_region_bytes,
        cross_region_floor_ratio: cross_region_bytes / (compressed_bytes * to_f64(REGIONS - 1)),
        store_reads: added(|rates| rates.store_reads_per_second),
        store_writes: added(|rates| rates.store_writes_per_second),
        cpu_ms: added(|rates| rates.cpu_ms_per_node_second) * count_f64(size),
    }
}
