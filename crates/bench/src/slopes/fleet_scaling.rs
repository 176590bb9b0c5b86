//! Benchmarks of fleets of real node processes, with one driver varied at a time.

use std::time::Duration;

use agatedeck_control::{DisseminationPolicy, MemberSettings, MemberTable, TreeDissemination};
use agatedeck_standin::PlatformCounters;
use agatedeck_wire::{Member, MemberStatus};
use miette::Result;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use tokio::time::{Instant, sleep_until};

use super::SlopeSettings;
use super::series::SeriesTable;
use crate::change_generator::ChangeGenerator;
use crate::fleet::{FleetSettings, NodeFleet, NodeSpec, NodeState, ProcessUsage};
use crate::report::BenchReport;
use crate::statistics::{u64_to_f64, usize_to_f64};

/// Distance between the nodes that are restarted while churn is measured. The reported values are
/// those of the other nodes, whose counters are not reset.
const RESTART_STRIDE_NODES: usize = 4;

/// Timeout for all nodes to rejoin after the restarts.
const REJOIN_TIMEOUT: Duration = Duration::from_secs(30);

/// Parameters of one fleet.
#[derive(Clone, Copy, Debug)]
struct FleetCase {
    driver: &'static str,
    nodes: usize,
    services: usize,
    restarts_per_second: f64,
    changes_per_second: f64,
}

/// Resource usage of one node role in a window, averaged over its nodes.
#[derive(Clone, Copy, Debug, Default, Serialize)]
struct RoleUsage {
    nodes: usize,
    bytes_per_second: f64,
    cross_region_bytes_per_second: f64,
    cpu_ms_per_second: f64,
    resident_kib: f64,
    anonymous_kib: f64,
}

/// JSON line with the results of one fleet.
#[derive(Debug, Serialize)]
struct FleetResult {
    driver: &'static str,
    driver_value: f64,
    nodes: usize,
    services: usize,
    restarts: u64,
    restarts_per_second: f64,
    changes: u64,
    changes_per_second: f64,
    seconds: f64,
    seed: u64,
    reader: RoleUsage,
    ordinary: RoleUsage,
    store_reads_per_second: f64,
    store_writes_per_second: f64,
    nodes_in_force: usize,
}

/// Measures all fleets.
///
/// # Errors
///
/// Fails if a fleet does not start, a change is not accepted or not active on every node in time,
/// or restarted nodes do not rejoin in time.
pub(super) async fn run(
    settings: &SlopeSettings,
    table: &mut SeriesTable,
    report: &mut BenchReport,
) -> Result<()> {
    for case in fleet_cases(settings) {
        let result = measure_fleet(settings, case).await?;
        report.write_record("fleet", &result)?;
        add_row(report, &result);
        add_points(table, &result);
    }
    Ok(())
}

fn fleet_cases(settings: &SlopeSettings) -> Vec<FleetCase> {
    let base = FleetCase {
        driver: "",
        nodes: settings.base_nodes,
        services: settings.base_services,
        restarts_per_second: 0.0,
        changes_per_second: settings.base_change_rate,
    };
    let sizes = settings.sizes.iter().map(|nodes| FleetCase {
        driver: "nodes",
        nodes: *nodes,
        ..base
    });
    let services = settings.services.iter().map(|services| FleetCase {
        driver: "services",
        services: *services,
        ..base
    });
    let churn = settings.churn_rates.iter().map(|rate| FleetCase {
        driver: "restarts/s",
        restarts_per_second: *rate,
        changes_per_second: 0.0,
        ..base
    });
    let changes = settings.change_rates.iter().map(|rate| FleetCase {
        driver: "changes/s",
        changes_per_second: *rate,
        ..base
    });
    sizes.chain(services).chain(churn).chain(changes).collect()
}

/// Counters of all nodes and of the store at one instant.
struct FleetCounters {
    taken_at: Instant,
    states: Vec<NodeState>,
    usages: Vec<ProcessUsage>,
    store: PlatformCounters,
}

impl FleetCounters {
    async fn read(fleet: &NodeFleet) -> Result<Self> {
        Ok(Self {
            taken_at: Instant::now(),
            states: fleet.states().await?,
            usages: fleet.usages()?,
            store: fleet.store_counters().await,
        })
    }
}

async fn measure_fleet(settings: &SlopeSettings, case: FleetCase) -> Result<FleetResult> {
    let mut rng = SmallRng::seed_from_u64(settings.seed);
    let fleet_settings = FleetSettings::spread_over_regions(case.nodes, "tree", settings.workers);
    let is_reader = select_store_readers(&fleet_settings.nodes);
    let mut fleet = NodeFleet::start(fleet_settings).await?;
    let mut generator = ChangeGenerator::default();
    let first = generator.first_change(case.services)?;
    let accepted = fleet.submit_change(0, &first.change).await?;
    fleet.wait_active(accepted.version).await?;
    fleet
        .wait_settled(settings.settle_ms, settings.settle_per_node_ms)
        .await;

    let start = FleetCounters::read(&fleet).await?;
    let end_at = start.taken_at + Duration::from_millis(settings.window_ms);
    let mut window_events = WindowEvents::default();
    if case.restarts_per_second > 0.0 {
        window_events.restarts =
            restart_nodes(&mut fleet, case.restarts_per_second, end_at).await?;
    } else if case.changes_per_second > 0.0 {
        let rate = case.changes_per_second;
        window_events.changes =
            submit_changes(&mut fleet, &mut generator, &mut rng, rate, end_at).await?;
    }
    sleep_until(end_at).await;
    let end = FleetCounters::read(&fleet).await?;
    if window_events.changes > 0 {
        fleet.wait_active(generator.version()).await?;
    }
    fleet.wait_joined(Instant::now() + REJOIN_TIMEOUT).await?;
    let states = fleet.states().await?;
    let active_nodes = states
        .iter()
        .filter(|state| state.version == generator.version());
    Ok(build_result(
        settings,
        case,
        &is_reader,
        &window_events,
        &start,
        &end,
        active_nodes.count(),
    ))
}

/// Restarts and changes carried out during the window.
#[derive(Debug, Default)]
struct WindowEvents {
    restarts: u64,
    changes: u64,
}

/// Indices of the nodes that are restarted in turn. Node 0 is never restarted.
fn restarted_nodes(nodes: usize) -> impl Iterator<Item = usize> + Clone {
    (0..nodes).skip(1).step_by(RESTART_STRIDE_NODES)
}

/// Restarts nodes at `rate` per second until `end`; returns the number of restarts.
async fn restart_nodes(fleet: &mut NodeFleet, rate: f64, end: Instant) -> Result<u64> {
    let (start, mut count) = (Instant::now(), 0_u32);
    for node in restarted_nodes(fleet.len()).cycle() {
        let due = start + Duration::from_secs_f64(f64::from(count) / rate);
        if due >= end || Instant::now() >= end {
            break;
        }
        sleep_until(due).await;
        fleet.restart(node).await?;
        count += 1;
    }
    Ok(u64::from(count))
}

/// Submits changes to random nodes at `rate` per second until `end`; returns their number.
async fn submit_changes(
    fleet: &mut NodeFleet,
    generator: &mut ChangeGenerator,
    rng: &mut SmallRng,
    rate: f64,
    end: Instant,
) -> Result<u64> {
    let (start, mut count) = (Instant::now(), 0_u32);
    loop {
        let due = start + Duration::from_secs_f64(f64::from(count) / rate);
        if due >= end || Instant::now() >= end {
            return Ok(u64::from(count));
        }
        sleep_until(due).await;
        let prepared = generator.next_change()?;
        let node = rng.random_range(0..fleet.len());
        fleet.submit_change(node, &prepared.change).await?;
        count += 1;
    }
}

/// Tells for each node whether it polls the store, by the same decision that the nodes take.
fn select_store_readers(specs: &[NodeSpec]) -> Vec<bool> {
    let mut table = MemberTable::new(&MemberSettings::default());
    let member = |spec: &NodeSpec| Member {
        node: spec.name.clone(),
        incarnation: 1,
        status: MemberStatus::Alive.into(),
        domain: spec.domain.clone(),
        region: spec.region.clone(),
        ..Default::default()
    };
    for spec in specs {
        table.merge(&member(spec), agatedeck_clock::Instant::default());
    }
    let policy = TreeDissemination {
        store_region: specs[0].region.clone(),
        ..Default::default()
    };
    let polls_store = |spec| policy.poll_interval(&table, &member(spec)).is_some();
    specs.iter().map(polls_store).collect()
}

fn role_usage(nodes: &[usize], start: &FleetCounters, end: &FleetCounters) -> RoleUsage {
    let seconds = (end.taken_at - start.taken_at).as_secs_f64();
    let count = usize_to_f64(nodes.len().max(1));
    let mean =
        |value: &dyn Fn(usize) -> u64| u64_to_f64(nodes.iter().copied().map(value).sum()) / count;
    let rate = |counter: &dyn Fn(&FleetCounters, usize) -> u64| {
        mean(&|node| counter(end, node).saturating_sub(counter(start, node))) / seconds
    };
    RoleUsage {
        nodes: nodes.len(),
        bytes_per_second: rate(&|counters, node| counters.states[node].control_bytes),
        cross_region_bytes_per_second: rate(&|counters, node| {
            counters.states[node].cross_region_control_bytes
        }),
        cpu_ms_per_second: rate(&|counters, node| counters.usages[node].cpu_ms),
        resident_kib: mean(&|node| end.usages[node].resident_kib),
        anonymous_kib: mean(&|node| end.usages[node].anonymous_kib),
    }
}

fn build_result(
    settings: &SlopeSettings,
    case: FleetCase,
    is_reader: &[bool],
    window_events: &WindowEvents,
    start: &FleetCounters,
    end: &FleetCounters,
    nodes_in_force: usize,
) -> FleetResult {
    let seconds = (end.taken_at - start.taken_at).as_secs_f64();
    let restarted: Vec<usize> = if window_events.restarts > 0 {
        restarted_nodes(case.nodes).collect()
    } else {
        Vec::new()
    };
    let measured_nodes = (0..case.nodes).filter(|node| !restarted.contains(node));
    let (reader_nodes, ordinary_nodes): (Vec<usize>, Vec<usize>) =
        measured_nodes.partition(|node| is_reader[*node]);
    let restarts_per_second = u64_to_f64(window_events.restarts) / seconds;
    let changes_per_second = u64_to_f64(window_events.changes) / seconds;
    let rate = |from: u64, to: u64| u64_to_f64(to.saturating_sub(from)) / seconds;
    FleetResult {
        driver: case.driver,
        driver_value: match case.driver {
            "nodes" => usize_to_f64(case.nodes),
            "services" => usize_to_f64(case.services),
            "restarts/s" => restarts_per_second,
            _ => changes_per_second,
        },
        nodes: case.nodes,
        services: case.services,
        restarts: window_events.restarts,
        restarts_per_second,
        changes: window_events.changes,
        changes_per_second,
        seconds,
        seed: settings.seed,
        reader: role_usage(&reader_nodes, start, end),
        ordinary: role_usage(&ordinary_nodes, start, end),
        store_reads_per_second: rate(start.store.reads, end.store.reads),
        store_writes_per_second: rate(start.store.writes, end.store.writes),
        nodes_in_force,
    }
}

fn add_points(table: &mut SeriesTable, result: &FleetResult) {
    let x = result.driver_value;
    let driver = result.driver;
    for (role, usage) in [
        ("reader", &result.reader),
        ("ordinary node", &result.ordinary),
    ] {
        if usage.nodes == 0 {
            continue;
        }
        table.add_point(driver, role, "bytes/s", (x, usage.bytes_per_second));
        table.add_point(driver, role, "CPU ms/s", (x, usage.cpu_ms_per_second));
        table.add_point(driver, role, "anonymous KiB", (x, usage.anonymous_kib));
        table.add_point(driver, role, "resident KiB", (x, usage.resident_kib));
    }
    table.add_point(
        driver,
        "store",
        "reads/s",
        (x, result.store_reads_per_second),
    );
    table.add_point(
        driver,
        "store",
        "writes/s",
        (x, result.store_writes_per_second),
    );
}

const FLEET_TABLE_TITLE: &str =
    "fleets: mean per node that was not restarted; r: nodes that read the store";
const FLEET_TABLE_HEADER: [&str; 13] = [
    "driver",
    "nodes",
    "services",
    "restarts/s",
    "changes/s",
    "B/s",
    "r B/s",
    "cross B/s",
    "cpu ms/s",
    "r cpu ms/s",
    "anon KiB",
    "rss KiB",
    "reads/s",
];

fn add_row(report: &mut BenchReport, result: &FleetResult) {
    let one_decimal = |value: f64| format!("{value:.1}");
    let two_decimals = |value: f64| format!("{value:.2}");
    let (reader, ordinary) = (&result.reader, &result.ordinary);
    let cells = vec![
        result.driver.to_owned(),
        result.nodes.to_string(),
        result.services.to_string(),
        two_decimals(result.restarts_per_second),
        two_decimals(result.changes_per_second),
        one_decimal(ordinary.bytes_per_second),
        one_decimal(reader.bytes_per_second),
        one_decimal(ordinary.cross_region_bytes_per_second),
        two_decimals(ordinary.cpu_ms_per_second),
        two_decimals(reader.cpu_ms_per_second),
        one_decimal(ordinary.anonymous_kib),
        one_decimal(ordinary.resident_kib),
        two_decimals(result.store_reads_per_second),
    ];
    report.add_row(FLEET_TABLE_TITLE, &FLEET_TABLE_HEADER, cells);
}
