//! State machine test of the claims of several nodes with a store that may fail at any step.
//!
//! The oracle records the run of each key. `AGATEDECK_PROPTEST_CASES` and `AGATEDECK_PROPTEST_SEED`
//! set the number of cases and the seed for long runs.

#[path = "common/property.rs"]
mod property;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use agatedeck_calls::{
    AnswerView, BatchId, BatchOutcome, BatchSettings, CallEnd, ClaimAnswer, ClaimBatch,
    ClaimBatcher, ClaimEffect, ClaimId, ClaimOp, ClaimRefusal, ClaimRequest, ClaimSettings,
    ClaimTable, ClaimTime, ClaimVerdict, ReadOutcome, StoredClaim, decode_claim, encode_claim,
};
use agatedeck_clock::Instant;
use property::property_config;
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use rand::SeedableRng;
use rand::rngs::SmallRng;

const NODE_COUNT: usize = 3;
/// Small enough that some of the simulated answers are stored without their body.
const MAX_BODY_BYTES: usize = 2;
const UNIX_BASE_MS: i64 = 1_800_000_000_000;
/// Clock skew of each node. The last one far exceeds the assumed maximum of 1 s.
const SKEWS_MS: [i64; NODE_COUNT] = [0, 900, -45_000];

#[derive(Clone, Copy, Debug)]
enum RequestFault {
    /// The store processes the request and its answer arrives.
    None,
    /// The store processes the request and its answer is lost.
    AnswerLost,
    /// The request is unanswered and takes effect later.
    Delayed,
    /// The request is lost before the store processes it.
    Lost,
    /// The store reports that it did not process the request.
    Unavailable,
}

/// A step of the simulation. A `usize` selects a node, or a request or an attempt modulo their count.
#[derive(Clone, Debug)]
enum Step {
    /// Node, key, body and time until the deadline in milliseconds.
    Send(usize, u8, u8, u64),
    ProcessRequest(usize, RequestFault),
    /// A delayed transaction takes effect.
    ApplyDelayed(usize),
    AdvanceTimeMs(u64),
    /// Starts a granted call. The flag says whether the target runs it.
    StartCall(usize, bool),
    /// Ends a started call. The flag says whether its end is known.
    FinishCall(usize, bool),
    Crash(usize),
    Pause(usize),
    Resume(usize),
}

/// Generates random steps. Every step is valid in every state.
struct StepGenerator;

impl ReferenceStateMachine for StepGenerator {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let (node, pick) = (0..NODE_COUNT, 0..64_usize);
        let fault = prop_oneof![
            6 => Just(RequestFault::None),
            1 => Just(RequestFault::AnswerLost),
            1 => Just(RequestFault::Delayed),
            1 => Just(RequestFault::Lost),
            1 => Just(RequestFault::Unavailable),
        ];
        let wait = prop_oneof![10 => 1..20_u64, 2 => 20..600_u64, 1 => 600..60_000_u64];
        prop_oneof![
            5 => (node.clone(), 0..2_u8, 0..8_u8, 200..5_000_u64)
                .prop_map(|(node, key, body, ms)| Step::Send(node, key, body / 7, ms)),
            9 => (pick.clone(), fault).prop_map(|(pick, fault)| Step::ProcessRequest(pick, fault)),
            1 => pick.clone().prop_map(Step::ApplyDelayed),
            8 => wait.prop_map(Step::AdvanceTimeMs),
            4 => (pick.clone(), 0..4_u8).prop_map(|(pick, n)| Step::StartCall(pick, n > 0)),
            3 => (pick, 0..5_u8).prop_map(|(pick, n)| Step::FinishCall(pick, n > 0)),
            1 => node.clone().prop_map(Step::Crash),
            1 => node.clone().prop_map(Step::Pause),
            2 => node.prop_map(Step::Resume),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

/// A request in transit to the store.
enum StoreRequest {
    Write(ClaimBatch),
    Read(ClaimOp, String),
}

/// Result of a request as the node receives it.
enum StoreReply {
    /// Outcome of the transaction, or the keys with a conflict.
    Transaction(BatchId, Result<BatchOutcome<'static>, Vec<String>>),
    Row(ClaimOp, Option<(u64, Vec<u8>)>),
    ReadFailed(ClaimOp),
}

#[derive(Default)]
struct ClaimStore {
    rows: BTreeMap<String, (u64, Vec<u8>)>,
    revision: u64,
}

impl ClaimStore {
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

struct SimulatedNode {
    table: ClaimTable,
    batcher: ClaimBatcher<ClaimOp>,
    incarnation: u32,
    paused: bool,
    inbox: VecDeque<StoreReply>,
}

fn new_node(node: usize, incarnation: u32) -> SimulatedNode {
    let settings = ClaimSettings {
        max_body_bytes: MAX_BODY_BYTES,
        ..ClaimSettings::default()
    };
    SimulatedNode {
        table: ClaimTable::new(&format!("n{node}"), settings).unwrap(),
        batcher: ClaimBatcher::new(BatchSettings::default()),
        incarnation,
        paused: false,
        inbox: VecDeque::new(),
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum AttemptStage {
    Claiming,
    Granted,
    Started,
    Ended,
    /// The stored answer was reported.
    Stored,
}

/// The oracle's record of one claim attempt.
#[derive(Debug)]
struct Attempt {
    /// The node and its incarnation.
    owner: (usize, u32),
    id: ClaimId,
    key: u8,
    body: u8,
    stage: AttemptStage,
    answer: Option<ClaimAnswer>,
    deadline: Instant,
}

/// The nodes under test, the simulated store and network, and the oracle.
struct ClaimSimulation {
    now: Instant,
    rng: SmallRng,
    store: ClaimStore,
    nodes: Vec<SimulatedNode>,
    in_transit: Vec<(usize, u32, StoreRequest)>,
    delayed: Vec<ClaimBatch>,
    attempts: Vec<Attempt>,
    /// Request body and answer of the run of each key.
    runs: BTreeMap<u8, (u8, ClaimAnswer)>,
    faults: u32,
    /// Lease of the row that was read last and wall clock time of the reader, both in Unix
    /// milliseconds.
    last_read_lease: (u64, u64),
    /// Keys whose rows may be left in progress.
    unfinished_keys: Vec<u8>,
}

impl ClaimSimulation {
    fn time(&self, node: usize) -> ClaimTime {
        let now_ms = i64::try_from(self.now.as_micros() / 1_000).unwrap();
        ClaimTime {
            now: self.now,
            unix_ms: u64::try_from(UNIX_BASE_MS + now_ms + SKEWS_MS[node]).unwrap(),
        }
    }

    fn send(&mut self, node: usize, key: u8, body: u8, timeout_ms: u64) {
        if self.nodes[node].paused {
            return;
        }
        let deadline = self.now.after(Duration::from_millis(timeout_ms));
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
            owner: (node, self.nodes[node].incarnation),
            id,
            key,
            body,
            stage: AttemptStage::Claiming,
            answer: None,
            deadline,
        });
        self.apply_effects(node, effects);
    }

    fn apply_effects(&mut self, node: usize, effects: Vec<ClaimEffect>) {
        let incarnation = self.nodes[node].incarnation;
        for effect in effects {
            match effect {
                ClaimEffect::Write { op, write } => {
                    self.nodes[node].batcher.push(op, write, self.now);
                }
                ClaimEffect::Read { op, key, .. } => {
                    self.in_transit
                        .push((node, incarnation, StoreRequest::Read(op, key)));
                }
                ClaimEffect::ReportVerdict { id, verdict } => self.check_verdict(node, id, verdict),
            }
        }
        while let Some(batch) = self.nodes[node].batcher.take_due(self.now) {
            self.in_transit
                .push((node, incarnation, StoreRequest::Write(batch)));
        }
    }

    /// Checks a verdict against the oracle.
    fn check_verdict(&mut self, node: usize, id: ClaimId, verdict: ClaimVerdict) {
        let owner = (node, self.nodes[node].incarnation);
        let mut attempts = self.attempts.iter_mut();
        let attempt = attempts.find(|attempt| (attempt.owner, attempt.id) == (owner, id));
        let attempt = attempt.unwrap();
        let (key, body) = (attempt.key, attempt.body);
        match (attempt.stage, &verdict) {
            (AttemptStage::Claiming, ClaimVerdict::Granted) => {
                attempt.stage = AttemptStage::Granted;
                return;
            }
            (AttemptStage::Claiming, _)
            | (AttemptStage::Granted, ClaimVerdict::Refused(ClaimRefusal::DeadlinePassed)) => {}
            (stage, _) => panic!("reported {verdict:?} in stage {stage:?}"),
        }
        attempt.stage = AttemptStage::Ended;
        match verdict {
            ClaimVerdict::Refused(refusal) => {
                if refusal == ClaimRefusal::KeyReused {
                    let other = |other: &Attempt| other.key == key && other.body != body;
                    assert!(self.attempts.iter().any(other), "no other body was sent");
                }
                let time = self.time(node);
                let started = self.nodes[node].table.start_call(id, time, &mut self.rng);
                assert!(started.is_err(), "started after not-run was reported");
            }
            ClaimVerdict::Stored(answer) => {
                attempt.stage = AttemptStage::Stored;
                let run = self.runs.get(&key);
                assert_eq!(Some(&(body, answer)), run, "not the answer of the run");
            }
            verdict => {
                let (lease_unix_ms, unix_ms) = self.last_read_lease;
                let passed = lease_unix_ms <= unix_ms;
                assert_eq!(
                    verdict == ClaimVerdict::Unknown,
                    passed,
                    "wrong for the lease"
                );
            }
        }
    }

    fn process_request(&mut self, pick: usize, fault: RequestFault) {
        if self.in_transit.is_empty() {
            return;
        }
        let (node, incarnation, request) = self.in_transit.remove(pick % self.in_transit.len());
        self.faults += u32::from(!matches!(fault, RequestFault::None));
        let reply = match request {
            StoreRequest::Read(op, key) if matches!(fault, RequestFault::None) => {
                StoreReply::Row(op, self.store.rows.get(&key).cloned())
            }
            StoreRequest::Read(op, _) => StoreReply::ReadFailed(op),
            StoreRequest::Write(batch) => {
                let id = batch.id;
                let mut outcome = Ok(BatchOutcome::Unanswered);
                match fault {
                    RequestFault::None => outcome = self.store.transact(&batch),
                    RequestFault::Unavailable => outcome = Ok(BatchOutcome::Unreachable),
                    RequestFault::AnswerLost => _ = self.store.transact(&batch),
                    RequestFault::Delayed => self.delayed.push(batch),
                    RequestFault::Lost => {}
                }
                StoreReply::Transaction(id, outcome)
            }
        };
        if self.nodes[node].incarnation == incarnation {
            self.nodes[node].inbox.push_back(reply);
            self.process_replies(node);
        }
    }

    fn process_replies(&mut self, node: usize) {
        while !self.nodes[node].paused {
            let Some(reply) = self.nodes[node].inbox.pop_front() else {
                return;
            };
            let time = self.time(node);
            let SimulatedNode { table, batcher, .. } = &mut self.nodes[node];
            let rng = &mut self.rng;
            let mut effects = Vec::new();
            match reply {
                StoreReply::ReadFailed(op) => {
                    effects = table.record_read(op, ReadOutcome::Failed, time, rng);
                }
                StoreReply::Row(op, None) => {
                    effects = table.record_read(op, ReadOutcome::Absent, time, rng);
                }
                StoreReply::Row(op, Some((revision, value))) => {
                    let record = decode_claim(&value).unwrap();
                    self.last_read_lease = (record.lease_unix_ms, time.unix_ms);
                    let record = Some(&record);
                    let row = ReadOutcome::Found(StoredClaim { revision, record });
                    effects = table.record_read(op, row, time, rng);
                }
                StoreReply::Transaction(id, outcome) => {
                    let outcome = outcome.as_ref();
                    let outcome =
                        outcome.map_or_else(|keys| BatchOutcome::Conflict(keys), |it| *it);
                    let report = batcher.complete(id, outcome);
                    for (op, outcome) in report.outcomes {
                        effects.extend(table.record_write(op, outcome, time, rng));
                    }
                    let retry = report.retry.map(StoreRequest::Write);
                    let incarnation = self.nodes[node].incarnation;
                    self.in_transit
                        .extend(retry.map(|retry| (node, incarnation, retry)));
                }
            }
            self.apply_effects(node, effects);
        }
    }

    fn advance(&mut self, ms: u64) {
        self.now = self.now.after(Duration::from_millis(ms));
        for node in (0..NODE_COUNT)
            .filter(|node| !self.nodes[*node].paused)
            .collect::<Vec<_>>()
        {
            let time = self.time(node);
            let effects = self.nodes[node].table.tick(time, &mut self.rng);
            self.apply_effects(node, effects);
        }
    }

    /// Selects an attempt in this stage whose node has neither crashed since nor is paused.
    fn attempt_in(&self, stage: AttemptStage, pick: usize) -> Option<usize> {
        let eligible = |attempt: &Attempt| {
            let node = &self.nodes[attempt.owner.0];
            attempt.stage == stage && node.incarnation == attempt.owner.1 && !node.paused
        };
        let attempts = self.attempts.iter().enumerate();
        let eligible: Vec<usize> = attempts
            .filter(|it| eligible(it.1))
            .map(|it| it.0)
            .collect();
        eligible.get(pick.checked_rem(eligible.len())?).copied()
    }

    fn start(&mut self, pick: usize, runs: bool) {
        let Some(index) = self.attempt_in(AttemptStage::Granted, pick) else {
            return;
        };
        let Attempt { owner, id, .. } = self.attempts[index];
        let (node, time) = (owner.0, self.time(owner.0));
        let started = self.nodes[node].table.start_call(id, time, &mut self.rng);
        let attempt = &mut self.attempts[index];
        if let Err((_, effects)) = started {
            attempt.stage = AttemptStage::Ended;
            self.apply_effects(node, effects);
            return;
        }
        attempt.stage = AttemptStage::Started;
        assert!(
            !attempt.deadline.is_past(self.now),
            "started after its deadline"
        );
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
        let Some(index) = self.attempt_in(AttemptStage::Started, pick) else {
            return;
        };
        let time = self.time(self.attempts[index].owner.0);
        let attempt = &mut self.attempts[index];
        attempt.stage = AttemptStage::Ended;
        let end = match &attempt.answer {
            _ if !answered => {
                self.unfinished_keys.push(attempt.key);
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
        self.apply_effects(node, effects);
    }

    fn resume(&mut self, node: usize) {
        self.nodes[node].paused = false;
        self.process_replies(node);
        self.apply_effects(node, Vec::new());
    }

    /// Ends all faults and runs the simulation until no node has work left.
    fn drain(&mut self) {
        (0..NODE_COUNT).for_each(|node| self.resume(node));
        for _ in 0..200 {
            while let Some(batch) = self.delayed.pop() {
                _ = self.store.transact(&batch);
            }
            while !self.in_transit.is_empty() {
                self.process_request(0, RequestFault::None);
            }
            while self.attempt_in(AttemptStage::Granted, 0).is_some() {
                self.start(0, false);
            }
            while self.attempt_in(AttemptStage::Started, 0).is_some() {
                self.finish(0, true);
            }
            self.advance(200);
        }
        for node in &self.nodes {
            assert!(node.table.is_empty(), "work is left: {:?}", node.table);
        }
        for attempt in &self.attempts {
            let lost = self.nodes[attempt.owner.0].incarnation != attempt.owner.1;
            let reported = matches!(attempt.stage, AttemptStage::Ended | AttemptStage::Stored);
            assert!(lost || reported, "no verdict: {attempt:?}");
        }
    }

    /// Checks that a key whose claims were all released can be claimed again, and that a resent call
    /// that was answered receives the stored answer.
    fn check_resend(&mut self, key: u8) {
        // After this many faults an attempt may have given up its background work.
        let exhausted = self.faults > ClaimSettings::default().max_retries;
        if exhausted || self.unfinished_keys.contains(&key) {
            return;
        }
        let body = self.runs.get(&key).map_or(0, |run| run.0);
        self.send(0, key, body, 5_000);
        self.advance(5);
        while !self.in_transit.is_empty() {
            self.process_request(0, RequestFault::None);
            self.advance(5);
        }
        let ran = self.runs.contains_key(&key);
        let expected = if ran {
            AttemptStage::Stored
        } else {
            AttemptStage::Granted
        };
        let attempt = self.attempts.last().unwrap();
        let row = self.store.rows.get(&format!("claim/orders/{key}"));
        let row = row.map(|row| decode_claim(&row.1));
        assert_eq!(
            attempt.stage, expected,
            "key {key} is not finished: {row:?}"
        );
    }
}

struct ClaimStateMachine;

impl StateMachineTest for ClaimStateMachine {
    type SystemUnderTest = ClaimSimulation;
    type Reference = StepGenerator;

    fn init_test((): &()) -> ClaimSimulation {
        ClaimSimulation {
            now: Instant::from_millis(1),
            rng: SmallRng::seed_from_u64(1),
            store: ClaimStore::default(),
            nodes: (0..NODE_COUNT).map(|node| new_node(node, 0)).collect(),
            in_transit: Vec::new(),
            delayed: Vec::new(),
            attempts: Vec::new(),
            runs: BTreeMap::new(),
            faults: 0,
            last_read_lease: (0, 0),
            unfinished_keys: Vec::new(),
        }
    }

    fn apply(mut simulation: ClaimSimulation, (): &(), step: Step) -> ClaimSimulation {
        match step {
            Step::Send(node, key, body, ms) => simulation.send(node, key, body, ms),
            Step::ProcessRequest(pick, fault) => simulation.process_request(pick, fault),
            Step::ApplyDelayed(pick) => {
                if !simulation.delayed.is_empty() {
                    let batch = simulation.delayed.remove(pick % simulation.delayed.len());
                    _ = simulation.store.transact(&batch);
                }
            }
            Step::AdvanceTimeMs(ms) => simulation.advance(ms),
            Step::StartCall(pick, runs) => simulation.start(pick, runs),
            Step::FinishCall(pick, known) => simulation.finish(pick, known),
            Step::Crash(node) => {
                simulation.nodes[node] = new_node(node, simulation.nodes[node].incarnation + 1);
                simulation.unfinished_keys.extend([0, 1]);
            }
            Step::Pause(node) => simulation.nodes[node].paused = true,
            Step::Resume(node) => simulation.resume(node),
        }
        simulation
    }

    fn teardown(mut simulation: ClaimSimulation, (): ()) {
        simulation.drain();
        simulation.check_resend(0);
        simulation.check_resend(1);
    }
}

prop_state_machine! {
    #![proptest_config(property_config(512, 0x00a9_a7ed))]

    /// Guards against a call that runs twice, a false `not-run`, and a stored answer that is not the
    /// answer of the run.
    #[test]
    fn claims_run_at_most_once(sequential 1..100 => ClaimStateMachine);
}
