//! Replays the recorded traces in `tests/traces/` and compares the results with the expected ones.
//!
//! A trace is a TOML file. `guards` names the failure that it guards against. Each `[[version]]` is
//! an accepted change of one policy, in order from version 1. Each `[[step]]` passes one input to a
//! type of `agatedeck-control` or checks its state, as named by `do`. `expect` is the expected
//! result.

use std::collections::BTreeMap;
use std::fmt::Debug;
use std::path::Path;

use agatedeck_clock::Instant;
use agatedeck_control::{
    CommitAction, CommitMachine, CommitOutcome, ConfigReplica, JoinEffect, JoinMachine,
    JoinSettings, MemberTable, OfferResult, PullReply, ReplicaSettings, VersionEffect,
    VersionOrigin, unreadable_nodes,
};
use agatedeck_records::{ConfigSnapshot, PlannedChange, compress, plan_change};
use agatedeck_wire::record_form::Body;
use agatedeck_wire::{
    Change, FloorAnswer, JoinAnswer, Member, MemberStatus, PolicyForm, RecordForm, RecordKind,
    RecordName, RecordWrite,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Deserialize;
use yare::parameterized;

/// A trace file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RecordedTrace {
    guards: String,
    #[serde(default, rename = "version")]
    edits: Vec<PolicyEdit>,
    #[serde(rename = "step")]
    steps: Vec<TraceStep>,
}

/// A write of one policy, with one form for each of `schemas`.
#[derive(Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct PolicyEdit {
    policy: String,
    slots: u32,
    #[serde(default = "default_schemas")]
    schemas: Vec<u32>,
}

fn default_schemas() -> Vec<u32> {
    vec![1]
}

fn default_reads_schema() -> u32 {
    agatedeck_records::NEWEST_SCHEMA
}

/// A step of a trace. Times (`at_ms`) are milliseconds since the start of the trace.
#[derive(Deserialize)]
#[serde(tag = "do", rename_all = "kebab-case", deny_unknown_fields)]
enum TraceStep {
    /// Starts a node with an empty replica.
    Start {
        node: String,
        #[serde(default = "default_reads_schema")]
        reads_schema: u32,
        #[serde(default)]
        max_retained_deltas: Option<usize>,
    },
    /// Offers the delta of a version to a node. A damaged delta lacks its records.
    Offer {
        node: String,
        version: u64,
        #[serde(default)]
        damaged: bool,
        expect: String,
    },
    /// Offers the snapshot of a version to a node.
    OfferSnapshot {
        node: String,
        version: u64,
        expect: String,
    },
    /// Reports to a node that its witnesses have recorded a version as its floor.
    WitnessesRecorded { node: String, version: u64 },
    /// Sets the clock and handles the deadlines of a node that have passed.
    Tick { node: String, at_ms: u64 },
    /// Raises the lowest version that a node may serve.
    RaiseFloor { node: String, floor: u64 },
    /// `node` pulls from `from` and applies the reply. `expect` is `snapshot`, or `deltas` and
    /// their number.
    Pull {
        node: String,
        from: String,
        expect: String,
    },
    /// Checks the replica of a node. The latest version defaults to the active one, and without
    /// `refused` no version must have been refused.
    ReplicaState {
        node: String,
        active: u64,
        #[serde(default)]
        latest: Option<u64>,
        #[serde(default)]
        serves: Option<bool>,
        #[serde(default)]
        refused: Option<u64>,
    },
    /// Passes an event to the commit of a change, which committed as `version` if one is given.
    /// `expect` lists the resulting actions.
    CommitEvent {
        change: String,
        event: String,
        #[serde(default)]
        version: Option<u64>,
        expect: Vec<String>,
    },
    /// Plans a change on top of version `on` and passes the resulting event to its commit.
    /// `live_schema` adds a live node that reads this schema.
    Plan {
        change: String,
        on: u64,
        edit: PolicyEdit,
        base: u64,
        #[serde(default)]
        live_schema: Option<u32>,
        expect: Vec<String>,
    },
    /// Checks the outcome of a commit.
    CommitOutcome { change: String, expect: String },
    /// Starts the join of a host. In this and the following join steps `expect` lists the effects.
    JoinStart {
        host: String,
        seed_addresses: Vec<String>,
        expect: Vec<String>,
    },
    /// The answer to the host's read of the head. No version means that the store was unreachable.
    JoinHead {
        host: String,
        version: Option<u64>,
        expect: Vec<String>,
    },
    /// A `Join` request of the host failed.
    JoinFailed { host: String, expect: Vec<String> },
    /// An answer to a `Join` request of the host.
    JoinAnswer {
        host: String,
        floor: u64,
        version: u64,
        members: Vec<String>,
        expect: Vec<String>,
    },
    /// The answer of `from` to a floor query of the host.
    FloorAnswer {
        host: String,
        from: String,
        version: u64,
        expect: Vec<String>,
    },
    /// Reports the version that the host holds to its join.
    JoinHeldVersion {
        host: String,
        version: u64,
        expect: Vec<String>,
    },
    /// Sets the clock and handles the timeouts of the join that have passed.
    JoinTick {
        host: String,
        at_ms: u64,
        expect: Vec<String>,
    },
    /// Checks the state of the host's join.
    JoinState { host: String, expect: String },
    /// Merges an update of a member into the member table of node `table`.
    Merge {
        table: String,
        member: String,
        incarnation: u64,
        status: String,
        #[serde(default)]
        version: u64,
        expect: String,
    },
    /// Checks the entry of a member in the member table of node `table`.
    MemberState {
        table: String,
        member: String,
        status: String,
        version: u64,
    },
}

/// State of a replay, by the names of nodes and changes in the trace.
struct TraceReplay {
    now: Instant,
    rng: SmallRng,
    plans: Vec<PlannedChange>,
    replicas: BTreeMap<String, ConfigReplica>,
    /// Versions that became active at each node, in order.
    activations: BTreeMap<String, Vec<u64>>,
    commit_machines: BTreeMap<String, CommitMachine>,
    join_machines: BTreeMap<String, JoinMachine>,
    member_tables: BTreeMap<String, MemberTable>,
}

fn policy_write(edit: &PolicyEdit, base_revision: u64) -> RecordWrite {
    let body = PolicyForm {
        slots: edit.slots,
        ..PolicyForm::default()
    };
    let form = |schema: &u32| RecordForm {
        schema: *schema,
        body: Some(Body::Policy(body)),
    };
    RecordWrite {
        name: Some(RecordName {
            kind: RecordKind::Policy.into(),
            name: edit.policy.clone(),
        }),
        forms: edit.schemas.iter().map(form).collect(),
        base_revision,
    }
}

/// Plans the versions of a trace, starting from an empty snapshot.
fn plan_versions(edits: &[PolicyEdit]) -> Vec<PlannedChange> {
    let mut snapshot = ConfigSnapshot::default();
    let mut revisions: BTreeMap<&str, u64> = BTreeMap::new();
    let mut plans = Vec::new();
    for edit in edits {
        let revision = revisions.entry(&edit.policy).or_default();
        let change = Change {
            change_id: format!("change-{}", snapshot.version() + 1),
            writes: vec![policy_write(edit, *revision)],
            ..Change::default()
        };
        let plan =
            plan_change(&snapshot, &change, 0).expect("versions of the trace should be valid");
        snapshot = plan.snapshot.clone();
        *revision = snapshot.version();
        plans.push(plan);
    }
    plans
}

/// Returns the index of a version in `TraceReplay::plans`.
fn version_index(version: u64) -> usize {
    usize::try_from(version).unwrap() - 1
}

fn member_status(name: &str) -> MemberStatus {
    let name = format!("MEMBER_STATUS_{}", name.to_uppercase());
    MemberStatus::from_str_name(&name).expect("status should be known")
}

fn test_member(name: &str) -> Member {
    Member {
        node: name.to_owned(),
        control_address: name.to_owned(),
        domain: "d".to_owned(),
        ..Member::default()
    }
}

fn offer_result_name(result: &OfferResult) -> &'static str {
    match result {
        OfferResult::Held => "held",
        OfferResult::Stale => "stale",
        OfferResult::Behind => "behind",
        OfferResult::Refused(_) => "refused",
    }
}

fn commit_outcome_name(outcome: Option<&CommitOutcome>) -> String {
    match outcome {
        None => "open".to_owned(),
        Some(CommitOutcome::Accepted(version)) => format!("accepted {version}"),
        Some(CommitOutcome::Refused(_)) => "refused".to_owned(),
        Some(CommitOutcome::Unreadable(_)) => "unreadable".to_owned(),
        Some(CommitOutcome::Unreachable) => "unreachable".to_owned(),
        Some(CommitOutcome::NotYetKnown) => "not-yet-known".to_owned(),
    }
}

/// Returns the names of effects. The peers of `Join` are left out because they are drawn at random.
fn join_effect_names(effects: &[JoinEffect]) -> Vec<String> {
    let effect_name = |effect: &JoinEffect| match effect {
        JoinEffect::ReadHead => "read-head".to_owned(),
        JoinEffect::Join { .. } => "join".to_owned(),
        JoinEffect::QueryFloor { node, .. } => format!("query-floor {node}"),
        JoinEffect::MergeMemberList(_) => "merge-member-list".to_owned(),
        JoinEffect::Fetch { floor } => format!("fetch {floor}"),
        JoinEffect::Serve => "serve".to_owned(),
        JoinEffect::Drain => "drain".to_owned(),
        JoinEffect::Stop => "stop".to_owned(),
    };
    effects.iter().map(effect_name).collect()
}

/// Asserts that a result is the one expected by the trace.
fn assert_matches_trace<T: PartialEq + Debug + ?Sized>(actual: &T, expected: &T, step_label: &str) {
    assert!(
        actual == expected,
        "{step_label}: actual {actual:?}, expected {expected:?}"
    );
}

impl TraceReplay {
    fn new(trace: &RecordedTrace) -> Self {
        Self {
            now: Instant::from_millis(0),
            rng: SmallRng::seed_from_u64(1),
            plans: plan_versions(&trace.edits),
            replicas: BTreeMap::new(),
            activations: BTreeMap::new(),
            commit_machines: BTreeMap::new(),
            join_machines: BTreeMap::new(),
            member_tables: BTreeMap::new(),
        }
    }

    /// Records the activations among `effects`. Asserts that each active snapshot has the accepted
    /// content and that versions only increase.
    fn record_activations(&mut self, node: &str, effects: &[VersionEffect]) {
        let activations = self.activations.entry(node.to_owned()).or_default();
        for effect in effects {
            if let VersionEffect::Activate { snapshot, .. } = effect {
                let version = snapshot.version();
                let accepted = &self.plans[version_index(version)].snapshot;
                assert_eq!(
                    snapshot.digest(),
                    accepted.digest(),
                    "node {node} activated version {version} with other content than accepted"
                );
                assert!(
                    activations.last() < Some(&version),
                    "node {node} activated version {version} after {activations:?}"
                );
                activations.push(version);
            }
        }
    }

    fn replica(&mut self, node: &str) -> &mut ConfigReplica {
        self.replicas
            .get_mut(node)
            .expect("node should have been started")
    }

    fn commit_machine(&mut self, id: &str) -> &mut CommitMachine {
        let new_machine = || CommitMachine::new().expect("chart should be valid");
        self.commit_machines
            .entry(id.to_owned())
            .or_insert_with(new_machine)
    }

    fn advance_commit(&mut self, id: &str, event: &str, expected: &[String], step_label: &str) {
        let event = event.parse().expect("event should be known");
        let actions = self.commit_machine(id).advance(event);
        let expected: Vec<CommitAction> = expected
            .iter()
            .map(|action| action.parse().expect("action should be known"))
            .collect();
        assert_matches_trace(actions.as_slice(), expected.as_slice(), step_label);
    }

    fn advance_join(
        &mut self,
        host: &str,
        expected: &[String],
        step_label: &str,
        advance: impl FnOnce(&mut JoinMachine, Instant, &mut SmallRng) -> Vec<JoinEffect>,
    ) {
        let machine = self
            .join_machines
            .get_mut(host)
            .expect("join should have been started");
        let effects = advance(machine, self.now, &mut self.rng);
        assert_matches_trace(join_effect_names(&effects).as_slice(), expected, step_label);
    }

    fn run_step(&mut self, step: &TraceStep, step_label: &str) {
        let now = self.now;
        match step {
            TraceStep::Start {
                node,
                reads_schema,
                max_retained_deltas,
            } => {
                let defaults = ReplicaSettings::default();
                let replica = ConfigReplica::new(ReplicaSettings {
                    reads_schema: *reads_schema,
                    max_retained_deltas: max_retained_deltas
                        .unwrap_or(defaults.max_retained_deltas),
                    ..defaults
                });
                self.replicas
                    .insert(node.clone(), replica.expect("chart should be valid"));
                self.activations.remove(node);
            }
            TraceStep::Offer {
                node,
                version,
                damaged,
                expect,
            } => {
                let mut delta = self.plans[version_index(*version)].delta.clone();
                if *damaged {
                    delta.puts.clear();
                }
                let bytes = compress(&delta);
                let replica = self.replica(node);
                let (result, effects) = replica.offer(*version, &bytes, VersionOrigin::Tree, now);
                assert_matches_trace(offer_result_name(&result), expect.as_str(), step_label);
                self.record_activations(node, &effects);
            }
            TraceStep::OfferSnapshot {
                node,
                version,
                expect,
            } => {
                let snapshot = self.plans[version_index(*version)].snapshot.clone();
                let (bytes, digest) = (snapshot.compressed(), snapshot.digest());
                let replica = self.replica(node);
                let (result, effects) =
                    replica.offer_snapshot(&bytes, digest.as_bytes(), VersionOrigin::Store, now);
                assert_matches_trace(offer_result_name(&result), expect.as_str(), step_label);
                self.record_activations(node, &effects);
            }
            TraceStep::WitnessesRecorded { node, version } => {
                let effects = self.replica(node).on_witnesses_recorded(*version);
                self.record_activations(node, &effects);
            }
            TraceStep::Tick { node, at_ms } => {
                self.now = Instant::from_millis(*at_ms);
                let now = self.now;
                let effects = self.replica(node).tick(now);
                self.record_activations(node, &effects);
            }
            TraceStep::RaiseFloor { node, floor } => self.replica(node).raise_floor(*floor),
            TraceStep::Pull { node, from, expect } => self.run_pull(node, from, expect, step_label),
            TraceStep::ReplicaState {
                node,
                active,
                latest,
                serves,
                refused,
            } => {
                let replica = self.replica(node);
                let active_version = replica.current().version();
                assert_matches_trace(&active_version, active, step_label);
                let latest_version = replica.latest().version();
                assert_matches_trace(&latest_version, &latest.unwrap_or(*active), step_label);
                assert_matches_trace(
                    &replica.may_serve(),
                    &serves.unwrap_or(replica.may_serve()),
                    step_label,
                );
                assert_matches_trace(
                    &replica.refusal().map(|(version, _)| version),
                    refused,
                    step_label,
                );
            }
            _ => self.run_commit_step(step, step_label),
        }
    }

    fn run_commit_step(&mut self, step: &TraceStep, step_label: &str) {
        let now = self.now;
        match step {
            TraceStep::CommitEvent {
                change,
                event,
                version,
                expect,
            } => {
                if let Some(version) = version {
                    self.commit_machine(change).set_version(*version);
                }
                self.advance_commit(change, event, expect, step_label);
            }
            TraceStep::Plan { .. } => self.run_plan(step, step_label),
            TraceStep::CommitOutcome { change, expect } => {
                let outcome = self.commit_machine(change).outcome();
                assert_matches_trace(
                    commit_outcome_name(outcome.as_ref()).as_str(),
                    expect.as_str(),
                    step_label,
                );
            }
            TraceStep::Merge {
                table,
                member: name,
                incarnation,
                status: status_name,
                version,
                expect,
            } => {
                let update = Member {
                    incarnation: *incarnation,
                    status: member_status(status_name).into(),
                    version: *version,
                    ..test_member(name)
                };
                let table = self.member_tables.entry(table.clone()).or_default();
                let result = format!("{:?}", table.merge(&update, now)).to_lowercase();
                assert_matches_trace(result.as_str(), expect.as_str(), step_label);
            }
            TraceStep::MemberState {
                table,
                member,
                status: expected,
                version,
            } => {
                let actual = self.member_tables[table]
                    .get(member)
                    .expect("member should be known");
                assert_matches_trace(
                    &(actual.status(), actual.version),
                    &(member_status(expected), *version),
                    step_label,
                );
            }
            _ => self.run_join_step(step, step_label),
        }
    }

    fn run_join_step(&mut self, step: &TraceStep, step_label: &str) {
        match step {
            TraceStep::JoinStart {
                host,
                seed_addresses,
                expect,
            } => {
                let seed_addresses: Vec<&str> = seed_addresses.iter().map(String::as_str).collect();
                let machine = JoinMachine::new(
                    &test_member(host),
                    &seed_addresses,
                    &JoinSettings::default(),
                );
                self.join_machines.insert(host.clone(), machine);
                self.advance_join(host, expect, step_label, JoinMachine::start);
            }
            TraceStep::JoinHead {
                host,
                version,
                expect,
            } => self.advance_join(host, expect, step_label, |machine, now, rng| {
                machine.on_head(*version, now, rng)
            }),
            TraceStep::JoinFailed { host, expect } => {
                self.advance_join(host, expect, step_label, |machine, _, rng| {
                    machine.on_join_failed(rng)
                });
            }
            TraceStep::JoinAnswer {
                host,
                floor,
                version,
                members,
                expect,
            } => {
                let answer = JoinAnswer {
                    accepted: true,
                    floor: *floor,
                    version: *version,
                    members: members.iter().map(|name| test_member(name)).collect(),
                    ..JoinAnswer::default()
                };
                self.advance_join(host, expect, step_label, |machine, now, rng| {
                    machine.on_join_answer(&answer, now, rng)
                });
            }
            TraceStep::FloorAnswer {
                host,
                from,
                version,
                expect,
            } => {
                let answer = FloorAnswer { version: *version };
                self.advance_join(host, expect, step_label, |machine, now, rng| {
                    machine.on_floor_answer(from, &answer, now, rng)
                });
            }
            TraceStep::JoinHeldVersion {
                host,
                version,
                expect,
            } => self.advance_join(host, expect, step_label, |machine, now, rng| {
                machine.on_held_version(*version, now, rng)
            }),
            TraceStep::JoinTick {
                host,
                at_ms,
                expect,
            } => {
                self.now = Instant::from_millis(*at_ms);
                self.advance_join(host, expect, step_label, JoinMachine::tick);
            }
            TraceStep::JoinState { host, expect } => {
                assert_matches_trace(
                    self.join_machines[host].state().to_string().as_str(),
                    expect.as_str(),
                    step_label,
                );
            }
            _ => unreachable!("all other steps are handled by the callers"),
        }
    }

    fn run_pull(&mut self, node: &str, from: &str, expected: &str, step_label: &str) {
        let now = self.now;
        let held_version = self.replica(node).latest().version();
        let source = self.replica(from);
        let digest = source.current().digest();
        match source.answer_pull(held_version) {
            PullReply::Deltas(deltas) => {
                assert_matches_trace(
                    format!("deltas {}", deltas.len()).as_str(),
                    expected,
                    step_label,
                );
                let effects = self.replica(node).offer_pulled(&deltas, now);
                self.record_activations(node, &effects);
            }
            PullReply::Snapshot(bytes) => {
                assert_matches_trace("snapshot", expected, step_label);
                let replica = self.replica(node);
                let digest = digest.as_bytes();
                let (_, effects) = replica.offer_snapshot(&bytes, digest, VersionOrigin::Pull, now);
                self.record_activations(node, &effects);
            }
        }
    }

    fn run_plan(&mut self, step: &TraceStep, step_label: &str) {
        let TraceStep::Plan {
            change,
            on,
            edit,
            base,
            live_schema,
            expect,
        } = step
        else {
            return;
        };
        let request = Change {
            change_id: change.clone(),
            writes: vec![policy_write(edit, *base)],
            ..Change::default()
        };
        let snapshot = match on {
            0 => ConfigSnapshot::default(),
            version => self.plans[version_index(*version)].snapshot.clone(),
        };
        let event = match plan_change(&snapshot, &request, 0) {
            Err(refusal) => {
                self.commit_machine(change)
                    .set_refusal(CommitOutcome::Refused(refusal));
                "plan-refused"
            }
            Ok(plan) => {
                let live_node = live_schema.map(|reads_schema| Member {
                    reads_schema,
                    ..test_member("old")
                });
                let unreadable = unreadable_nodes(&plan.snapshot, live_node.iter());
                if unreadable.is_empty() {
                    "plan-made"
                } else {
                    self.commit_machine(change)
                        .set_refusal(CommitOutcome::Unreadable(unreadable));
                    "plan-refused"
                }
            }
        };
        self.advance_commit(change, event, expect, step_label);
    }
}

/// Guards against the failure that each trace names in `guards`.
#[parameterized(
    out_of_order_updates = { "out-of-order-updates" },
    lost_answer_then_resend = { "lost-answer-then-resend" },
    damaged_delta = { "damaged-delta" },
    restart_during_store_outage = { "restart-during-store-outage" },
    paused_node = { "paused-node" },
    concurrent_edits = { "concurrent-edits" },
    snapshot_overtaken = { "snapshot-overtaken" },
    unreadable_form = { "unreadable-form" },
    floor_after_round_timeout = { "floor-after-round-timeout" },
    refusal_with_write_in_doubt = { "refusal-with-write-in-doubt" },
)]
fn a_replayed_trace_matches_its_expectations(name: &str) {
    let trace_folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/traces");
    let text = std::fs::read_to_string(trace_folder.join(format!("{name}.toml"))).unwrap();
    let trace: RecordedTrace =
        toml::from_str(&text).unwrap_or_else(|error| panic!("{name}: {error}"));
    assert!(!trace.guards.is_empty());
    let mut replay = TraceReplay::new(&trace);
    for (index, step) in trace.steps.iter().enumerate() {
        replay.run_step(step, &format!("{name}, step {}", index + 1));
    }
}
