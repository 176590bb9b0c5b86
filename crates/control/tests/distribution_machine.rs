//! Distribution of configuration under failure, against the list of accepted changes.
//!
//! `AGATEDECK_PROPTEST_CASES` and `AGATEDECK_PROPTEST_SEED` set the number of cases and the seed for
//! long runs.

mod model;

use agatedeck_records::{ConfigSnapshot, RecordKey};
use agatedeck_wire::RecordKind;
use model::acceptance::Fate;
use model::records::{policy, retire, service};
use model::world::{HOSTS, Passage, World};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

/// An operator's edit. The names are few, so that edits race for the same records.
#[derive(Clone, Copy, Debug)]
enum Edit {
    Policy { name: u8, schema: u32, slots: u32 },
    Service { name: u8, policy: u8 },
    Retire { kind: RecordKind, name: u8 },
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Submit {
        host: usize,
        edit: Edit,
    },
    Resend {
        host: usize,
        pick: usize,
    },
    Proceed {
        pick: usize,
        fate: Fate,
    },
    TimeOut {
        pick: usize,
    },
    Land {
        pick: usize,
    },
    Pass {
        pick: usize,
        passage: Passage,
    },
    Fetch {
        host: usize,
        peer: usize,
    },
    Poll {
        host: usize,
    },
    Probe {
        host: usize,
        peer: usize,
    },
    Advance {
        ms: u64,
    },
    Crash {
        host: usize,
    },
    Restart {
        host: usize,
    },
    /// The store fails and the host is replaced: the case in which peers give the floor.
    ReplaceInOutage {
        host: usize,
    },
    DeclareDead {
        host: usize,
    },
    Freeze {
        host: usize,
    },
    Thaw {
        host: usize,
    },
    Cut {
        hosts: u8,
    },
    Outage {
        away: bool,
    },
    OldReader {
        live: bool,
    },
    /// The store answers, and an edit at the host is accepted without a fault.
    Accept {
        host: usize,
        edit: Edit,
    },
    /// The same, after which the host is replaced. Of what it sent, only the records to its
    /// witnesses arrive.
    AcceptAndReplace {
        host: usize,
        edit: Edit,
    },
}

/// Generates steps; every step is possible in every state.
struct AnyStep;

impl ReferenceStateMachine for AnyStep {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let (host, peer, pick) = (0..HOSTS, 0..HOSTS, 0..64_usize);
        let name = 0..2_u8;
        let edit = prop_oneof![
            4 => (name.clone(), 1..3_u32, 0..1_000_u32)
                .prop_map(|(name, schema, slots)| Edit::Policy { name, schema, slots }),
            2 => (name.clone(), name.clone())
                .prop_map(|(name, policy)| Edit::Service { name, policy }),
            1 => name.clone().prop_map(|name| Edit::Retire { kind: RecordKind::Policy, name }),
            1 => name.prop_map(|name| Edit::Retire { kind: RecordKind::Service, name }),
        ];
        let fate = prop_oneof![
            12 => Just(Fate::Answered),
            1 => Just(Fate::AnswerLost),
            1 => Just(Fate::Late),
            1 => Just(Fate::Lost),
            1 => Just(Fate::Away),
        ];
        let passage = prop_oneof![
            12 => Just(Passage::Once),
            1 => Just(Passage::Twice),
            1 => Just(Passage::Lost),
            1 => Just(Passage::Altered),
            1 => Just(Passage::Flipped),
        ];
        let wait = prop_oneof![3 => 1..200_u64, 1 => 200..3_000_u64];
        let hosts = prop_oneof![1 => Just(0_u8), 1 => 0..64_u8];
        prop_oneof![
            4 => (host.clone(), edit.clone()).prop_map(|(host, edit)| Step::Submit { host, edit }),
            1 => (host.clone(), edit).prop_map(|(host, edit)| Step::Accept { host, edit }),
            2 => (host.clone(), pick.clone()).prop_map(|(host, pick)| Step::Resend { host, pick }),
            16 => (pick.clone(), fate).prop_map(|(pick, fate)| Step::Proceed { pick, fate }),
            1 => pick.clone().prop_map(|pick| Step::TimeOut { pick }),
            1 => pick.clone().prop_map(|pick| Step::Land { pick }),
            24 => (pick, passage).prop_map(|(pick, passage)| Step::Pass { pick, passage }),
            3 => (host.clone(), peer.clone()).prop_map(|(host, peer)| Step::Fetch { host, peer }),
            2 => host.clone().prop_map(|host| Step::Poll { host }),
            2 => (host.clone(), peer).prop_map(|(host, peer)| Step::Probe { host, peer }),
            5 => wait.prop_map(|ms| Step::Advance { ms }),
            2 => host.clone().prop_map(|host| Step::Crash { host }),
            3 => host.clone().prop_map(|host| Step::Restart { host }),
            2 => host.clone().prop_map(|host| Step::ReplaceInOutage { host }),
            1 => host.clone().prop_map(|host| Step::DeclareDead { host }),
            1 => host.clone().prop_map(|host| Step::Freeze { host }),
            2 => host.prop_map(|host| Step::Thaw { host }),
            1 => hosts.prop_map(|hosts| Step::Cut { hosts }),
            1 => any::<bool>().prop_map(|away| Step::Outage { away }),
            1 => (0..3_u8).prop_map(|n| Step::OldReader { live: n == 0 }),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

/// Generates mostly restarts while the store is away, which the even mixture seldom completes.
struct RestartStep;

impl ReferenceStateMachine for RestartStep {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let (host, peer, pick) = (0..HOSTS, 0..HOSTS, 0..64_usize);
        let edit = (0..2_u8, 0..1_000_u32).prop_map(|(name, slots)| Edit::Policy {
            name,
            schema: 1,
            slots,
        });
        let passage = prop_oneof![8 => Just(Passage::Once), 1 => Just(Passage::Lost)];
        prop_oneof![
            2 => (host.clone(), edit.clone()).prop_map(|(host, edit)| Step::Accept { host, edit }),
            1 => (host.clone(), edit)
                .prop_map(|(host, edit)| Step::AcceptAndReplace { host, edit }),
            30 => (pick, passage).prop_map(|(pick, passage)| Step::Pass { pick, passage }),
            6 => (host.clone(), peer.clone()).prop_map(|(host, peer)| Step::Fetch { host, peer }),
            5 => (host.clone(), peer).prop_map(|(host, peer)| Step::Probe { host, peer }),
            5 => (1..400_u64).prop_map(|ms| Step::Advance { ms }),
            1 => host.clone().prop_map(|host| Step::Crash { host }),
            1 => host.clone().prop_map(|host| Step::Restart { host }),
            2 => host.clone().prop_map(|host| Step::ReplaceInOutage { host }),
            1 => host.prop_map(|host| Step::DeclareDead { host }),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

fn make(edit: Edit, snapshot: &ConfigSnapshot) -> Vec<agatedeck_wire::RecordWrite> {
    let base = |kind, name: &str| {
        let record = snapshot.get(&RecordKey::new(kind, name));
        record.map_or(0, |record| record.revision)
    };
    let write = match edit {
        Edit::Policy {
            name,
            schema,
            slots,
        } => {
            let name = format!("p{name}");
            policy(&name, base(RecordKind::Policy, &name), schema, slots)
        }
        Edit::Service { name, policy } => {
            let name = format!("s{name}");
            service(
                &name,
                base(RecordKind::Service, &name),
                &format!("p{policy}"),
            )
        }
        Edit::Retire { kind, name } => {
            let letter = if kind == RecordKind::Policy { 'p' } else { 's' };
            let name = format!("{letter}{name}");
            retire(kind, &name, base(kind, &name))
        }
    };
    vec![write]
}

fn run(world: &mut World, step: Step) {
    match step {
        Step::Submit { host, edit } => world.submit(host, |snapshot| make(edit, snapshot)),
        Step::Resend { host, pick } => world.resend(host, pick),
        Step::Proceed { pick, fate } => world.proceed_with(pick, fate),
        Step::TimeOut { pick } => world.time_out(pick),
        Step::Land { pick } => world.land(pick),
        Step::Pass { pick, passage } => world.pass(pick, passage),
        Step::Fetch { host, peer } => world.fetch(host, peer),
        Step::Poll { host } => world.poll(host),
        Step::Probe { host, peer } => world.probe(host, peer),
        Step::Advance { ms } => world.advance(ms),
        Step::Crash { host } => world.crash(host),
        Step::Restart { host } => world.restart(host),
        Step::ReplaceInOutage { host } => world.replace_in_outage(host),
        Step::DeclareDead { host } => world.declare_dead(host),
        Step::Freeze { host } => world.freeze(host),
        Step::Thaw { host } => world.thaw(host),
        Step::Cut { hosts } => world.cut(hosts),
        Step::Outage { away } => world.store.away = away,
        Step::OldReader { live } => world.old_reader = live,
        Step::Accept { host, edit } => {
            world.store.away = false;
            world.submit(host, |snapshot| make(edit, snapshot));
            world.finish(host);
        }
        Step::AcceptAndReplace { host, edit } => {
            run(world, Step::Accept { host, edit });
            world.pass_records(host);
            world.check();
            world.replace_in_outage(host);
        }
    }
    world.check();
}

struct DistributionMachine;

impl StateMachineTest for DistributionMachine {
    type SystemUnderTest = World;
    type Reference = AnyStep;

    fn init_test((): &()) -> World {
        World::new()
    }

    fn apply(mut world: World, (): &(), step: Step) -> World {
        run(&mut world, step);
        world
    }

    fn teardown(mut world: World, (): ()) {
        world.settle();
    }
}

struct RestartMachine;

impl StateMachineTest for RestartMachine {
    type SystemUnderTest = World;
    type Reference = RestartStep;

    fn init_test((): &()) -> World {
        World::new()
    }

    fn apply(mut world: World, (): &(), step: Step) -> World {
        run(&mut world, step);
        world
    }

    fn teardown(mut world: World, (): ()) {
        world.settle();
    }
}

fn from_environment(name: &str, default: u64) -> u64 {
    match std::env::var(name) {
        Ok(text) => text
            .parse()
            .unwrap_or_else(|_| panic!("{name} is not a number: {text}")),
        Err(_) => default,
    }
}

fn config() -> Config {
    let cases = from_environment("AGATEDECK_PROPTEST_CASES", 512);
    Config {
        cases: u32::try_from(cases).unwrap(),
        rng_seed: RngSeed::Fixed(from_environment("AGATEDECK_PROPTEST_SEED", 0x00a9_a7ed)),
        failure_persistence: None,
        max_shrink_iters: 5_000,
        max_shrink_time: 20_000,
        ..Config::default()
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    /// Guards against a node that moves back, a version that is not exactly an accepted one, a
    /// change that is accepted twice or after its operator was told otherwise, a restarted host
    /// that serves less than before, and nodes that stay apart after all faults have ended.
    #[test]
    fn nodes_hold_only_accepted_versions(sequential 1..300 => DistributionMachine);

    /// Guards against a host that serves less than before after it is replaced while the store is
    /// away.
    #[test]
    fn replaced_hosts_serve_no_less_than_before(sequential 1..200 => RestartMachine);
}
