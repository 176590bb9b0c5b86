//! Board, retries, call life cycle and admission together, in any order of events and faults.
//!
//! The oracle counts the runs of each request at the targets and compares them with what callers
//! are told. A run of the fixed seed is part of each test run; `AGATEDECK_PROPTEST_CASES` and
//! `AGATEDECK_PROPTEST_SEED` set the number of cases and the seed of longer runs.

mod common;

use std::collections::{BTreeMap, HashMap};

use agatedeck_calls::{
    AdmissionEffect, AdmissionQueue, AdmissionSettings, AttemptEvent, BoardSettings, CallEffect,
    CallEvent, CallMachine, CallOptions, CallOutcome, CallState, CallTicket, RetryBudget,
    RetrySettings, TargetBoard, TargetStatus, TwoChoices, decide_retry,
};
use agatedeck_clock::Instant;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use common::{OWN, request, view};

fn setting(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.map_or(default, |value| {
        value.parse().expect("the variable is a number")
    })
}

fn config() -> ProptestConfig {
    let cases = setting("AGATEDECK_PROPTEST_CASES", 256);
    ProptestConfig {
        cases: u32::try_from(cases).expect("the number of cases fits"),
        rng_seed: RngSeed::Fixed(setting("AGATEDECK_PROPTEST_SEED", 20)),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    /// Guards I4, I5, I6, I7 and I8 at the level of decisions.
    #[test]
    fn callers_are_told_what_ran(sequential 1..120 => Mesh);
}

/// What happens next. Numbers select among what exists at that time.
#[derive(Clone, Debug)]
enum Action {
    /// Whether the call may run twice, its tenant, and the time to its deadline in milliseconds.
    Submit(bool, usize, u64),
    Resend(usize),
    Deliver(usize),
    Fail(usize, bool),
    Advance(u64),
    Cancel(usize),
    Crash(usize),
    Drain(usize),
}

struct AnyAction;

impl ReferenceStateMachine for AnyAction {
    type State = ();
    type Transition = Action;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Action> {
        let pick = 0_usize..64;
        prop_oneof![
            6 => (any::<bool>(), 0_usize..3, 1_u64..200)
                .prop_map(|(idempotent, tenant, millis)| Action::Submit(idempotent, tenant, millis)),
            1 => pick.clone().prop_map(Action::Resend),
            20 => pick.clone().prop_map(Action::Deliver),
            4 => (pick.clone(), any::<bool>()).prop_map(|(at, truncate)| Action::Fail(at, truncate)),
            4 => (1_u64..40).prop_map(Action::Advance),
            1 => pick.clone().prop_map(Action::Cancel),
            1 => pick.clone().prop_map(Action::Crash),
            1 => pick.prop_map(Action::Drain),
        ]
        .boxed()
    }

    fn apply((): (), _: &Action) {}
}

/// One attempt: the call, its number, and the target and its generation.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Try {
    call: usize,
    attempt: u32,
    target: usize,
    generation: u64,
}

/// What is on its way or in progress.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Message {
    ClaimWrite(usize),
    Connect(Try),
    Request(Try),
    Running(Try, u64),
    Answer(Try, usize),
    Event(Try, AttemptEvent),
    Stop(Try),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Claim {
    Held,
    Answered,
}

struct Call {
    life: CallMachine,
    /// Calls sent under one idempotency key share it.
    key: usize,
    tenant: usize,
    idempotent: bool,
    deadline: Instant,
    wake_at: Option<Instant>,
    told: Option<CallOutcome>,
    /// Attempt that is passed to the caller, and the attempt whose whole answer arrived.
    passed: Option<u32>,
    complete: Option<u32>,
    current: Option<Try>,
}

struct Target {
    generation: u64,
    admission: AdmissionQueue,
    /// Attempts admitted and not yet over, by their number at the node.
    held: BTreeMap<u64, Try>,
    draining: bool,
    drained: bool,
}

struct Mesh {
    now: Instant,
    rng: SmallRng,
    board: TargetBoard,
    settings: RetrySettings,
    budget: RetryBudget,
    calls: Vec<Call>,
    targets: Vec<Target>,
    messages: Vec<Message>,
    claims: HashMap<usize, Claim>,
    next_id: u64,
    /// Runs by call and runs by key: the oracle.
    runs: HashMap<usize, u32>,
    key_runs: HashMap<usize, u32>,
}

const NODES: [&str; 3] = ["t0", "t1", "t2"];
const TENANTS: [&str; 3] = ["a", "b", "c"];

fn admission(now: Instant) -> AdmissionQueue {
    let settings = AdmissionSettings {
        slots: 2,
        queue: 3,
        tenant_share_percent: 50,
        warm_up_ms: 20,
    };
    AdmissionQueue::new(settings, now)
}

impl Mesh {
    fn new() -> Self {
        let now = Instant::from_millis(1);
        let settings = RetrySettings::default();
        let target = || Target {
            generation: 1,
            admission: admission(now),
            held: BTreeMap::new(),
            draining: false,
            drained: false,
        };
        let mut mesh = Self {
            now,
            rng: SmallRng::seed_from_u64(3),
            board: TargetBoard::new(&OWN, BoardSettings::default(), Box::new(TwoChoices)),
            budget: RetryBudget::new(&settings),
            settings,
            calls: Vec::new(),
            targets: NODES.iter().map(|_| target()).collect(),
            messages: Vec::new(),
            claims: HashMap::new(),
            next_id: 0,
            runs: HashMap::new(),
            key_runs: HashMap::new(),
        };
        mesh.update_board();
        mesh
    }

    fn update_board(&mut self) {
        let views: Vec<_> = (0..)
            .zip(&self.targets)
            .map(|(port, target)| {
                let index = usize::from(port);
                let mut view = view(NODES[index], ["d1", "d1", "d2"][index], "r1", port);
                (view.generation, view.slots, view.warm) = (target.generation, 2, false);
                if target.draining {
                    view.status = TargetStatus::Draining;
                }
                view
            })
            .collect();
        self.board.replace_targets("orders", &views, &[OWN], 20);
    }

    fn submit(&mut self, key: usize, idempotent: bool, tenant: usize, deadline_ms: u64) {
        let deadline = Instant::from_micros(self.now.as_micros() + deadline_ms * 1_000);
        let terms = CallOptions {
            idempotent,
            claimed: !idempotent,
            replayable: true,
            depth: 0,
            deadline,
        };
        self.calls.push(Call {
            life: CallMachine::new(terms),
            key,
            tenant,
            idempotent,
            deadline,
            wake_at: None,
            told: None,
            passed: None,
            complete: None,
            current: None,
        });
        self.raise(self.calls.len() - 1, CallEvent::Started);
    }

    fn raise(&mut self, index: usize, event: CallEvent) {
        if event == CallEvent::Started {
            self.budget.deposit();
        }
        for effect in self.calls[index].life.handle(event, self.now) {
            self.carry_out(index, effect);
        }
    }

    fn carry_out(&mut self, index: usize, effect: CallEffect) {
        let (now, call) = (self.now, &mut self.calls[index]);
        match effect {
            CallEffect::AcquireClaim => self.messages.push(Message::ClaimWrite(index)),
            CallEffect::PickTarget => {
                let request = request(call.life.tried_targets(), call.idempotent);
                let event = match self.board.pick(&request, now, &mut self.rng) {
                    Ok(picked) => CallEvent::TargetPicked(picked),
                    Err(_) => CallEvent::NoTarget,
                };
                self.raise(index, event);
            }
            CallEffect::SendAttempt(attempt, picked) => {
                let target = usize::from(picked.peer.port());
                assert!(
                    !self.targets[target].draining,
                    "new work at a draining target"
                );
                let generation = self.targets[target].generation;
                let tried = Try {
                    call: index,
                    attempt,
                    target,
                    generation,
                };
                assert_eq!(call.current.replace(tried), None);
                self.messages.push(Message::Connect(tried));
            }
            CallEffect::CancelAttempt(attempt) => {
                let tried = call.current.expect("there is an attempt to stop");
                assert_eq!(tried.attempt, attempt);
                let before = self.messages.len();
                self.messages
                    .retain(|message| *message != Message::Connect(tried));
                if self.messages.len() == before {
                    self.messages.push(Message::Stop(tried));
                }
            }
            CallEffect::RecordResult {
                key,
                picked_at,
                result,
            } => {
                assert!(call.current.take().is_some(), "finished twice");
                self.board.finish(key, picked_at, result, now);
            }
            CallEffect::ForwardAnswer(attempt) => {
                assert_eq!(call.passed.replace(attempt), None, "two answers passed on");
            }
            CallEffect::AbortAnswer => assert!(call.passed.is_some()),
            CallEffect::DecideRetry(question) => {
                let (settings, budget) = (&self.settings, &mut self.budget);
                let decision = decide_retry(&question, settings, budget, now, &mut self.rng);
                self.raise(index, CallEvent::RetryDecided(decision));
            }
            CallEffect::WakeAt(at) => call.wake_at = Some(at),
            CallEffect::FinishClaim(outcome) => {
                // A claim whose write is still on its way is released when it arrives.
                let written = !self.messages.contains(&Message::ClaimWrite(index));
                if written && outcome == CallOutcome::Answered {
                    self.claims.insert(call.key, Claim::Answered);
                } else if written && outcome == CallOutcome::NotRun {
                    self.claims.remove(&call.key);
                }
            }
            CallEffect::ReportOutcome(outcome) => {
                assert_eq!(call.told.replace(outcome), None, "told twice");
                assert_eq!(call.life.state(), CallState::Done);
                if outcome == CallOutcome::Answered {
                    let replayed = self.claims.get(&call.key) == Some(&Claim::Answered);
                    let whole = call.passed.is_some() && call.passed == call.complete;
                    assert!(whole || replayed, "answered without its own whole answer");
                    assert!(self.key_runs[&call.key] > 0, "answered without a run");
                }
            }
        }
    }

    fn admitted(&mut self, target: usize, effects: Vec<AdmissionEffect>) {
        for effect in effects {
            let entry = &mut self.targets[target];
            match effect {
                AdmissionEffect::Run(id) => {
                    let tried = entry.held[&u64::from(id)];
                    self.messages.push(Message::Running(tried, id.into()));
                    *self.runs.entry(tried.call).or_default() += 1;
                    let key = self.calls[tried.call].key;
                    *self.key_runs.entry(key).or_default() += 1;
                }
                AdmissionEffect::Refuse(id, reason) => {
                    let tried = entry.held.remove(&u64::from(id));
                    let tried = tried.expect("a refused call was held");
                    let event = if reason.is_full() {
                        AttemptEvent::TargetFull
                    } else {
                        AttemptEvent::Refused
                    };
                    self.messages.push(Message::Event(tried, event));
                }
                AdmissionEffect::Stop(id) => {
                    // The target stops at once; the caller's connection is closed already.
                    let id = u64::from(id);
                    entry.held.remove(&id);
                    self.messages.retain(
                        |message| !matches!(message, Message::Running(_, run) if *run == id),
                    );
                    let effects = self.targets[target].admission.abandon(id.into(), self.now);
                    self.admitted(target, effects);
                }
                AdmissionEffect::Drained => {
                    assert!(entry.held.is_empty(), "drained with calls left");
                    entry.drained = true;
                }
            }
        }
    }

    fn attempt(&mut self, tried: Try, event: AttemptEvent) {
        self.raise(tried.call, CallEvent::Attempt(tried.attempt, event));
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::ClaimWrite(index) => {
                let call = &self.calls[index];
                let (key, ended) = (call.key, call.told.is_some());
                let event = match self.claims.get(&key) {
                    Some(Claim::Answered) => CallEvent::ClaimReplayed,
                    Some(Claim::Held) => CallEvent::ClaimUnknown,
                    None => {
                        if !ended {
                            self.claims.insert(key, Claim::Held);
                        }
                        CallEvent::ClaimGranted
                    }
                };
                self.raise(index, event);
            }
            Message::Connect(tried) => {
                self.messages.push(Message::Request(tried));
                self.attempt(tried, AttemptEvent::SendStarted);
            }
            Message::Request(tried)
                if tried.generation != self.targets[tried.target].generation =>
            {
                self.attempt(tried, AttemptEvent::ConnectionLost);
            }
            Message::Request(tried) => {
                self.next_id += 1;
                let call = &self.calls[tried.call];
                let ticket = CallTicket {
                    call: self.next_id.into(),
                    tenant: TENANTS[call.tenant],
                    priority: 0,
                    class: "",
                    useful_until: None,
                    deadline: call.deadline,
                };
                let target = &mut self.targets[tried.target];
                target.held.insert(self.next_id, tried);
                let effects = target.admission.admit(&ticket, self.now);
                self.admitted(tried.target, effects);
            }
            Message::Running(tried, id) => {
                let target = &mut self.targets[tried.target];
                target.held.remove(&id);
                let effects = target.admission.release(id.into(), self.now);
                self.messages.push(Message::Answer(tried, tried.call));
                self.admitted(tried.target, effects);
            }
            Message::Answer(tried, answer_of) => {
                assert_eq!(tried.call, answer_of);
                self.attempt(tried, AttemptEvent::AnswerStarted);
                self.calls[tried.call].complete = Some(tried.attempt);
                self.attempt(tried, AttemptEvent::AnswerEnded);
            }
            Message::Event(tried, event) => self.attempt(tried, event),
            Message::Stop(tried) => {
                let target = &mut self.targets[tried.target];
                let id = target.held.iter().find(|(_, held)| **held == tried);
                if let Some((&id, _)) = id {
                    let effects = target.admission.cancel(id.into(), self.now);
                    if effects != [AdmissionEffect::Stop(id.into())] {
                        target.held.remove(&id);
                    }
                    self.admitted(tried.target, effects);
                }
            }
        }
    }

    /// The store, the connection or the answer fails instead of the message arriving.
    fn fail(&mut self, message: Message, truncate: bool) {
        match message {
            Message::ClaimWrite(index) => self.raise(index, CallEvent::ClaimRefused),
            Message::Connect(tried) => self.attempt(tried, AttemptEvent::ConnectFailed),
            Message::Request(tried) | Message::Event(tried, _) => {
                self.attempt(tried, AttemptEvent::ConnectionLost);
            }
            Message::Answer(tried, _) if truncate => {
                self.attempt(tried, AttemptEvent::AnswerStarted);
                self.attempt(tried, AttemptEvent::AnswerTruncated);
            }
            Message::Answer(tried, _) => self.attempt(tried, AttemptEvent::ConnectionLost),
            // The caller's connection breaks while the target goes on.
            Message::Running(tried, _) => {
                self.messages.push(message);
                self.attempt(tried, AttemptEvent::ConnectionLost);
            }
            Message::Stop(_) => self.deliver(message),
        }
    }

    fn crash(&mut self, index: usize) {
        let target = &mut self.targets[index];
        target.generation += 1;
        target.admission = admission(self.now);
        (target.draining, target.drained) = (false, false);
        let held = std::mem::take(&mut target.held);
        self.messages.retain(
            |message| !matches!(message, Message::Running(tried, _) if tried.target == index),
        );
        let lost = |tried| Message::Event(tried, AttemptEvent::ConnectionLost);
        self.messages.extend(held.into_values().map(lost));
        self.update_board();
    }

    fn advance(&mut self, millis: u64) {
        self.now = Instant::from_micros(self.now.as_micros() + millis * 1_000);
        for index in 0..self.targets.len() {
            let effects = self.targets[index].admission.tick(self.now);
            self.admitted(index, effects);
        }
        for index in 0..self.calls.len() {
            let call = &mut self.calls[index];
            if call.wake_at.take_if(|at| at.is_past(self.now)).is_some() {
                self.raise(index, CallEvent::BackoffEnded);
            }
            if self.calls[index].deadline.is_past(self.now) {
                self.raise(index, CallEvent::DeadlinePassed);
            }
        }
    }

    fn check(&self) {
        for (index, call) in self.calls.iter().enumerate() {
            let runs = self.runs.get(&index).copied().unwrap_or(0);
            if call.told == Some(CallOutcome::NotRun) {
                assert_eq!(runs, 0, "told not-run, but ran: {:?}", call.life);
            }
            if !call.idempotent {
                assert!(
                    self.key_runs.get(&call.key).copied().unwrap_or(0) <= 1,
                    "ran twice"
                );
            }
            assert!(call.life.attempts() <= self.settings.max_attempts);
        }
        for (index, target) in self.targets.iter().enumerate() {
            let held = u32::try_from(target.held.len()).expect("few calls");
            let (running, queued) = (target.admission.running(), target.admission.queued());
            assert_eq!(running as usize + queued, held as usize);
            assert!(running <= 2 && queued <= 3);
            let empty = target.held.is_empty();
            assert_eq!(target.drained, target.draining && empty, "drain of {index}");
        }
        let summaries = self.board.summaries("orders");
        for summary in summaries {
            let target = NODES.iter().position(|node| *node == summary.node);
            let target = target.expect("the node is known");
            let generation = self.targets[target].generation;
            let current = self.calls.iter().filter_map(|call| call.current);
            let in_flight = current
                .filter(|tried| tried.target == target && tried.generation == generation)
                .count();
            assert_eq!(
                summary.in_flight as usize, in_flight,
                "in flight at {target}"
            );
        }
    }
}

impl StateMachineTest for Mesh {
    type SystemUnderTest = Self;
    type Reference = AnyAction;

    fn init_test((): &()) -> Self {
        Self::new()
    }

    fn apply(mut mesh: Self, (): &(), action: Action) -> Self {
        let message = |mesh: &mut Self, index: usize| {
            let count = mesh.messages.len();
            (count > 0).then(|| mesh.messages.swap_remove(index % count))
        };
        match action {
            Action::Submit(idempotent, tenant, millis) => {
                mesh.submit(mesh.calls.len(), idempotent, tenant, millis);
            }
            Action::Resend(index) if !mesh.calls.is_empty() => {
                let call = &mesh.calls[index % mesh.calls.len()];
                let (key, idempotent, tenant) = (call.key, call.idempotent, call.tenant);
                mesh.submit(key, idempotent, tenant, 100);
            }
            Action::Cancel(index) if !mesh.calls.is_empty() => {
                mesh.raise(index % mesh.calls.len(), CallEvent::Cancelled);
            }
            Action::Resend(_) | Action::Cancel(_) => {}
            Action::Deliver(index) => {
                if let Some(message) = message(&mut mesh, index) {
                    mesh.deliver(message);
                }
            }
            Action::Fail(index, truncate) => {
                if let Some(message) = message(&mut mesh, index) {
                    mesh.fail(message, truncate);
                }
            }
            Action::Advance(millis) => mesh.advance(millis),
            Action::Crash(index) => mesh.crash(index % NODES.len()),
            Action::Drain(index) => {
                let index = index % NODES.len();
                mesh.targets[index].draining = true;
                mesh.update_board();
                let effects = mesh.targets[index].admission.drain(mesh.now);
                mesh.admitted(index, effects);
            }
        }
        mesh.check();
        mesh
    }

    fn teardown(mut mesh: Self, (): ()) {
        while let Some(message) = mesh.messages.pop() {
            mesh.deliver(message);
        }
        mesh.advance(10_000);
        while let Some(message) = mesh.messages.pop() {
            mesh.deliver(message);
        }
        mesh.check();
        let told = mesh.calls.iter().all(|call| call.told.is_some());
        assert!(told, "calls that were told nothing");
        let held = mesh.targets.iter().map(|target| target.held.len());
        assert_eq!(held.sum::<usize>(), 0, "calls left at targets");
    }
}
