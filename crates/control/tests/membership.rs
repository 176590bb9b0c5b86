//! State machine test of membership and joins under network, process and store faults. Guards
//! against a status that regresses, a live node that stays listed as dead, member tables that do
//! not converge, and a node that restarts below the version that it held.
//!
//! `AGATEDECK_PROPTEST_CASES` sets the number of cases and `AGATEDECK_PROPTEST_SEED` the seed.

mod fleet;
#[path = "../../calls/tests/common/property.rs"]
mod property;

use fleet::{FaultPercentages, FleetModel, HOST_LOCALITIES};
use property::property_config;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

#[derive(Clone, Debug)]
enum Transition {
    Advance {
        duration_ms: u64,
    },
    SetNetworkFaults {
        drop_percent: u32,
        duplicate_percent: u32,
        delay_percent: u32,
    },
    Partition {
        sides: u8,
    },
    ClearFaults,
    Pause(usize),
    Resume(usize),
    Crash(usize),
    Restart {
        host: usize,
        clock_moved_back: bool,
    },
    Drain(usize),
    Leave(usize),
    SetStore {
        available: bool,
    },
    PublishVersion(Option<usize>),
    /// Restarts a host while the store is unavailable and few nodes know the version that it holds.
    RestartDuringStoreOutage(usize),
}

/// Which hosts are running or paused; it determines which transitions are allowed.
#[derive(Clone, Debug)]
struct ReferenceModel {
    seed: u64,
    running: [bool; HOST_LOCALITIES.len()],
    paused: [bool; HOST_LOCALITIES.len()],
}

impl ReferenceStateMachine for ReferenceModel {
    type State = Self;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<Self> {
        let initial_model = |seed| Self {
            seed,
            running: [true; HOST_LOCALITIES.len()],
            paused: [false; HOST_LOCALITIES.len()],
        };
        any::<u64>().prop_map(initial_model).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Transition> {
        let host = || 0..HOST_LOCALITIES.len();
        prop_oneof![
            10 => (50_u64..4_000).prop_map(|duration_ms| Transition::Advance { duration_ms }),
            2 => (10_000_u64..30_000).prop_map(|duration_ms| Transition::Advance { duration_ms }),
            1 => (0_u32..30, 0_u32..30, 0_u32..40).prop_map(
                |(drop_percent, duplicate_percent, delay_percent)| Transition::SetNetworkFaults {
                    drop_percent,
                    duplicate_percent,
                    delay_percent,
                },
            ),
            1 => any::<u8>().prop_map(|sides| Transition::Partition { sides }),
            1 => Just(Transition::ClearFaults),
            2 => host().prop_map(Transition::Pause),
            2 => host().prop_map(Transition::Resume),
            2 => host().prop_map(Transition::Crash),
            4 => (host(), any::<bool>())
                .prop_map(|(host, clock_moved_back)| Transition::Restart {
                    host,
                    clock_moved_back,
                }),
            1 => host().prop_map(Transition::Drain),
            1 => host().prop_map(Transition::Leave),
            2 => any::<bool>().prop_map(|available| Transition::SetStore { available }),
            1 => Just(Transition::PublishVersion(None)),
            6 => host().prop_map(|host| Transition::PublishVersion(Some(host))),
            4 => host().prop_map(Transition::RestartDuringStoreOutage),
        ]
        .boxed()
    }

    fn preconditions(state: &Self, transition: &Transition) -> bool {
        match transition {
            Transition::Pause(host) => state.running[*host] && !state.paused[*host],
            Transition::Resume(host) => state.paused[*host],
            Transition::Drain(host) | Transition::Leave(host) => {
                state.running[*host] && !state.paused[*host]
            }
            Transition::Crash(host) => state.running[*host],
            _ => true,
        }
    }

    fn apply(mut state: Self, transition: &Transition) -> Self {
        match transition {
            Transition::Pause(host) => state.paused[*host] = true,
            Transition::Resume(host) => state.paused[*host] = false,
            Transition::Crash(host) => {
                state.running[*host] = false;
                state.paused[*host] = false;
            }
            Transition::Restart { host, .. } | Transition::RestartDuringStoreOutage(host) => {
                state.running[*host] = true;
                state.paused[*host] = false;
            }
            _ => {}
        }
        state
    }
}

struct MembershipTest;

impl StateMachineTest for MembershipTest {
    type SystemUnderTest = FleetModel;
    type Reference = ReferenceModel;

    fn init_test(state: &ReferenceModel) -> FleetModel {
        let mut fleet = FleetModel::new(state.seed);
        fleet.advance(5_000);
        fleet
    }

    fn apply(mut fleet: FleetModel, _: &ReferenceModel, transition: Transition) -> FleetModel {
        match transition {
            Transition::Advance { duration_ms } => fleet.advance(duration_ms),
            Transition::SetNetworkFaults {
                drop_percent,
                duplicate_percent,
                delay_percent,
            } => {
                fleet.fault_percentages = FaultPercentages {
                    drop: drop_percent,
                    duplicate: duplicate_percent,
                    delay: delay_percent,
                };
            }
            Transition::Partition { sides } => fleet.partition_sides = sides,
            Transition::ClearFaults => fleet.clear_faults(),
            Transition::Pause(host) => fleet.set_paused(host, true),
            Transition::Resume(host) => fleet.set_paused(host, false),
            Transition::Crash(host) => fleet.crash(host),
            Transition::Restart {
                host,
                clock_moved_back,
            } => fleet.start(host, clock_moved_back),
            Transition::Drain(host) => fleet.drain(host),
            Transition::Leave(host) => fleet.leave(host),
            Transition::SetStore { available } => fleet.store_available = available,
            Transition::PublishVersion(host) => fleet.publish_version(host),
            Transition::RestartDuringStoreOutage(host) => {
                fleet.store_available = true;
                fleet.publish_version(Some(host));
                fleet.advance(200);
                fleet.store_available = false;
                fleet.start(host, false);
                fleet.advance(3_000);
                fleet.store_available = true;
            }
        }
        fleet.check_invariants();
        fleet
    }

    fn teardown(mut fleet: FleetModel, state: ReferenceModel) {
        fleet.clear_faults();
        fleet.store_available = true;
        for host in (0..HOST_LOCALITIES.len()).filter(|host| state.paused[*host]) {
            fleet.set_paused(host, false);
        }
        for _ in 0..12 {
            fleet.advance(10_000);
            fleet.check_invariants();
        }
        fleet.check_converged();
    }
}

fn proptest_config() -> Config {
    Config {
        max_shrink_iters: 300,
        max_shrink_time: 20_000,
        ..property_config(48, 20_251)
    }
}

prop_state_machine! {
    #![proptest_config(proptest_config())]

    #[test]
    fn membership_stays_consistent_under_faults(sequential 1..40 => MembershipTest);
}
