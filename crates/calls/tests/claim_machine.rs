//! Claims of several nodes against a store that fails at any step.
//!
//! The oracle counts the runs of each key. `AGATEDECK_PROPTEST_CASES` and `AGATEDECK_PROPTEST_SEED`
//! set the number of cases and the seed for long runs.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use agatedeck_calls::{
    AnswerView, BatchId, BatchOutcome, BatchSettings, CallEnd, ClaimAnswer, ClaimBatch,
    ClaimBatcher, ClaimEffect, ClaimId, ClaimOp, ClaimRefusal, ClaimRequest, ClaimSettings,
    ClaimTable, ClaimTime, ClaimVerdict, ReadOutcome, StoredClaim, decode_claim, encode_claim,
};
use agatedeck_clock::Instant;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use rand::SeedableRng;
use rand::rngs::SmallRng;

const NODES: usize = 3;
/// Larger answers are stored without their body; some of the answers here are.
const MAX_BODY_BYTES: usize = 2;
const UNIX_BASE_MS: i64 = 1_800_000_000_000;
/// Differences of the nodes' clocks; the last is far outside what is assumed.
const SKEWS_MS: [i64; NODES] = [0, 900, -45_000];

#[derive(Clone, Copy, Debug)]
enum Fate {
    /// The request runs and its answer arrives.
    Answered,
    /// The request runs and its answer is lost.
    AnswerLost,
    /// The request is thought lost and takes effect later.
    Late,
    /// The request is lost before it runs.
    Lost,
    /// The store says that it did not run the request.
    Away,
}

/// A step; `usize` picks a node or one of the requests or attempts that the step applies to.
#[derive(Clone, Debug)]
enum Step {
    /// Node, key, body and time until the deadline in milliseconds.
    Send(usize, u8, u8, u64),
    Serve(usize, Fate),
    /// A late transaction takes effect.
    Land(usize),
    AdvanceMs(u64),
    /// A granted call is dispatched; whether the target runs it.
    Start(usize, bool),
    /// A started call ends; whether its end is known.
    Finish(usize, bool),
    Crash(usize),
    Freeze(usize),
    Thaw(usize),
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
        let (node, pick) = (0..NODES, 0..64_usize);
        let fate = prop_oneof![
            6 => Just(Fate::Answered),
            1 => Just(Fate::AnswerLost),
            1 => Just(Fate::Late),
            1 => Just(Fate::Lost),
            1 => Just(Fate::Away),
        ];
        let wait = prop_oneof![10 => 1..20_u64, 2 => 20..600_u64, 1 => 600..60_000_u64];
        prop_oneof![
            5 => (node.clone(), 0..2_u8, 0..8_u8, 200..5_000_u64)
                .prop_map(|(node, key, body, ms)| Step::Send(node, key, body / 7, ms)),
            9 => (pick.clone(), fate).prop_map(|(pick, fate)| Step::Serve(pick, fate)),
            1 => pick.clone().prop_map(Step::Land),
            8 => wait.prop_map(Step::AdvanceMs),
            4 => (pick.clone(), 0..4_u8).prop_map(|(pick, n)| Step::Start(pick, n > 0)),
            3 => (pick, 0..5_u8).prop_map(|(pick, n)| Step::Finish(pick, n > 0)),
            1 => node.clone().prop_map(Step::Crash),
            1 => node.clone().prop_map(Step::Freeze),
            2 => node.prop_map(Step::Thaw),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

/// A request on its way to the store.
enum Request {
    Write(ClaimBatch),
    Read(ClaimOp, String),
}

/// What a node learns of a request.
enum Reply {
    /// The outcome, or the keys that were refused.
    Transaction(BatchId, Result<BatchOutcome<'static>, Vec<String>>),
    Row(ClaimOp, Option<(u64, Vec<u8>)>),
    ReadFailed(ClaimOp),
}

#[derive(Default)]
struct Store {
    rows: BTreeMap<String, (u64, Vec<u8>)>,
    revision: u64,
}

impl Store {
    fn transact(&mut self, batch: &ClaimBatch) -> Result<BatchOutcome<'static>, Vec<String>> {
        let revision = |key: &String| self.rows.get(key).map_or(0, |row| row.0);
        let failed = batch.writes.iter();
        let failed = failed.filter(|write| revision(&write.key) != write.revision);
        let failed: Vec<String> = failed.map(|write| write.key.clone()).collect();
        if !failed.is_empty() {
            return Err(failed);
        }
        self.revision += 1;
        for write in &batch.writes {
            let row = (self.revision, encode_claim(&write.record));
            self.rows.insert(write.key.clone(), row);
        }
        Ok(BatchOutcome::Committed(self.revision))
    }
}

struct Node {
    table: ClaimTable,
    batcher: ClaimBatcher<ClaimOp>,
    starts: u32,
    frozen: bool,
    inbox: VecDeque<Reply>,
}

fn new_node(node: usize, starts: u32) -> Node {
    let settings = ClaimSettings {
        max_body_bytes: MAX_BODY_BYTES,
        ..ClaimSettings::default()
    };
    Node {
        table: ClaimTable::new(&format!("n{node}"), settings).unwrap(),
        batcher: ClaimBatcher::new(BatchSettings::default()),
        starts,
        frozen: false,
        inbox: VecDeque::new(),
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    Claiming,
    Granted,
    Started,
    Ended,
    /// The caller was told the stored answer.
    Stored,
}

/// What the oracle knows of one attempt.
#[derive(Debug)]
struct Attempt {
    /// The node and the number of its restarts.
    owner: (usize, u32),
    id: ClaimId,
    key: u8,
    body: u8,
    stage: Stage,
    answer: Option<ClaimAnswer>,
    deadline: Instant,
}

/// The system under test, its surroundings and the oracle.
struct World {
    now: Instant,
    rng: SmallRng,
    store: Store,
    nodes: Vec<Node>,
    wire: Vec<(usize, u32, Request)>,
    late: Vec<ClaimBatch>,
    attempts: Vec<Attempt>,
    /// Body and answer of the run of each key.
    runs: BTreeMap<u8, (u8, ClaimAnswer)>,
    faults: u32,
    /// Lease in the row that was read last, and the time at the reader.
    lease_seen: (u64, u64),
    /// Keys for which a row may be left in progress.
    unsettled: Vec<u8>,
}

impl World {
    fn time(&self, node: usize) -> ClaimTime {
        let now_ms = i64::try_from(self.now.as_micros() / 1_000).unwrap();
        ClaimTime {
            now: self.now,
            unix_ms: u64::try_from(UNIX_BASE_MS + now_ms + SKEWS_MS[node]).unwrap(),
        }
    }

    fn send(&mut self, node: usize, key: u8, body: u8, patience_ms: u64) {
        if self.nodes[node].frozen {
            return;
        }
        let deadline = self.now.after(Duration::from_millis(patience_ms));
        let request = ClaimRequest {
            service: "orders",
            key: &key.to_string(),
            digest: &[body],
            deadline,
        };
        let time = self.time(node);
        let table = &mut self.nodes[node].table;
        let (id, effects) = table.begin_claim(&request, time, &mut self.rng).unwrap();
        self.attempts.push(Attempt {
            owner: (node, self.nodes[node].starts),
            id,
            key,
            body,
            stage: Stage::Claiming,
            answer: None,
            deadline,
        });
        self.carry_out(node, effects);
    }

    fn carry_out(&mut self, node: usize, effects: Vec<ClaimEffect>) {
        let starts = self.nodes[node].starts;
        for effect in effects {
            match effect {
                ClaimEffect::Write { op, write } => {
                    self.nodes[node].batcher.push(op, write, self.now);
                }
                ClaimEffect::Read { op, key, .. } => {
                    self.wire.push((node, starts, Request::Read(op, key)));
                }
                ClaimEffect::ReportVerdict { id, verdict } => self.told(node, id, verdict),
            }
        }
        while let Some(batch) = self.nodes[node].batcher.take_due(self.now) {
            self.wire.push((node, starts, Request::Write(batch)));
        }
    }

    /// Checks a verdict against the oracle.
    fn told(&mut self, node: usize, id: ClaimId, verdict: ClaimVerdict) {
        let owner = (node, self.nodes[node].starts);
        let mut attempts = self.attempts.iter_mut();
        let attempt = attempts.find(|attempt| (attempt.owner, attempt.id) == (owner, id));
        let attempt = attempt.unwrap();
        let (key, body) = (attempt.key, attempt.body);
        match (attempt.stage, &verdict) {
            (Stage::Claiming, ClaimVerdict::Granted) => {
                attempt.stage = Stage::Granted;
                return;
            }
            (Stage::Claiming, _)
            | (Stage::Granted, ClaimVerdict::Refused(ClaimRefusal::DeadlinePassed)) => {}
            (stage, _) => panic!("told {verdict:?} in stage {stage:?}"),
        }
        attempt.stage = Stage::Ended;
        match verdict {
            ClaimVerdict::Refused(refusal) => {
                if refusal == ClaimRefusal::KeyReused {
                    let other = |other: &Attempt| other.key == key && other.body != body;
                    assert!(self.attempts.iter().any(other), "no other body was sent");
                }
                let time = self.time(node);
                let started = self.nodes[node].table.start_call(id, time, &mut self.rng);
                assert!(started.is_err(), "started after not-run was told");
            }
            ClaimVerdict::Stored(answer) => {
                attempt.stage = Stage::Stored;
                let run = self.runs.get(&key);
                assert_eq!(Some(&(body, answer)), run, "not the answer of the run");
            }
            verdict => {
                let (lease_unix_ms, unix_ms) = self.lease_seen;
                let passed = lease_unix_ms <= unix_ms;
                assert_eq!(
                    verdict == ClaimVerdict::Unknown,
                    passed,
                    "wrong for the lease"
                );
            }
        }
    }

    fn serve(&mut self, pick: usize, fate: Fate) {
        if self.wire.is_empty() {
            return;
        }
        let (node, starts, request) = self.wire.remove(pick % self.wire.len());
        self.faults += u32::from(!matches!(fate, Fate::Answered));
        let reply = match request {
            Request::Read(op, key) if matches!(fate, Fate::Answered) => {
                Reply::Row(op, self.store.rows.get(&key).cloned())
            }
            Request::Read(op, _) => Reply::ReadFailed(op),
            Request::Write(batch) => {
                let id = batch.id;
                let mut outcome = Ok(BatchOutcome::Unanswered);
                match fate {
                    Fate::Answered => outcome = self.store.transact(&batch),
                    Fate::Away => outcome = Ok(BatchOutcome::Unreachable),
                    Fate::AnswerLost => _ = self.store.transact(&batch),
                    Fate::Late => self.late.push(batch),
                    Fate::Lost => {}
                }
                Reply::Transaction(id, outcome)
            }
        };
        if self.nodes[node].starts == starts {
            self.nodes[node].inbox.push_back(reply);
            self.receive(node);
        }
    }

    fn receive(&mut self, node: usize) {
        while !self.nodes[node].frozen {
            let Some(reply) = self.nodes[node].inbox.pop_front() else {
                return;
            };
            let time = self.time(node);
            let Node { table, batcher, .. } = &mut self.nodes[node];
            let rng = &mut self.rng;
            let mut effects = Vec::new();
            match reply {
                Reply::ReadFailed(op) => {
                    effects = table.record_read(op, ReadOutcome::Failed, time, rng);
                }
                Reply::Row(op, None) => {
                    effects = table.record_read(op, ReadOutcome::Absent, time, rng);
                }
                Reply::Row(op, Some((revision, value))) => {
                    let record = decode_claim(&value).unwrap();
                    self.lease_seen = (record.lease_unix_ms, time.unix_ms);
                    let record = Some(&record);
                    let row = ReadOutcome::Found(StoredClaim { revision, record });
                    effects = table.record_read(op, row, time, rng);
                }
                Reply::Transaction(id, outcome) => {
                    let outcome = outcome.as_ref();
                    let outcome =
                        outcome.map_or_else(|keys| BatchOutcome::Conflict(keys), |it| *it);
                    let report = batcher.complete(id, outcome);
                    for (op, outcome) in report.outcomes {
                        effects.extend(table.record_write(op, outcome, time, rng));
                    }
                    let retry = report.retry.map(Request::Write);
                    let starts = self.nodes[node].starts;
                    self.wire.extend(retry.map(|retry| (node, starts, retry)));
                }
            }
            self.carry_out(node, effects);
        }
    }

    fn advance(&mut self, ms: u64) {
        self.now = self.now.after(Duration::from_millis(ms));
        for node in (0..NODES)
            .filter(|node| !self.nodes[*node].frozen)
            .collect::<Vec<_>>()
        {
            let time = self.time(node);
            let effects = self.nodes[node].table.tick(time, &mut self.rng);
            self.carry_out(node, effects);
        }
    }

    /// Index of one of the attempts in this stage whose node is running.
    fn attempt_in(&self, stage: Stage, pick: usize) -> Option<usize> {
        let able = |attempt: &Attempt| {
            let node = &self.nodes[attempt.owner.0];
            attempt.stage == stage && node.starts == attempt.owner.1 && !node.frozen
        };
        let attempts = self.attempts.iter().enumerate();
        let able: Vec<usize> = attempts.filter(|it| able(it.1)).map(|it| it.0).collect();
        able.get(pick.checked_rem(able.len())?).copied()
    }

    fn start(&mut self, pick: usize, runs: bool) {
        let Some(index) = self.attempt_in(Stage::Granted, pick) else {
            return;
        };
        let Attempt { owner, id, .. } = self.attempts[index];
        let (node, time) = (owner.0, self.time(owner.0));
        let started = self.nodes[node].table.start_call(id, time, &mut self.rng);
        let attempt = &mut self.attempts[index];
        if let Err((_, effects)) = started {
            attempt.stage = Stage::Ended;
            self.carry_out(node, effects);
            return;
        }
        attempt.stage = Stage::Started;
        assert!(!attempt.deadline.is_past(self.now), "started late");
        if runs {
            let answer = ClaimAnswer {
                status: 200 + u16::try_from(index).unwrap(),
                content_type: "text/plain".to_owned(),
                body: Some(vec![b'x'; index]),
            };
            attempt.answer = Some(answer.clone());
            let body = answer.body.filter(|body| body.len() <= MAX_BODY_BYTES);
            let answer = ClaimAnswer { body, ..answer };
            let run = self.runs.insert(attempt.key, (attempt.body, answer));
            assert!(run.is_none(), "key {} ran twice", attempt.key);
        }
    }

    fn finish(&mut self, pick: usize, answered: bool) {
        let Some(index) = self.attempt_in(Stage::Started, pick) else {
            return;
        };
        let time = self.time(self.attempts[index].owner.0);
        let attempt = &mut self.attempts[index];
        attempt.stage = Stage::Ended;
        let end = match &attempt.answer {
            _ if !answered => {
                self.unsettled.push(attempt.key);
                CallEnd::Unknown
            }
            Some(answer) => CallEnd::Answered(AnswerView {
                status: answer.status,
                content_type: &answer.content_type,
                body: answer.body.as_deref(),
            }),
            None => CallEnd::NotRun,
        };
        let (node, id) = (attempt.owner.0, attempt.id);
        let effects = self.nodes[node]
            .table
            .finish_call(id, end, time, &mut self.rng);
        self.carry_out(node, effects);
    }

    fn thaw(&mut self, node: usize) {
        self.nodes[node].frozen = false;
        self.receive(node);
        self.carry_out(node, Vec::new());
    }

    /// Ends all faults and waits until no node has work left.
    fn settle(&mut self) {
        (0..NODES).for_each(|node| self.thaw(node));
        for _ in 0..200 {
            while let Some(batch) = self.late.pop() {
                _ = self.store.transact(&batch);
            }
            while !self.wire.is_empty() {
                self.serve(0, Fate::Answered);
            }
            while self.attempt_in(Stage::Granted, 0).is_some() {
                self.start(0, false);
            }
            while self.attempt_in(Stage::Started, 0).is_some() {
                self.finish(0, true);
            }
            self.advance(200);
        }
        for node in &self.nodes {
            assert!(node.table.is_empty(), "work is left: {:?}", node.table);
        }
        for attempt in &self.attempts {
            let lost = self.nodes[attempt.owner.0].starts != attempt.owner.1;
            let told = matches!(attempt.stage, Stage::Ended | Stage::Stored);
            assert!(lost || told, "no verdict: {attempt:?}");
        }
    }

    /// Checks that a key whose every claim was released can be claimed, and that an answered one
    /// gives its answer.
    fn check_resend(&mut self, key: u8) {
        // An attempt gives up its background work after this many faults.
        let exhausted = self.faults > ClaimSettings::default().max_retries;
        if exhausted || self.unsettled.contains(&key) {
            return;
        }
        let body = self.runs.get(&key).map_or(0, |run| run.0);
        self.send(0, key, body, 5_000);
        self.advance(5);
        while !self.wire.is_empty() {
            self.serve(0, Fate::Answered);
            self.advance(5);
        }
        let ran = self.runs.contains_key(&key);
        let expected = if ran { Stage::Stored } else { Stage::Granted };
        let attempt = self.attempts.last().unwrap();
        let row = self.store.rows.get(&format!("claim/orders/{key}"));
        let row = row.map(|row| decode_claim(&row.1));
        assert_eq!(attempt.stage, expected, "key {key} is not settled: {row:?}");
    }
}

struct ClaimMachine;

impl StateMachineTest for ClaimMachine {
    type SystemUnderTest = World;
    type Reference = AnyStep;

    fn init_test((): &()) -> World {
        World {
            now: Instant::from_millis(1),
            rng: SmallRng::seed_from_u64(1),
            store: Store::default(),
            nodes: (0..NODES).map(|node| new_node(node, 0)).collect(),
            wire: Vec::new(),
            late: Vec::new(),
            attempts: Vec::new(),
            runs: BTreeMap::new(),
            faults: 0,
            lease_seen: (0, 0),
            unsettled: Vec::new(),
        }
    }

    fn apply(mut world: World, (): &(), step: Step) -> World {
        match step {
            Step::Send(node, key, body, ms) => world.send(node, key, body, ms),
            Step::Serve(pick, fate) => world.serve(pick, fate),
            Step::Land(pick) => {
                if !world.late.is_empty() {
                    let batch = world.late.remove(pick % world.late.len());
                    _ = world.store.transact(&batch);
                }
            }
            Step::AdvanceMs(ms) => world.advance(ms),
            Step::Start(pick, runs) => world.start(pick, runs),
            Step::Finish(pick, known) => world.finish(pick, known),
            Step::Crash(node) => {
                world.nodes[node] = new_node(node, world.nodes[node].starts + 1);
                world.unsettled.extend([0, 1]);
            }
            Step::Freeze(node) => world.nodes[node].frozen = true,
            Step::Thaw(node) => world.thaw(node),
        }
        world
    }

    fn teardown(mut world: World, (): ()) {
        world.settle();
        world.check_resend(0);
        world.check_resend(1);
    }
}

fn from_environment(name: &str, default: u64) -> u64 {
    let text = std::env::var(name).ok();
    text.map_or(default, |text| {
        text.parse().expect("the variable is a number")
    })
}

fn config() -> Config {
    let cases = from_environment("AGATEDECK_PROPTEST_CASES", 512);
    Config {
        cases: u32::try_from(cases).unwrap(),
        rng_seed: RngSeed::Fixed(from_environment("AGATEDECK_PROPTEST_SEED", 0x00a9_a7ed)),
        failure_persistence: None,
        ..Config::default()
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    /// Guards against a call that runs twice, a `not-run` that is not true, and a stored answer
    /// that is not the answer of the run.
    #[test]
    fn claims_run_at_most_once(sequential 1..100 => ClaimMachine);
}
