//! Confirmed versions in a fleet of 194 nodes, under faults drawn from seeds.
//!
//! `AGATEDECK_SIM_SEEDS` sets the number of seeds of each kind for long runs.

use agatedeck_sim::{FaultKind, FaultPlan, FleetSettings, LagReport, run_fleet};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use yare::parameterized;

/// Variable that sets the number of seeds.
const SEEDS_VARIABLE: &str = "AGATEDECK_SIM_SEEDS";

const DEFAULT_SEEDS: u64 = 2;

/// Messages that the fleet may send in a second, for each node. A message costs its sender and its receiver 40 µs of
/// a core each, and a node may spend 3.2 % of a core on control: 800 messages sent or received.
const MAX_MESSAGES_PER_NODE_SECOND: usize = 400;

fn seed_count() -> u64 {
    let text = std::env::var(SEEDS_VARIABLE).ok();
    text.map_or(DEFAULT_SEEDS, |text| {
        text.parse().expect("a number of seeds")
    })
}

fn run_seed(kinds: &[FaultKind], seed: u64) -> (FaultPlan, LagReport) {
    let settings = FleetSettings::default();
    let plan = FaultPlan::draw(kinds, settings.length, &mut SmallRng::seed_from_u64(seed));
    let report = run_fleet(&settings, &plan, seed);
    (plan, report)
}

/// Guards against confirmed versions that are not in force in time on nodes in touch: hosts that are lost, stand
/// still or are cut off together delay the path of a version by more than its bound, or start a storm of messages.
#[parameterized(
    kill = { FaultKind::Kill },
    power_loss = { FaultKind::PowerLoss },
    fleet_start = { FaultKind::FleetStart },
    readers_lost = { FaultKind::ReadersLost },
    freeze = { FaultKind::Freeze },
    readers_frozen = { FaultKind::ReadersFrozen },
    slow = { FaultKind::Slow },
    readers_slow = { FaultKind::ReadersSlow },
    loss = { FaultKind::Loss },
    restarts = { FaultKind::Restarts },
    cut = { FaultKind::Cut },
    domain_cut = { FaultKind::DomainCut },
    link_load = { FaultKind::LinkLoad },
    store_cut = { FaultKind::StoreCut },
    store_silent = { FaultKind::StoreSilent },
    store_silent_to_some = { FaultKind::StoreSilentToSome },
    store_slow = { FaultKind::StoreSlow },
    store_refuses_some = { FaultKind::StoreRefusesSome },
    history_dropped = { FaultKind::HistoryDropped },
)]
fn a_confirmed_version_is_in_force_in_time(kind: FaultKind) {
    for seed in 1..=seed_count() {
        let (plan, report) = run_seed(&[kind], seed);
        assert!(report.versions > 20, "seed {seed}: too few changes");
        assert!(
            report.holds(),
            "seed {seed}: {} messages, {:?}, {plan:?}",
            report.messages,
            report.largest
        );
        let limit = MAX_MESSAGES_PER_NODE_SECOND * FleetSettings::default().hosts;
        assert!(
            report.busiest_second <= limit,
            "seed {seed}: {} messages in a second, {:?}",
            report.busiest_second,
            report.messages_by_kind
        );
    }
}

/// Guards against a task of a slow host that ends long after the slowness, though the host is as fast as before
/// then: the node does nothing else meanwhile, and holds an old version for seconds. Each of these seeds failed, at
/// 1.75 to 5 times the bound.
#[parameterized(
    of_readers_2042 = { FaultKind::ReadersSlow, 2042 },
    of_readers_3032 = { FaultKind::ReadersSlow, 3032 },
    of_readers_5018 = { FaultKind::ReadersSlow, 5018 },
    of_many_6020 = { FaultKind::Slow, 6020 },
)]
fn work_of_a_slow_host_goes_on_at_its_new_speed(kind: FaultKind, seed: u64) {
    let (plan, report) = run_seed(&[kind], seed);
    assert!(report.holds(), "{:?}, {plan:?}", report.largest);
}

/// Guards against a run that cannot be repeated from its seed.
#[test]
fn equal_seeds_give_equal_runs() {
    let kinds = [FaultKind::PowerLoss, FaultKind::StoreSilent];
    let (_, first) = run_seed(&kinds, 3);
    let (_, second) = run_seed(&kinds, 3);
    assert_eq!(format!("{first:?}"), format!("{second:?}"));
}
