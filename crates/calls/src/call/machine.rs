//! Runs the state chart `charts/call.toml` for one call.

use agatedeck_clock::Instant;

use super::chart::{CALL_CHART, CallState, ChartAction, ChartEvent};
use crate::retry::{CallOutcome, RetryContext, RetryDecision, owns_retries};
use crate::routing::{AttemptResult, PickedTarget, TargetKey};

/// Properties of a call that are fixed when it arrives.
#[derive(Clone, Copy, Debug)]
pub struct CallOptions {
    /// Whether the endpoint policy allows the call to run more than once.
    pub idempotent: bool,
    /// Whether a claim is written before the first attempt. A call that is neither idempotent nor
    /// claimed is not retried once it may have run; its caller may resend it.
    pub claimed: bool,
    /// Whether the whole request is buffered, so that it can be sent again.
    pub replayable: bool,
    /// Number of hops from the outermost caller's node to this one.
    pub depth: u32,
    /// Deadline of the call.
    pub deadline: Instant,
}

/// Input event of [`CallMachine`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallEvent {
    /// The call has arrived.
    Started,
    /// The claim was written; the call may run.
    ClaimGranted,
    /// The claim was not written, for example because the store is unavailable.
    ClaimRefused,
    /// The key was claimed before, and the stored answer is available.
    ClaimReplayed,
    /// The key was claimed before, and it is unknown whether that call ran.
    ClaimUnknown,
    /// The load balancer picked a target.
    TargetPicked(PickedTarget),
    /// The load balancer has no usable target.
    NoTarget,
    /// Event of the attempt with this number.
    Attempt(u32, AttemptEvent),
    /// Reply to [`CallEffect::DecideRetry`].
    RetryDecided(RetryDecision),
    /// The time given in [`CallEffect::WakeAt`] has passed.
    BackoffEnded,
    /// The deadline of the call has passed.
    DeadlinePassed,
    /// The caller has cancelled the call or closed its connection.
    Cancelled,
}

/// Event of one attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptEvent {
    /// No connection to the target's node could be established.
    ConnectFailed,
    /// The request is about to be written. Raised before the first byte is written, so that an
    /// attempt whose connection is lost earlier is known to be `not-run`.
    SendStarted,
    /// The target's node answered `not-run` for a reason that is specific to this call.
    Refused,
    /// The target's node answered `not-run` because the target has no free capacity; see
    /// [`RefusalReason::is_full`](crate::RefusalReason::is_full).
    TargetFull,
    /// The target received the call and reported that it did not run it.
    Declined,
    /// The node at the address of the target's node has another target, and passed nothing on.
    Misdirected,
    /// The target ran the call and answered with a failure. Raised only for a call that may run
    /// again; if it is not retried, its caller receives that answer.
    AnsweredFailure,
    /// The connection was lost before the answer began, or the target's node answered `unknown`.
    ConnectionLost,
    /// The head of the answer was received.
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
            Self::Misdirected => ChartEvent::Misdirected,
            Self::AnsweredFailure => ChartEvent::AnsweredFailure,
            Self::ConnectionLost => ChartEvent::ConnectionLost,
            Self::AnswerStarted => ChartEvent::AnswerStarted,
            Self::AnswerTruncated => ChartEvent::AnswerTruncated,
            Self::AnswerEnded => ChartEvent::AnswerEnded,
        }
    }
}

/// Output of [`CallMachine`]: an action for the caller's node. Effects are carried out in the order
/// in which they are returned.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallEffect {
    /// Write the claim of the call under its idempotency key.
    AcquireClaim,
    /// Pick a target, if possible none of [`CallMachine::tried_targets`].
    PickTarget,
    /// Connect to the target and send the request as the attempt with this number.
    SendAttempt(u32, PickedTarget),
    /// Cancel the attempt with this number and close its connection.
    CancelAttempt(u32),
    /// Record the result of an attempt with the load balancer.
    RecordResult {
        /// Target of the attempt.
        key: TargetKey,
        /// When the target was picked.
        picked_at: Instant,
        /// How the attempt ended.
        result: AttemptResult,
    },
    /// Stream the answer of the attempt with this number to the caller.
    ForwardAnswer(u32),
    /// Abort the answer to the caller in a way that the caller cannot mistake for a complete answer.
    AbortAnswer,
    /// Let the owner of the retry budget call [`decide_retry`](crate::decide_retry), and raise
    /// [`CallEvent::RetryDecided`] with the result.
    DecideRetry(RetryContext),
    /// Raise [`CallEvent::BackoffEnded`] at this time.
    WakeAt(Instant),
    /// Finish the claim of the call: store the answer, release the claim after `not-run`, or leave
    /// its outcome unknown.
    FinishClaim(CallOutcome),
    /// Report the outcome to the caller. This is the last effect of a call.
    ReportOutcome(CallOutcome),
}

/// State machine of one call at the caller's node.
///
/// Invariants:
///
/// - The outcome is reported exactly once.
/// - The reported outcome is `not-run` only if no attempt can have run at a target, and `answered`
///   only after a complete answer.
/// - Events of attempts other than the current one are ignored.
#[derive(Debug)]
pub struct CallMachine {
    options: CallOptions,
    state: CallState,
    attempts: u32,
    /// Attempts that reached, or may have reached, a target.
    delivered_attempts: u32,
    /// Outcome of the last attempt.
    last_outcome: CallOutcome,
    /// Whether any attempt may have run at a target. Never reset.
    may_have_run: bool,
    answered: bool,
    /// Target of the current attempt and when it was picked.
    target: Option<(PickedTarget, Instant)>,
    tried_targets: Vec<TargetKey>,
    wake_at: Instant,
}

impl CallMachine {
    /// Creates the machine in its initial state; [`CallEvent::Started`] starts it.
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

    /// Current state of the call.
    pub fn state(&self) -> CallState {
        self.state
    }

    /// Number of attempts started so far, which is also the number of the current attempt.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Targets of earlier attempts.
    pub fn tried_targets(&self) -> &[TargetKey] {
        &self.tried_targets
    }

    /// The outcome that would be reported if the call ended now.
    pub fn outcome(&self) -> CallOutcome {
        if self.answered {
            CallOutcome::Answered
        } else if self.may_have_run {
            CallOutcome::Unknown
        } else {
            CallOutcome::NotRun
        }
    }

    /// Processes `event` and returns the effects to carry out.
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

    /// Processes `event` and the events that its actions raise.
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

    /// Carries out an action of the chart and returns the event that it raises, if any.
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
