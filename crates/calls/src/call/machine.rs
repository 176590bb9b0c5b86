//! Interprets `charts/call.toml` for one call.

use agatedeck_clock::Instant;

use super::chart::{CALL_CHART, CallState, ChartAction, ChartEvent};
use crate::retry::{CallOutcome, RetryContext, RetryDecision, owns_retries};
use crate::routing::{AttemptResult, PickedTarget, TargetKey};

/// What is known of a call when it arrives.
#[derive(Clone, Copy, Debug)]
pub struct CallOptions {
    /// Whether the endpoint policy says that the call may run more than once.
    pub idempotent: bool,
    /// Whether the call is claimed before its first attempt. A call that is neither idempotent nor
    /// claimed is not tried again once it may have run; its caller may resend it.
    pub claimed: bool,
    /// Whether the whole request is kept, so that it can be sent again.
    pub replayable: bool,
    /// Hops between the outermost caller's node and this one.
    pub depth: u32,
    /// Deadline of the call.
    pub deadline: Instant,
}

/// Something that happened to a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallEvent {
    /// The call has arrived.
    Started,
    /// The claim was written; the call may run.
    ClaimGranted,
    /// The claim was not written, for example because the store is unavailable.
    ClaimRefused,
    /// The key was claimed before, and the stored answer is at hand.
    ClaimReplayed,
    /// The key was claimed before, and whether that call ran is not known.
    ClaimUnknown,
    /// The board picked a target.
    TargetPicked(PickedTarget),
    /// The board has no target.
    NoTarget,
    /// Something happened to the attempt of this number.
    Attempt(u32, AttemptEvent),
    /// Answer to [`CallEffect::DecideRetry`].
    RetryDecided(RetryDecision),
    /// The time of [`CallEffect::WakeAt`] has come.
    BackoffEnded,
    /// The deadline of the call has passed.
    DeadlinePassed,
    /// The caller has cancelled the call or closed its connection.
    Cancelled,
}

/// Something that happened to one attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptEvent {
    /// There is no connection to the target's node.
    ConnectFailed,
    /// The request is about to be written. Raised before the first byte, so that every loss of the
    /// connection before it is known to be `not-run`.
    SendStarted,
    /// The target's node answered `not-run` for a reason that concerns this call alone.
    Refused,
    /// The target's node answered `not-run` because the target has no room; see
    /// [`RefusalReason::is_full`](crate::RefusalReason::is_full).
    TargetFull,
    /// The target itself saw the call and says that it did not run it.
    Declined,
    /// The target ran the call and answered that it failed. Raised for a call that may run again; if
    /// it is not tried again, its caller receives that answer.
    AnsweredFailure,
    /// The connection was lost before the answer, or the target's node answered `unknown`.
    ConnectionLost,
    /// The head of the answer has arrived.
    AnswerStarted,
    /// The answer ended before it was complete.
    AnswerTruncated,
    /// The answer is complete.
    AnswerEnded,
}

impl AttemptEvent {
    fn chart_event(self) -> ChartEvent {
        match self {
            Self::ConnectFailed => ChartEvent::ConnectFailed,
            Self::SendStarted => ChartEvent::SendStarted,
            Self::Refused => ChartEvent::Refused,
            Self::TargetFull => ChartEvent::TargetFull,
            Self::Declined => ChartEvent::Declined,
            Self::AnsweredFailure => ChartEvent::AnsweredFailure,
            Self::ConnectionLost => ChartEvent::ConnectionLost,
            Self::AnswerStarted => ChartEvent::AnswerStarted,
            Self::AnswerTruncated => ChartEvent::AnswerTruncated,
            Self::AnswerEnded => ChartEvent::AnswerEnded,
        }
    }
}

/// What the caller's node is to do for a call, in this order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallEffect {
    /// Claim the call under its idempotency key.
    AcquireClaim,
    /// Pick a target; [`CallMachine::tried_targets`] are to be avoided.
    PickTarget,
    /// Connect to the target and send the request as the attempt of this number.
    SendAttempt(u32, PickedTarget),
    /// Stop the attempt of this number and close its connection.
    CancelAttempt(u32),
    /// Pass to [`TargetBoard::finish`](crate::TargetBoard::finish).
    RecordResult {
        /// Target of the attempt.
        key: TargetKey,
        /// When the target was picked.
        picked_at: Instant,
        /// How the attempt ended.
        result: AttemptResult,
    },
    /// Pass the answer of the attempt of this number on to the caller as it arrives.
    ForwardAnswer(u32),
    /// Break off the answer to the caller in a way that it cannot take for a complete one.
    AbortAnswer,
    /// Ask the owner of the retry budget, with [`decide_retry`](crate::decide_retry), and raise
    /// [`CallEvent::RetryDecided`].
    DecideRetry(RetryContext),
    /// Raise [`CallEvent::BackoffEnded`] at this time.
    WakeAt(Instant),
    /// Settle the claim of the call: store the answer, release the claim after `not-run`, or leave
    /// it as unknown.
    FinishClaim(CallOutcome),
    /// Tell the caller the outcome. Nothing else follows for the call.
    ReportOutcome(CallOutcome),
}

/// One call at the caller's node.
///
/// Invariants: the caller is told exactly once. It is told `not-run` only if no attempt can have
/// reached a target, and `answered` only after a complete answer. Events of an attempt that is no
/// longer the current one change nothing.
#[derive(Debug)]
pub struct CallMachine {
    options: CallOptions,
    state: CallState,
    attempts: u32,
    /// Attempts that a target saw.
    delivered_attempts: u32,
    /// Outcome of the last attempt.
    last_outcome: CallOutcome,
    /// Whether any attempt can have reached a target.
    may_have_run: bool,
    answered: bool,
    /// Target of the current attempt and when it was picked.
    target: Option<(PickedTarget, Instant)>,
    tried_targets: Vec<TargetKey>,
    wake_at: Instant,
}

impl CallMachine {
    /// A call that has arrived; [`CallEvent::Started`] sets it going.
    pub fn new(options: CallOptions) -> Self {
        Self {
            options,
            state: CALL_CHART.initial(),
            attempts: 0,
            delivered_attempts: 0,
            last_outcome: CallOutcome::NotRun,
            may_have_run: false,
            answered: false,
            target: None,
            tried_targets: Vec::new(),
            wake_at: Instant::default(),
        }
    }

    /// State of the call.
    pub fn state(&self) -> CallState {
        self.state
    }

    /// Attempts begun so far; also the number of the current attempt.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Targets of earlier attempts.
    pub fn tried_targets(&self) -> &[TargetKey] {
        &self.tried_targets
    }

    /// What the caller is told if the call ends now.
    pub fn outcome(&self) -> CallOutcome {
        if self.answered {
            CallOutcome::Answered
        } else if self.may_have_run {
            CallOutcome::Unknown
        } else {
            CallOutcome::NotRun
        }
    }

    /// Moves the call on by `event` and returns what is to be done.
    pub fn handle(&mut self, event: CallEvent, now: Instant) -> Vec<CallEffect> {
        let mut effects = Vec::new();
        let event = match event {
            CallEvent::Started if self.options.claimed => ChartEvent::ClaimNeeded,
            CallEvent::Started => ChartEvent::ClaimNotNeeded,
            CallEvent::ClaimGranted => ChartEvent::ClaimGranted,
            CallEvent::ClaimRefused => ChartEvent::ClaimRefused,
            CallEvent::ClaimReplayed => ChartEvent::ClaimReplayed,
            CallEvent::ClaimUnknown => ChartEvent::ClaimUnknown,
            CallEvent::TargetPicked(target) => {
                if matches!(self.state, CallState::Picking | CallState::Done) {
                    self.target = Some((target, now));
                }
                ChartEvent::TargetPicked
            }
            CallEvent::NoTarget => ChartEvent::NoTarget,
            CallEvent::Attempt(attempt, _) if attempt != self.attempts => return effects,
            CallEvent::Attempt(_, event) => event.chart_event(),
            CallEvent::RetryDecided(RetryDecision::RetryAt(at)) => {
                if self.state == CallState::Deciding {
                    self.wake_at = at;
                }
                ChartEvent::RetryGranted
            }
            CallEvent::RetryDecided(RetryDecision::Deny(_)) => ChartEvent::RetryDenied,
            CallEvent::BackoffEnded if !self.wake_at.is_past(now) => return effects,
            CallEvent::BackoffEnded => ChartEvent::BackoffEnded,
            CallEvent::DeadlinePassed => ChartEvent::DeadlinePassed,
            CallEvent::Cancelled => ChartEvent::Cancelled,
        };
        self.raise(event, now, &mut effects);
        effects
    }

    fn raise(&mut self, event: ChartEvent, now: Instant, effects: &mut Vec<CallEffect>) {
        let mut next = Some(event);
        while let Some(event) = next.take() {
            for action in CALL_CHART.advance(&mut self.state, event) {
                if let Some(event) = self.apply_action(*action, now, effects) {
                    next = Some(event);
                }
            }
        }
    }

    /// Carries out an action; returns the event that it raises.
    fn apply_action(
        &mut self,
        action: ChartAction,
        now: Instant,
        effects: &mut Vec<CallEffect>,
    ) -> Option<ChartEvent> {
        match action {
            ChartAction::AcquireClaim => effects.push(CallEffect::AcquireClaim),
            ChartAction::PickTarget => {
                if self.options.deadline.is_past(now) {
                    return Some(ChartEvent::DeadlinePassed);
                }
                self.attempts += 1;
                effects.push(CallEffect::PickTarget);
            }
            ChartAction::SendAttempt => {
                let target = self.target.map(|(target, _)| target);
                effects.extend(target.map(|target| CallEffect::SendAttempt(self.attempts, target)));
            }
            ChartAction::CancelAttempt => effects.push(CallEffect::CancelAttempt(self.attempts)),
            ChartAction::ForwardAnswer => effects.push(CallEffect::ForwardAnswer(self.attempts)),
            ChartAction::AbortAnswer => effects.push(CallEffect::AbortAnswer),
            ChartAction::SetAnswered => self.answered = true,
            ChartAction::SetNotRun => self.last_outcome = CallOutcome::NotRun,
            ChartAction::CountDelivered => self.delivered_attempts += 1,
            ChartAction::SetUnknown => {
                self.last_outcome = CallOutcome::Unknown;
                self.may_have_run = true;
            }
            ChartAction::RecordAnswered => self.record_result(AttemptResult::Answered, effects),
            ChartAction::RecordFailed => self.record_result(AttemptResult::Failed, effects),
            ChartAction::RecordTimedOut => self.record_result(AttemptResult::TimedOut, effects),
            ChartAction::RecordRefused => self.record_result(AttemptResult::Refused, effects),
            ChartAction::RecordFull => self.record_result(AttemptResult::Full, effects),
            ChartAction::RecordCancelled => self.record_result(AttemptResult::Cancelled, effects),
            ChartAction::DecideRetry => effects.push(CallEffect::DecideRetry(self.retry_context())),
            ChartAction::ScheduleBackoff => effects.push(CallEffect::WakeAt(self.wake_at)),
            ChartAction::FinishClaim => {
                if self.options.claimed {
                    effects.push(CallEffect::FinishClaim(self.outcome()));
                }
            }
            ChartAction::ReportOutcome => effects.push(CallEffect::ReportOutcome(self.outcome())),
        }
        None
    }

    fn record_result(&mut self, result: AttemptResult, effects: &mut Vec<CallEffect>) {
        if let Some((target, picked_at)) = self.target.take() {
            self.tried_targets.push(target.key);
            effects.push(CallEffect::RecordResult {
                key: target.key,
                picked_at,
                result,
            });
        }
    }

    fn retry_context(&self) -> RetryContext {
        RetryContext {
            outcome: self.last_outcome,
            attempts: self.attempts,
            delivered_attempts: self.delivered_attempts,
            idempotent: self.options.idempotent,
            replayable: self.options.replayable,
            owns_retries: owns_retries(self.options.depth),
            deadline: self.options.deadline,
        }
    }
}
