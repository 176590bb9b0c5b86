//! Replays the recorded traces in `tests/traces/` and compares what comes of them with what each
//! trace states.
//!
//! A trace is a TOML file. `guards` says which failure it guards against. Each `[[version]]` is an
//! accepted change of one policy, in order from version 1. Each `[[step]]` drives one decision of
//! `agatedeck-control`, named by `do`, and may state what must come of it.

use std::collections::BTreeMap;
use std::fmt::Debug;
use std::path::Path;

use agatedeck_clock::Instant;
use agatedeck_control::{
    CommitAction, CommitMachine, CommitOutcome, ConfigReplica, JoinEffect, JoinMachine,
    JoinSettings, MemberTable, OfferResult, PullReply, ReplicaSettings, VersionEffect,
    unreadable_nodes,
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

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Trace {
    guards: String,
    #[serde(default)]
    version: Vec<Edit>,
    step: Vec<Step>,
}

/// A write of one policy. `schemas` are its forms.
#[derive(Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct Edit {
    policy: String,
    slots: u32,
    #[serde(default = "first_schema")]
    schemas: Vec<u32>,
}

fn first_schema() -> Vec<u32> {
    vec![1]
}

fn newest_schema() -> u32 {
    agatedeck_records::NEWEST_SCHEMA
}

#[derive(Deserialize)]
#[serde(tag = "do", rename_all = "kebab-case", deny_unknown_fields)]
enum Step {
    /// A node starts with empty memory.
    Start {
        node: String,
        #[serde(default = "newest_schema")]
        reads_schema: u32,
        #[serde(default)]
        kept_deltas: Option<usize>,
    },
    Offer {
        node: String,
        version: u64,
        #[serde(default)]
        damaged: bool,
        expect: String,
    },
    OfferSnapshot {
        node: String,
        version: u64,
        expect: String,
    },
    Witnessed {
        node: String,
        version: u64,
    },
    Tick {
        node: String,
        at_ms: u64,
    },
    RaiseFloor {
        node: String,
        floor: u64,
    },
    /// `node` pulls from `from` and takes in what comes.
    Pull {
        node: String,
        from: String,
        expect: String,
    },
    /// What must hold at a node.
    Holds {
        node: String,
        in_force: u64,
        #[serde(default)]
        tip: Option<u64>,
        #[serde(default)]
        serves: Option<bool>,
        #[serde(default)]
        refused: Option<u64>,
    },
    /// An event at the node that accepts a change; `expect` lists the actions.
    Accept {
        change: String,
        event: String,
        #[serde(default)]
        version: Option<u64>,
        expect: Vec<String>,
    },
    /// Works out a change on a version; the event that results is applied.
    Plan {
        change: String,
        on: u64,
        edit: Edit,
        base: u64,
        #[serde(default)]
        live_schema: Option<u32>,
        expect: Vec<String>,
    },
    Outcome {
        change: String,
        expect: String,
    },
    /// Events of a joining host; `expect` lists the effects.
    JoinStart {
        host: String,
        contacts: Vec<String>,
        expect: Vec<String>,
    },
    JoinHead {
        host: String,
        version: Option<u64>,
        expect: Vec<String>,
    },
    JoinFailed {
        host: String,
        expect: Vec<String>,
    },
    JoinAnswer {
        host: String,
        floor: u64,
        version: u64,
        members: Vec<String>,
        expect: Vec<String>,
    },
    FloorAnswer {
        host: String,
        from: String,
        version: u64,
        expect: Vec<String>,
    },
    JoinHolds {
        host: String,
        version: u64,
        expect: Vec<String>,
    },
    JoinTick {
        host: String,
        at_ms: u64,
        expect: Vec<String>,
    },
    JoinState {
        host: String,
        expect: String,
    },
    /// An update that reaches the member table of `table`.
    Merge {
        table: String,
        member: String,
        incarnation: u64,
        status: String,
        #[serde(default)]
        version: u64,
        expect: String,
    },
    Member {
        table: String,
        member: String,
        status: String,
        version: u64,
    },
}

struct Replay {
    now: Instant,
    rng: SmallRng,
    plans: Vec<PlannedChange>,
    holders: BTreeMap<String, ConfigReplica>,
    /// Versions put in force at each node, in order.
    forced: BTreeMap<String, Vec<u64>>,
    changes: BTreeMap<String, CommitMachine>,
    joins: BTreeMap<String, JoinMachine>,
    tables: BTreeMap<String, MemberTable>,
}

fn write(edit: &Edit, base_revision: u64) -> RecordWrite {
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

fn plans(edits: &[Edit]) -> Vec<PlannedChange> {
    let mut snapshot = ConfigSnapshot::default();
    let mut revisions: BTreeMap<&str, u64> = BTreeMap::new();
    let mut plans = Vec::new();
    for edit in edits {
        let revision = revisions.entry(&edit.policy).or_default();
        let change = Change {
            change_id: format!("change-{}", snapshot.version() + 1),
            writes: vec![write(edit, *revision)],
            ..Change::default()
        };
        let plan = plan_change(&snapshot, &change, 0).expect("the trace states sound versions");
        snapshot = plan.snapshot.clone();
        *revision = snapshot.version();
        plans.push(plan);
    }
    plans
}

fn index(version: u64) -> usize {
    usize::try_from(version).unwrap() - 1
}

fn status(name: &str) -> MemberStatus {
    let name = format!("MEMBER_STATUS_{}", name.to_uppercase());
    MemberStatus::from_str_name(&name).expect("a status")
}

fn member(name: &str) -> Member {
    Member {
        node: name.to_owned(),
        control_address: name.to_owned(),
        domain: "d".to_owned(),
        ..Member::default()
    }
}

fn verdict_name(verdict: &OfferResult) -> &'static str {
    match verdict {
        OfferResult::Held => "held",
        OfferResult::Stale => "stale",
        OfferResult::Behind => "behind",
        OfferResult::Refused(_) => "refused",
    }
}

fn outcome_name(outcome: Option<&CommitOutcome>) -> String {
    match outcome {
        None => "open".to_owned(),
        Some(CommitOutcome::Accepted(version)) => format!("accepted {version}"),
        Some(CommitOutcome::Refused(_)) => "refused".to_owned(),
        Some(CommitOutcome::Unreadable(_)) => "unreadable".to_owned(),
        Some(CommitOutcome::Unreachable) => "unreachable".to_owned(),
        Some(CommitOutcome::NotYetKnown) => "not-yet-known".to_owned(),
    }
}

/// Effects without the peers that were drawn at random.
fn effect_names(effects: &[JoinEffect]) -> Vec<String> {
    let name = |effect: &JoinEffect| match effect {
        JoinEffect::ReadHead => "read-head".to_owned(),
        JoinEffect::Join { .. } => "join".to_owned(),
        JoinEffect::QueryFloor { node, .. } => format!("ask-floor {node}"),
        JoinEffect::MergeMemberList(_) => "adopt".to_owned(),
        JoinEffect::Fetch { floor } => format!("fetch {floor}"),
        JoinEffect::Serve => "serve".to_owned(),
        JoinEffect::Drain => "drain".to_owned(),
        JoinEffect::Stop => "stop".to_owned(),
    };
    effects.iter().map(name).collect()
}

fn same<T: PartialEq + Debug + ?Sized>(found: &T, stated: &T, place: &str) {
    assert!(
        found == stated,
        "{place}: found {found:?}, stated {stated:?}"
    );
}

impl Replay {
    fn new(trace: &Trace) -> Self {
        Self {
            now: Instant::from_millis(0),
            rng: SmallRng::seed_from_u64(1),
            plans: plans(&trace.version),
            holders: BTreeMap::new(),
            forced: BTreeMap::new(),
            changes: BTreeMap::new(),
            joins: BTreeMap::new(),
            tables: BTreeMap::new(),
        }
    }

    fn note(&mut self, node: &str, effects: &[VersionEffect]) {
        let forced = self.forced.entry(node.to_owned()).or_default();
        for effect in effects {
            if let VersionEffect::Activate(snapshot) = effect {
                let version = snapshot.version();
                let accepted = &self.plans[index(version)].snapshot;
                assert_eq!(
                    snapshot.digest(),
                    accepted.digest(),
                    "version {version} is whole"
                );
                assert!(forced.last() < Some(&version), "node {node} moved back");
                forced.push(version);
            }
        }
    }

    fn holder(&mut self, node: &str) -> &mut ConfigReplica {
        self.holders.get_mut(node).expect("the node was started")
    }

    fn change(&mut self, id: &str) -> &mut CommitMachine {
        let new = || CommitMachine::new().expect("the chart is sound");
        self.changes.entry(id.to_owned()).or_insert_with(new)
    }

    fn accept(&mut self, id: &str, event: &str, stated: &[String], place: &str) {
        let event = event.parse().expect("an event");
        let actions = self.change(id).advance(event);
        let stated: Vec<CommitAction> = stated
            .iter()
            .map(|action| action.parse().expect("an action"))
            .collect();
        same(actions.as_slice(), stated.as_slice(), place);
    }

    fn join(
        &mut self,
        host: &str,
        stated: &[String],
        place: &str,
        drive: impl FnOnce(&mut JoinMachine, Instant, &mut SmallRng) -> Vec<JoinEffect>,
    ) {
        let join = self.joins.get_mut(host).expect("the join was started");
        let effects = drive(join, self.now, &mut self.rng);
        same(effect_names(&effects).as_slice(), stated, place);
    }

    fn run(&mut self, step: &Step, place: &str) {
        let now = self.now;
        match step {
            Step::Start {
                node,
                reads_schema,
                kept_deltas,
            } => {
                let defaults = ReplicaSettings::default();
                let holder = ConfigReplica::new(ReplicaSettings {
                    reads_schema: *reads_schema,
                    max_retained_deltas: kept_deltas.unwrap_or(defaults.max_retained_deltas),
                    ..defaults
                });
                self.holders
                    .insert(node.clone(), holder.expect("the chart is sound"));
                self.forced.remove(node);
            }
            Step::Offer {
                node,
                version,
                damaged,
                expect,
            } => {
                let mut delta = self.plans[index(*version)].delta.clone();
                if *damaged {
                    delta.puts.clear();
                }
                let (verdict, effects) = self.holder(node).offer(*version, &compress(&delta), now);
                same(verdict_name(&verdict), expect.as_str(), place);
                self.note(node, &effects);
            }
            Step::OfferSnapshot {
                node,
                version,
                expect,
            } => {
                let snapshot = self.plans[index(*version)].snapshot.clone();
                let (bytes, digest) = (snapshot.compressed(), snapshot.digest());
                let holder = self.holder(node);
                let (verdict, effects) = holder.offer_snapshot(&bytes, digest.as_bytes(), now);
                same(verdict_name(&verdict), expect.as_str(), place);
                self.note(node, &effects);
            }
            Step::Witnessed { node, version } => {
                let effects = self.holder(node).on_witnesses_recorded(*version);
                self.note(node, &effects);
            }
            Step::Tick { node, at_ms } => {
                self.now = Instant::from_millis(*at_ms);
                let now = self.now;
                let effects = self.holder(node).tick(now);
                self.note(node, &effects);
            }
            Step::RaiseFloor { node, floor } => self.holder(node).raise_floor(*floor),
            Step::Pull { node, from, expect } => self.pull(node, from, expect, place),
            Step::Holds {
                node,
                in_force,
                tip,
                serves,
                refused,
            } => {
                let holder = self.holder(node);
                let version = holder.current().version();
                same(&version, in_force, place);
                let held = holder.latest().version();
                same(&held, &tip.unwrap_or(*in_force), place);
                same(
                    &holder.may_serve(),
                    &serves.unwrap_or(holder.may_serve()),
                    place,
                );
                same(
                    &holder.refusal().map(|(version, _)| version),
                    refused,
                    place,
                );
            }
            _ => self.run_change(step, place),
        }
    }

    fn run_change(&mut self, step: &Step, place: &str) {
        let now = self.now;
        match step {
            Step::Accept {
                change,
                event,
                version,
                expect,
            } => {
                if let Some(version) = version {
                    self.change(change).set_version(*version);
                }
                self.accept(change, event, expect, place);
            }
            Step::Plan { .. } => self.plan(step, place),
            Step::Outcome { change, expect } => {
                let outcome = self.change(change).outcome();
                same(
                    outcome_name(outcome.as_ref()).as_str(),
                    expect.as_str(),
                    place,
                );
            }
            Step::Merge {
                table,
                member: name,
                incarnation,
                status: stated,
                version,
                expect,
            } => {
                let update = Member {
                    incarnation: *incarnation,
                    status: status(stated).into(),
                    version: *version,
                    ..member(name)
                };
                let table = self.tables.entry(table.clone()).or_default();
                let outcome = format!("{:?}", table.merge(&update, now)).to_lowercase();
                same(outcome.as_str(), expect.as_str(), place);
            }
            Step::Member {
                table,
                member,
                status: stated,
                version,
            } => {
                let found = self.tables[table].get(member).expect("the member is known");
                same(
                    &(found.status(), found.version),
                    &(status(stated), *version),
                    place,
                );
            }
            _ => self.run_join(step, place),
        }
    }

    fn run_join(&mut self, step: &Step, place: &str) {
        match step {
            Step::JoinStart {
                host,
                contacts,
                expect,
            } => {
                let contacts: Vec<&str> = contacts.iter().map(String::as_str).collect();
                let machine = JoinMachine::new(&member(host), &contacts, &JoinSettings::default());
                self.joins.insert(host.clone(), machine);
                self.join(host, expect, place, JoinMachine::start);
            }
            Step::JoinHead {
                host,
                version,
                expect,
            } => self.join(host, expect, place, |join, now, rng| {
                join.on_head(*version, now, rng)
            }),
            Step::JoinFailed { host, expect } => {
                self.join(host, expect, place, |join, _, rng| join.on_join_failed(rng));
            }
            Step::JoinAnswer {
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
                    members: members.iter().map(|name| member(name)).collect(),
                };
                self.join(host, expect, place, |join, now, rng| {
                    join.on_join_answer(&answer, now, rng)
                });
            }
            Step::FloorAnswer {
                host,
                from,
                version,
                expect,
            } => {
                let answer = FloorAnswer { version: *version };
                self.join(host, expect, place, |join, now, rng| {
                    join.on_floor_answer(from, &answer, now, rng)
                });
            }
            Step::JoinHolds {
                host,
                version,
                expect,
            } => self.join(host, expect, place, |join, now, rng| {
                join.on_held_version(*version, now, rng)
            }),
            Step::JoinTick {
                host,
                at_ms,
                expect,
            } => {
                self.now = Instant::from_millis(*at_ms);
                self.join(host, expect, place, JoinMachine::tick);
            }
            Step::JoinState { host, expect } => {
                same(
                    self.joins[host].state().to_string().as_str(),
                    expect.as_str(),
                    place,
                );
            }
            _ => unreachable!("every other step is run above"),
        }
    }

    fn pull(&mut self, node: &str, from: &str, stated: &str, place: &str) {
        let now = self.now;
        let held = self.holder(node).latest().version();
        let source = self.holder(from);
        let digest = source.current().digest();
        match source.answer_pull(held) {
            PullReply::Deltas(deltas) => {
                same(format!("deltas {}", deltas.len()).as_str(), stated, place);
                let effects = self.holder(node).offer_pulled(&deltas, now);
                self.note(node, &effects);
            }
            PullReply::Snapshot(bytes) => {
                same("snapshot", stated, place);
                let holder = self.holder(node);
                let (_, effects) = holder.offer_snapshot(&bytes, digest.as_bytes(), now);
                self.note(node, &effects);
            }
        }
    }

    fn plan(&mut self, step: &Step, place: &str) {
        let Step::Plan {
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
            writes: vec![write(edit, *base)],
            ..Change::default()
        };
        let snapshot = match on {
            0 => ConfigSnapshot::default(),
            version => self.plans[index(*version)].snapshot.clone(),
        };
        let event = match plan_change(&snapshot, &request, 0) {
            Err(refusal) => {
                self.change(change)
                    .set_refusal(CommitOutcome::Refused(refusal));
                "plan-refused"
            }
            Ok(plan) => {
                let live = live_schema.map(|reads_schema| Member {
                    reads_schema,
                    ..member("old")
                });
                let unreadable = unreadable_nodes(&plan.snapshot, live.iter());
                if unreadable.is_empty() {
                    "plan-made"
                } else {
                    self.change(change)
                        .set_refusal(CommitOutcome::Unreadable(unreadable));
                    "plan-refused"
                }
            }
        };
        self.accept(change, event, expect, place);
    }
}

#[parameterized(
    crossing_updates = { "crossing-updates" },
    lost_answer_then_resend = { "lost-answer-then-resend" },
    damaged_delta = { "damaged-delta" },
    restart_in_an_outage = { "restart-in-an-outage" },
    paused_node = { "paused-node" },
    two_operators = { "two-operators" },
    snapshot_overtaken = { "snapshot-overtaken" },
    unreadable_form = { "unreadable-form" },
    floor_after_the_round = { "floor-after-the-round" },
    refusal_while_a_write_is_open = { "refusal-while-a-write-is-open" },
)]
fn a_trace_ends_as_stated(name: &str) {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/traces");
    let text = std::fs::read_to_string(folder.join(format!("{name}.toml"))).unwrap();
    let trace: Trace = toml::from_str(&text).unwrap_or_else(|error| panic!("{name}: {error}"));
    assert!(!trace.guards.is_empty());
    let mut replay = Replay::new(&trace);
    for (index, step) in trace.step.iter().enumerate() {
        replay.run(step, &format!("{name}, step {}", index + 1));
    }
}
