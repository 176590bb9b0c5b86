//! Outcome that is reported after each event of an attempt.

use agatedeck_calls::{
    AttemptEvent, AttemptResult, CallEffect, CallEvent, CallMachine, CallOptions, CallOutcome,
    CallState, PickedTarget, RetryDecision, RetryRefusal, TargetKey,
};
use agatedeck_clock::Instant;
use yare::parameterized;

fn any_target() -> PickedTarget {
    PickedTarget {
        key: TargetKey::default(),
        peer: ([127, 0, 0, 1], 9_000).into(),
        load_percent: 0,
    }
}

/// Processes the events in order and returns all effects. Retries are always denied.
fn run_events(idempotent: bool, events: &[CallEvent]) -> (CallMachine, Vec<CallEffect>) {
    let mut machine = CallMachine::new(CallOptions {
        idempotent,
        claimed: !idempotent,
        replayable: true,
        depth: 0,
        deadline: Instant::from_millis(100),
    });
    let mut effects = Vec::new();
    for event in events {
        effects.extend(machine.handle(*event, Instant::default()));
        if let Some(CallEffect::DecideRetry(_)) = effects.last() {
            let denied = RetryDecision::Deny(RetryRefusal::AttemptsExhausted);
            effects.extend(machine.handle(CallEvent::RetryDecided(denied), Instant::default()));
        }
    }
    (machine, effects)
}

use AttemptEvent::{
    AnswerEnded, AnswerStarted, AnswerTruncated, ConnectFailed, ConnectionLost, Declined,
    Misdirected, Refused, SendStarted, TargetFull,
};
use CallEvent::{Attempt, Cancelled, DeadlinePassed};
use CallOutcome::{Answered, NotRun, Unknown};

/// Guards against reporting `not-run` for a call that may have run, and against reporting `answered`
/// after an incomplete answer.
#[parameterized(
    connect_refused = { &[Attempt(1, ConnectFailed)], NotRun },
    lost_before_first_byte = { &[Attempt(1, ConnectionLost)], NotRun },
    refused_by_node = { &[Attempt(1, SendStarted), Attempt(1, Refused)], NotRun },
    target_full = { &[Attempt(1, SendStarted), Attempt(1, TargetFull)], NotRun },
    declined = { &[Attempt(1, SendStarted), Attempt(1, Declined)], NotRun },
    misdirected = { &[Attempt(1, SendStarted), Attempt(1, Misdirected)], NotRun },
    lost_after_bytes = { &[Attempt(1, SendStarted), Attempt(1, ConnectionLost)], Unknown },
    deadline_before_bytes = { &[DeadlinePassed], NotRun },
    deadline_after_bytes = { &[Attempt(1, SendStarted), DeadlinePassed], Unknown },
    cancelled_before_bytes = { &[Cancelled], NotRun },
    cancelled_after_bytes = { &[Attempt(1, SendStarted), Cancelled], Unknown },
    truncated = {
        &[Attempt(1, SendStarted), Attempt(1, AnswerStarted), Attempt(1, AnswerTruncated)],
        Unknown
    },
    answered = {
        &[Attempt(1, SendStarted), Attempt(1, AnswerStarted), Attempt(1, AnswerEnded)],
        Answered
    },
    answered_then_deadline = {
        &[Attempt(1, SendStarted), Attempt(1, AnswerStarted), Attempt(1, AnswerEnded), DeadlinePassed],
        Answered
    },
)]
fn reported_outcome_after_one_attempt(events: &[CallEvent], outcome: CallOutcome) {
    for idempotent in [true, false] {
        let mut all = vec![CallEvent::Started];
        if !idempotent {
            all.push(CallEvent::ClaimGranted);
        }
        all.push(CallEvent::TargetPicked(any_target()));
        all.extend(events);
        let (machine, effects) = run_events(idempotent, &all);
        assert_eq!(machine.state(), CallState::Done);
        let reported: Vec<_> = effects
            .iter()
            .filter(|effect| matches!(effect, CallEffect::ReportOutcome(_)))
            .collect();
        assert_eq!(reported, [&CallEffect::ReportOutcome(outcome)]);
        let claim_finished = effects.contains(&CallEffect::FinishClaim(outcome));
        assert_eq!(claim_finished, !idempotent, "{effects:?}");
    }
}

/// Guards against an answer of an earlier attempt being mistaken for that of the current one.
#[test]
fn events_of_other_attempts_are_ignored() {
    let picked = CallEvent::TargetPicked(any_target());
    let (machine, _) = run_events(true, &[CallEvent::Started, picked, Attempt(2, SendStarted)]);
    assert_eq!(machine.state(), CallState::Connecting);
}

/// Guards against a call that the load balancer counts as in flight forever, because its target was
/// picked after the call had ended.
#[test]
fn target_picked_after_cancellation_is_returned() {
    let picked = CallEvent::TargetPicked(any_target());
    let (_, effects) = run_events(true, &[CallEvent::Started, Cancelled, picked]);
    assert!(matches!(
        effects.last(),
        Some(CallEffect::RecordResult { .. })
    ));
}

/// Guards against a retry decision that restarts a call which has ended in the meantime.
#[parameterized(cancelled = { Cancelled }, deadline = { DeadlinePassed })]
fn retry_granted_after_call_ended_is_ignored(end: CallEvent) {
    let mut machine = CallMachine::new(CallOptions {
        idempotent: true,
        claimed: false,
        replayable: true,
        depth: 0,
        deadline: Instant::from_millis(100),
    });
    let picked = CallEvent::TargetPicked(any_target());
    for event in [CallEvent::Started, picked, Attempt(1, ConnectFailed)] {
        machine.handle(event, Instant::default());
    }
    assert_eq!(machine.state(), CallState::Deciding);
    let effects = machine.handle(end, Instant::default());
    assert_eq!(effects, [CallEffect::ReportOutcome(NotRun)]);
    let granted = CallEvent::RetryDecided(RetryDecision::RetryAt(Instant::default()));
    assert_eq!(machine.handle(granted, Instant::default()), []);
    assert_eq!(machine.state(), CallState::Done);
}

/// Guards against writing a claim for a call that is only excluded from retries and therefore needs no
/// idempotency key.
#[test]
fn call_neither_idempotent_nor_claimed_writes_no_claim() {
    let mut machine = CallMachine::new(CallOptions {
        idempotent: false,
        claimed: false,
        replayable: true,
        depth: 0,
        deadline: Instant::from_millis(100),
    });
    let effects = machine.handle(CallEvent::Started, Instant::default());
    assert_eq!(effects, [CallEffect::PickTarget]);
}

/// Guards against a call that is refused for want of a retry token although it has reached no target:
/// a token pays for load on a second target.
#[parameterized(
    refused = { Refused, 0, AttemptResult::Refused },
    target_full = { TargetFull, 0, AttemptResult::Full },
    misdirected = { Misdirected, 0, AttemptResult::Failed },
    declined = { Declined, 1, AttemptResult::Full },
    connection_lost = { ConnectionLost, 1, AttemptResult::Failed },
)]
fn only_attempts_that_reached_a_target_count_as_delivered(
    event: AttemptEvent,
    delivered: u32,
    recorded: AttemptResult,
) {
    let events = [
        CallEvent::Started,
        CallEvent::TargetPicked(any_target()),
        Attempt(1, SendStarted),
        Attempt(1, event),
    ];
    let (_, effects) = run_events(true, &events);
    let decision = effects.iter().find_map(|effect| match effect {
        CallEffect::DecideRetry(context) => Some(context.delivered_attempts),
        _ => None,
    });
    assert_eq!(decision, Some(delivered));
    let result = effects.iter().find_map(|effect| match effect {
        CallEffect::RecordResult { result, .. } => Some(*result),
        _ => None,
    });
    assert_eq!(result, Some(recorded));
}
