//! State machine test of configuration distribution under faults, against the list of committed
//! changes.
//!
//! `AGATEDECK_PROPTEST_CASES` and `AGATEDECK_PROPTEST_SEED` set the number of cases and the seed for
//! long runs.

mod model;
#[path = "../../calls/tests/common/property.rs"]
mod property;

use agatedeck_records::{ConfigSnapshot, RecordKey};
use agatedeck_wire::RecordKind;
use model::cluster::{ClusterModel, HOST_COUNT, MessageDelivery};
use model::commit::RequestDelivery;
use model::records::{policy_write, retirement_write, service_write};
use property::property_config;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

/// An operator's edit. There are few names, so that edits conflict on the same records.
#[derive(Clone, Copy, Debug)]
enum RecordEdit {
    Policy { name: u8, schema: u32, slots: u32 },
    Service { name: u8, policy: u8 },
    Retire { kind: RecordKind, name: u8 },
}

#[derive(Clone, Copy, Debug)]
enum ModelStep {
    Submit {
        host: usize,
        edit: RecordEdit,
    },
    Resend {
        host: usize,
        pick: usize,
    },
    StepCommit {
        pick: usize,
        delivery: RequestDelivery,
    },
    ExpireCommit {
        pick: usize,
    },
    CommitDelayed {
        pick: usize,
    },
    Deliver {
        pick: usize,
        delivery: MessageDelivery,
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
    AdvanceClock {
        ms: u64,
    },
    Crash {
        host: usize,
    },
    Restart {
        host: usize,
    },
    /// The store fails and the host is replaced, so that only peers can supply its floor.
    ReplaceInOutage {
        host: usize,
    },
    DeclareDead {
        host: usize,
    },
    Pause {
        host: usize,
    },
    Resume {
        host: usize,
    },
    Partition {
        hosts: u8,
    },
    Outage {
        unavailable: bool,
    },
    OldSchemaNode {
        live: bool,
    },
    /// The store is available, and an edit at the host is committed without a fault.
    Commit {
        host: usize,
        edit: RecordEdit,
    },
    /// Like `Commit`, after which the host is replaced. Of its messages, only the floor records to
    /// its witnesses arrive.
    CommitAndReplace {
        host: usize,
        edit: RecordEdit,
    },
}

/// Generates a mixture of all steps; every step is valid in every state.
struct MixedSteps;

impl ReferenceStateMachine for MixedSteps {
    type State = ();
    type Transition = ModelStep;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<ModelStep> {
        let (host, peer, pick) = (0..HOST_COUNT, 0..HOST_COUNT, 0..64_usize);
        let name = 0..2_u8;
        let edit = prop_oneof![
            4 => (name.clone(), 1..3_u32, 0..1_000_u32)
                .prop_map(|(name, schema, slots)| RecordEdit::Policy { name, schema, slots }),
            2 => (name.clone(), name.clone())
                .prop_map(|(name, policy)| RecordEdit::Service { name, policy }),
            1 => name.clone()
                .prop_map(|name| RecordEdit::Retire { kind: RecordKind::Policy, name }),
            1 => name.prop_map(|name| RecordEdit::Retire { kind: RecordKind::Service, name }),
        ];
        let request_delivery = prop_oneof![
            12 => Just(RequestDelivery::Answered),
            1 => Just(RequestDelivery::AnswerLost),
            1 => Just(RequestDelivery::Delayed),
            1 => Just(RequestDelivery::RequestLost),
            1 => Just(RequestDelivery::Unavailable),
        ];
        let message_delivery = prop_oneof![
            12 => Just(MessageDelivery::Delivered),
            1 => Just(MessageDelivery::Duplicated),
            1 => Just(MessageDelivery::Dropped),
            1 => Just(MessageDelivery::RecordAltered),
            1 => Just(MessageDelivery::ByteFlipped),
        ];
        let wait = prop_oneof![3 => 1..200_u64, 1 => 200..3_000_u64];
        let hosts = prop_oneof![1 => Just(0_u8), 1 => 0..64_u8];
        prop_oneof![
            4 => (host.clone(), edit.clone())
                .prop_map(|(host, edit)| ModelStep::Submit { host, edit }),
            1 => (host.clone(), edit)
                .prop_map(|(host, edit)| ModelStep::Commit { host, edit }),
            2 => (host.clone(), pick.clone())
                .prop_map(|(host, pick)| ModelStep::Resend { host, pick }),
            16 => (pick.clone(), request_delivery)
                .prop_map(|(pick, delivery)| ModelStep::StepCommit { pick, delivery }),
            1 => pick.clone().prop_map(|pick| ModelStep::ExpireCommit { pick }),
            1 => pick.clone().prop_map(|pick| ModelStep::CommitDelayed { pick }),
            24 => (pick, message_delivery)
                .prop_map(|(pick, delivery)| ModelStep::Deliver { pick, delivery }),
            3 => (host.clone(), peer.clone())
                .prop_map(|(host, peer)| ModelStep::Fetch { host, peer }),
            2 => host.clone().prop_map(|host| ModelStep::Poll { host }),
            2 => (host.clone(), peer).prop_map(|(host, peer)| ModelStep::Probe { host, peer }),
            5 => wait.prop_map(|ms| ModelStep::AdvanceClock { ms }),
            2 => host.clone().prop_map(|host| ModelStep::Crash { host }),
            3 => host.clone().prop_map(|host| ModelStep::Restart { host }),
            2 => host.clone().prop_map(|host| ModelStep::ReplaceInOutage { host }),
            1 => host.clone().prop_map(|host| ModelStep::DeclareDead { host }),
            1 => host.clone().prop_map(|host| ModelStep::Pause { host }),
            2 => host.prop_map(|host| ModelStep::Resume { host }),
            1 => hosts.prop_map(|hosts| ModelStep::Partition { hosts }),
            1 => any::<bool>().prop_map(|unavailable| ModelStep::Outage { unavailable }),
            1 => (0..3_u8).prop_map(|n| ModelStep::OldSchemaNode { live: n == 0 }),
        ]
        .boxed()
    }

    fn apply((): (), _: &ModelStep) {}
}

/// Generates mostly restarts during a store outage, which `MixedSteps` seldom completes.
struct RestartSteps;

impl ReferenceStateMachine for RestartSteps {
    type State = ();
    type Transition = ModelStep;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<ModelStep> {
        let (host, peer, pick) = (0..HOST_COUNT, 0..HOST_COUNT, 0..64_usize);
        let edit = (0..2_u8, 0..1_000_u32).prop_map(|(name, slots)| RecordEdit::Policy {
            name,
            schema: 1,
            slots,
        });
        let message_delivery =
            prop_oneof![8 => Just(MessageDelivery::Delivered), 1 => Just(MessageDelivery::Dropped)];
        prop_oneof![
            2 => (host.clone(), edit.clone())
                .prop_map(|(host, edit)| ModelStep::Commit { host, edit }),
            1 => (host.clone(), edit)
                .prop_map(|(host, edit)| ModelStep::CommitAndReplace { host, edit }),
            30 => (pick, message_delivery)
                .prop_map(|(pick, delivery)| ModelStep::Deliver { pick, delivery }),
            6 => (host.clone(), peer.clone())
                .prop_map(|(host, peer)| ModelStep::Fetch { host, peer }),
            5 => (host.clone(), peer).prop_map(|(host, peer)| ModelStep::Probe { host, peer }),
            5 => (1..400_u64).prop_map(|ms| ModelStep::AdvanceClock { ms }),
            1 => host.clone().prop_map(|host| ModelStep::Crash { host }),
            1 => host.clone().prop_map(|host| ModelStep::Restart { host }),
            2 => host.clone().prop_map(|host| ModelStep::ReplaceInOutage { host }),
            1 => host.prop_map(|host| ModelStep::DeclareDead { host }),
        ]
        .boxed()
    }

    fn apply((): (), _: &ModelStep) {}
}

fn build_writes(edit: RecordEdit, snapshot: &ConfigSnapshot) -> Vec<agatedeck_wire::RecordWrite> {
    let base = |kind, name: &str| {
        let record = snapshot.get(&RecordKey::new(kind, name));
        record.map_or(0, |record| record.revision)
    };
    let write = match edit {
        RecordEdit::Policy {
            name,
            schema,
            slots,
        } => {
            let name = format!("p{name}");
            policy_write(&name, base(RecordKind::Policy, &name), schema, slots)
        }
        RecordEdit::Service { name, policy } => {
            let name = format!("s{name}");
            service_write(
                &name,
                base(RecordKind::Service, &name),
                &format!("p{policy}"),
            )
        }
        RecordEdit::Retire { kind, name } => {
            let letter = if kind == RecordKind::Policy { 'p' } else { 's' };
            let name = format!("{letter}{name}");
            retirement_write(kind, &name, base(kind, &name))
        }
    };
    vec![write]
}

fn apply_step(model: &mut ClusterModel, step: ModelStep) {
    match step {
        ModelStep::Submit { host, edit } => {
            model.submit(host, |snapshot| build_writes(edit, snapshot));
        }
        ModelStep::Resend { host, pick } => model.resend(host, pick),
        ModelStep::StepCommit { pick, delivery } => model.step_picked_commit(pick, delivery),
        ModelStep::ExpireCommit { pick } => model.expire_commit(pick),
        ModelStep::CommitDelayed { pick } => model.commit_delayed(pick),
        ModelStep::Deliver { pick, delivery } => model.deliver_message(pick, delivery),
        ModelStep::Fetch { host, peer } => model.run_fetch(host, peer),
        ModelStep::Poll { host } => model.poll_store(host),
        ModelStep::Probe { host, peer } => model.send_probe(host, peer),
        ModelStep::AdvanceClock { ms } => model.advance_clock(ms),
        ModelStep::Crash { host } => model.crash(host),
        ModelStep::Restart { host } => model.restart(host),
        ModelStep::ReplaceInOutage { host } => model.replace_in_outage(host),
        ModelStep::DeclareDead { host } => model.declare_dead(host),
        ModelStep::Pause { host } => model.pause(host),
        ModelStep::Resume { host } => model.resume(host),
        ModelStep::Partition { hosts } => model.partition(hosts),
        ModelStep::Outage { unavailable } => model.store.unavailable = unavailable,
        ModelStep::OldSchemaNode { live } => model.old_schema_node_is_live = live,
        ModelStep::Commit { host, edit } => {
            model.store.unavailable = false;
            model.submit(host, |snapshot| build_writes(edit, snapshot));
            model.finish_commit(host);
        }
        ModelStep::CommitAndReplace { host, edit } => {
            apply_step(model, ModelStep::Commit { host, edit });
            model.deliver_floor_records(host);
            model.check_invariants();
            model.replace_in_outage(host);
        }
    }
    model.check_invariants();
}

struct DistributionMachine;

impl StateMachineTest for DistributionMachine {
    type SystemUnderTest = ClusterModel;
    type Reference = MixedSteps;

    fn init_test((): &()) -> ClusterModel {
        ClusterModel::new()
    }

    fn apply(mut model: ClusterModel, (): &(), step: ModelStep) -> ClusterModel {
        apply_step(&mut model, step);
        model
    }

    fn teardown(mut model: ClusterModel, (): ()) {
        model.clear_faults_and_converge();
    }
}

struct RestartMachine;

impl StateMachineTest for RestartMachine {
    type SystemUnderTest = ClusterModel;
    type Reference = RestartSteps;

    fn init_test((): &()) -> ClusterModel {
        ClusterModel::new()
    }

    fn apply(mut model: ClusterModel, (): &(), step: ModelStep) -> ClusterModel {
        apply_step(&mut model, step);
        model
    }

    fn teardown(mut model: ClusterModel, (): ()) {
        model.clear_faults_and_converge();
    }
}

fn proptest_config() -> Config {
    Config {
        max_shrink_iters: 5_000,
        max_shrink_time: 20_000,
        ..property_config(512, 0x00a9_a7ed)
    }
}

prop_state_machine! {
    #![proptest_config(proptest_config())]

    /// Guards against a node that moves back to an older version, an active version that differs
    /// from the committed one, a change that is committed twice or after it was reported as not
    /// committed, a restarted host that serves an older version than before, and nodes that do not
    /// converge after all faults have ended.
    #[test]
    fn nodes_hold_only_committed_versions(sequential 1..300 => DistributionMachine);

    /// Guards against a host that serves an older version after it is replaced during a store
    /// outage.
    #[test]
    fn replaced_hosts_never_serve_an_older_version(sequential 1..200 => RestartMachine);
}
