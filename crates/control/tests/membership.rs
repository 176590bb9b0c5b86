//! Membership and joining under faults. Guards against: a status that moves back, a live node that
//! stays dead, tables that never agree, and a node that returns below the version it held.
//!
//! `AGATEDECK_PROPTEST_CASES` and `AGATEDECK_PROPTEST_SEED` lengthen the run.

mod fleet;

use fleet::{FaultPercentages, FleetModel, HOST_LOCALITIES};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

#[derive(Clone, Debug)]
enum Transition {
    Advance {
        millis: u64,
    },
    Weather {
        drop: u32,
        duplicate: u32,
        delay: u32,
    },
    Partition {
        sides: u8,
    },
    Heal,
    Freeze(usize),
    Resume(usize),
    Crash(usize),
    Restart {
        host: usize,
        clock_back: bool,
    },
    Drain(usize),
    Leave(usize),
    Store {
        up: bool,
    },
    Publish(Option<usize>),
    /// Restarts a host while the store is unavailable and few nodes know what it holds.
    RestartInOutage(usize),
}

/// Which hosts run; the faults allowed next depend on it.
#[derive(Clone, Debug)]
struct Reference {
    seed: u64,
    up: [bool; HOST_LOCALITIES.len()],
    frozen: [bool; HOST_LOCALITIES.len()],
}

impl ReferenceStateMachine for Reference {
    type State = Self;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<Self> {
        let initial = |seed| Self {
            seed,
            up: [true; HOST_LOCALITIES.len()],
            frozen: [false; HOST_LOCALITIES.len()],
        };
        any::<u64>().prop_map(initial).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Transition> {
        let host = || 0..HOST_LOCALITIES.len();
        prop_oneof![
            10 => (50_u64..4_000).prop_map(|millis| Transition::Advance { millis }),
            2 => (10_000_u64..30_000).prop_map(|millis| Transition::Advance { millis }),
            1 => (0_u32..30, 0_u32..30, 0_u32..40).prop_map(|(drop, duplicate, delay)| {
                Transition::Weather { drop, duplicate, delay }
            }),
            1 => any::<u8>().prop_map(|sides| Transition::Partition { sides }),
            1 => Just(Transition::Heal),
            2 => host().prop_map(Transition::Freeze),
            2 => host().prop_map(Transition::Resume),
            2 => host().prop_map(Transition::Crash),
            4 => (host(), any::<bool>())
                .prop_map(|(host, clock_back)| Transition::Restart { host, clock_back }),
            1 => host().prop_map(Transition::Drain),
            1 => host().prop_map(Transition::Leave),
            2 => any::<bool>().prop_map(|up| Transition::Store { up }),
            1 => Just(Transition::Publish(None)),
            6 => host().prop_map(|host| Transition::Publish(Some(host))),
            4 => host().prop_map(Transition::RestartInOutage),
        ]
        .boxed()
    }

    fn preconditions(state: &Self, transition: &Transition) -> bool {
        match transition {
            Transition::Freeze(host) => state.up[*host] && !state.frozen[*host],
            Transition::Resume(host) => state.frozen[*host],
            Transition::Drain(host) | Transition::Leave(host) => {
                state.up[*host] && !state.frozen[*host]
            }
            Transition::Crash(host) => state.up[*host],
            _ => true,
        }
    }

    fn apply(mut state: Self, transition: &Transition) -> Self {
        match transition {
            Transition::Freeze(host) => state.frozen[*host] = true,
            Transition::Resume(host) => state.frozen[*host] = false,
            Transition::Crash(host) => {
                state.up[*host] = false;
                state.frozen[*host] = false;
            }
            Transition::Restart { host, .. } | Transition::RestartInOutage(host) => {
                state.up[*host] = true;
                state.frozen[*host] = false;
            }
            _ => {}
        }
        state
    }
}

struct FleetTest;

impl StateMachineTest for FleetTest {
    type SystemUnderTest = FleetModel;
    type Reference = Reference;

    fn init_test(state: &Reference) -> FleetModel {
        let mut fleet = FleetModel::new(state.seed);
        fleet.advance(5_000);
        fleet
    }

    fn apply(mut fleet: FleetModel, _: &Reference, transition: Transition) -> FleetModel {
        match transition {
            Transition::Advance { millis } => fleet.advance(millis),
            Transition::Weather {
                drop,
                duplicate,
                delay,
            } => {
                fleet.fault_percentages = FaultPercentages {
                    drop,
                    duplicate,
                    delay,
                };
            }
            Transition::Partition { sides } => fleet.partition_sides = sides,
            Transition::Heal => fleet.clear_faults(),
            Transition::Freeze(host) => fleet.set_paused(host, true),
            Transition::Resume(host) => fleet.set_paused(host, false),
            Transition::Crash(host) => fleet.crash(host),
            Transition::Restart { host, clock_back } => fleet.start(host, clock_back),
            Transition::Drain(host) => fleet.drain(host),
            Transition::Leave(host) => fleet.leave(host),
            Transition::Store { up } => fleet.store_available = up,
            Transition::Publish(host) => fleet.publish_version(host),
            Transition::RestartInOutage(host) => {
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

    fn teardown(mut fleet: FleetModel, state: Reference) {
        fleet.clear_faults();
        fleet.store_available = true;
        for host in (0..HOST_LOCALITIES.len()).filter(|host| state.frozen[*host]) {
            fleet.set_paused(host, false);
        }
        for _ in 0..12 {
            fleet.advance(10_000);
            fleet.check_invariants();
        }
        fleet.check_converged();
    }
}

fn from_env(name: &str, default: u64) -> u64 {
    let Ok(text) = std::env::var(name) else {
        return default;
    };
    text.parse()
        .unwrap_or_else(|error| panic!("{name}={text}: {error}"))
}

fn config() -> ProptestConfig {
    let cases = from_env("AGATEDECK_PROPTEST_CASES", 48);
    ProptestConfig {
        cases: u32::try_from(cases).expect("AGATEDECK_PROPTEST_CASES fits 32 bits"),
        rng_seed: RngSeed::Fixed(from_env("AGATEDECK_PROPTEST_SEED", 20_251)),
        failure_persistence: None,
        max_shrink_iters: 300,
        max_shrink_time: 20_000,
        ..ProptestConfig::default()
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn membership_survives_faults(sequential 1..40 => FleetTest);
}
