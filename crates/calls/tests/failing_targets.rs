//! Calls while a third of the targets fail, in virtual time.

mod common;

use std::collections::BTreeMap;

use agatedeck_calls::{
    AttemptEvent, BoardSettings, CallEffect, CallEvent, CallMachine, CallOptions, CallOutcome,
    RetryBudget, RetrySettings, TargetBoard, TwoChoices, decide_retry,
};
use agatedeck_clock::Instant;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use yare::parameterized;

use AttemptEvent::{AnswerEnded, AnswerStarted, ConnectFailed, ConnectionLost, SendStarted};
use common::{OWN, request, view};

const CALLS: usize = 20_000;
const NODES: [&str; 12] = [
    "n0", "n1", "n2", "n3", "n4", "n5", "n6", "n7", "n8", "n9", "n10", "n11",
];

/// Events of an attempt at a failing target, with their delay in microseconds. After
/// `SendStarted` alone, nothing is heard of the call until its deadline.
type Failure = &'static [(u64, AttemptEvent)];

/// Guards the goal of fewer than 1.1 attempts per call when a third of the targets fail, and
/// against reaching it by giving up: nearly all calls must still be answered.
#[parameterized(
    refused_connections = { &[(300, ConnectFailed)] },
    lost_connections = { &[(0, SendStarted), (5_000, ConnectionLost)] },
    silence = { &[(0, SendStarted)] },
)]
fn attempts_per_call_stay_within_the_goal(failure: Failure) {
    let views: Vec<_> = (0..)
        .zip(NODES)
        .map(|(port, node)| view(node, "d1", "r1", port))
        .collect();
    let mut board = TargetBoard::new(&OWN, BoardSettings::default(), Box::new(TwoChoices));
    board.replace_targets("orders", &views, &[OWN], 1_000);
    let settings = RetrySettings::default();
    let mut budget = RetryBudget::new(&settings);
    let mut rng = SmallRng::seed_from_u64(5);
    let mut lives = Vec::new();
    // One call each millisecond; each is heard of at its deadline at the latest.
    let mut events: BTreeMap<(u64, usize), (usize, CallEvent)> = BTreeMap::new();
    for call in 0..CALLS {
        let at = call as u64 * 1_000;
        lives.push(CallMachine::new(CallOptions {
            idempotent: true,
            claimed: false,
            replayable: true,
            depth: 0,
            deadline: Instant::from_micros(at + 100_000),
        }));
        events.insert((at, 2 * call), (call, CallEvent::Started));
        events.insert(
            (at + 100_000, 2 * call + 1),
            (call, CallEvent::DeadlinePassed),
        );
    }
    let (mut serial, mut answered, mut attempts) = (2 * CALLS, 0, 0);
    while let Some(((at, _), (call, event))) = events.pop_first() {
        let now = Instant::from_micros(at);
        let mut pending = vec![event];
        while let Some(event) = pending.pop() {
            if event == CallEvent::Started {
                budget.deposit();
            }
            for effect in lives[call].handle(event, now) {
                let mut later = |delay: u64, event| {
                    serial += 1;
                    events.insert((at + delay, serial), (call, event));
                };
                match effect {
                    CallEffect::PickTarget => {
                        let request = request(lives[call].tried_targets(), true);
                        let picked = board.pick(&request, now, &mut rng);
                        pending.push(CallEvent::TargetPicked(picked.expect("there are targets")));
                    }
                    CallEffect::SendAttempt(attempt, picked) => {
                        attempts += 1;
                        let answer = [
                            (0, SendStarted),
                            (9_000, AnswerStarted),
                            (9_900, AnswerEnded),
                        ];
                        let failing = picked.peer.port() % 3 == 0;
                        let script = if failing { failure } else { &answer };
                        for (delay, event) in script {
                            later(*delay, CallEvent::Attempt(attempt, *event));
                        }
                    }
                    CallEffect::RecordResult {
                        key,
                        picked_at,
                        result,
                    } => board.finish(key, picked_at, result, now),
                    CallEffect::DecideRetry(question) => {
                        let decision =
                            decide_retry(&question, &settings, &mut budget, now, &mut rng);
                        pending.push(CallEvent::RetryDecided(decision));
                    }
                    CallEffect::WakeAt(wake_at) => {
                        later(wake_at.as_micros() - at, CallEvent::BackoffEnded);
                    }
                    CallEffect::ReportOutcome(CallOutcome::Answered) => answered += 1,
                    _ => {}
                }
            }
        }
    }
    println!("{attempts} attempts, {answered} answered of {CALLS} calls");
    assert!(attempts * 10 < CALLS * 11, "{attempts} attempts");
    assert!(answered * 100 >= CALLS * 98, "{answered} answered");
}
