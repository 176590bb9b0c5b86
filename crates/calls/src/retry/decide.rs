//! The decision on one retry.

use std::time::Duration;

use agatedeck_clock::Instant;
use rand::{Rng, RngCore};

use super::budget::RetryBudget;
use super::outcome::CallOutcome;

/// Settings of retries.
#[derive(Clone, Copy, Debug)]
pub struct RetrySettings {
    /// Targets that one call may be sent to, the first included.
    pub max_attempts: u32,
    /// Attempts that a call may make beyond that because nodes refused it before its target saw
    /// it.
    pub refused_attempts: u32,
    /// Upper end of the first backoff, in milliseconds; each further one doubles it.
    pub backoff_base_ms: u64,
    /// Upper end of any backoff, in milliseconds.
    pub backoff_cap_ms: u64,
    /// Retries as a share of calls, in percent.
    pub budget_percent: u32,
    /// Retries that may be made before calls have filled the budget, and the most it holds. It
    /// covers the attempts that find out that targets have failed.
    pub budget_capacity: u32,
}

/// Part of a limit that nodes spend on a service themselves. A call made by a run that was repeated
/// counts as repeated at the service that it calls, so that as much again comes from the callers of a
/// service, and the nodes of the service cannot see it.
const LOCAL_BUDGET_RATIO: f64 = 0.4;

impl RetrySettings {
    /// One node's part of what `nodes` nodes together may spend: a share of its own calls, and its
    /// part of the slack.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "percents and retries are small; a fleet has far fewer than 2^52 nodes"
    )]
    pub fn per_node(self, limit_ratio: f64, slack_retries: f64, nodes: usize) -> Self {
        let percent = (limit_ratio * LOCAL_BUDGET_RATIO * 100.0).clamp(0.0, 100.0);
        let capacity = (slack_retries / nodes.max(1) as f64).clamp(1.0, 1_000.0);
        Self {
            budget_percent: percent as u32,
            budget_capacity: capacity as u32,
            ..self
        }
    }
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            max_attempts: 3,
            refused_attempts: 0,
            backoff_base_ms: 5,
            backoff_cap_ms: 250,
            budget_percent: 10,
            budget_capacity: 20,
        }
    }
}

/// What is asked after an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RetryContext {
    /// Outcome of the attempt.
    pub outcome: CallOutcome,
    /// Attempts made so far.
    pub attempts: u32,
    /// Attempts that a target saw, whether or not it ran them.
    pub delivered_attempts: u32,
    /// Whether the policy says that the call may run more than once.
    pub idempotent: bool,
    /// Whether the whole request can be sent again.
    pub replayable: bool,
    /// Whether this node owns the retries of the call; see [`owns_retries`].
    pub owns_retries: bool,
    /// Deadline of the call.
    pub deadline: Instant,
}

/// Whether a call is tried again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryDecision {
    /// Try again at this time, preferably at another target.
    RetryAt(Instant),
    /// Tell the caller the outcome.
    Deny(RetryRefusal),
}

/// Why a call is not tried again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryRefusal {
    /// The call was answered.
    Answered,
    /// The call may have run and must not run twice.
    NotIdempotent,
    /// Part of the request is gone.
    NotReplayable,
    /// An outer hop owns the retries.
    NotOwner,
    /// All attempts are used.
    AttemptsExhausted,
    /// The backoff ends after the deadline.
    PastDeadline,
    /// Retries have reached their share of the calls.
    BudgetExhausted,
}

/// Whether the node at `depth` of a call chain owns the retries. Only the outermost hop, at depth
/// 0, does; otherwise attempts would multiply with each hop.
pub fn owns_retries(depth: u32) -> bool {
    depth == 0
}

/// Decides whether a call is tried again, and takes the token for it from `budget`.
pub fn decide_retry(
    context: &RetryContext,
    settings: &RetrySettings,
    budget: &mut RetryBudget,
    now: Instant,
    rng: &mut dyn RngCore,
) -> RetryDecision {
    let refusal = match context.outcome {
        CallOutcome::Answered => Some(RetryRefusal::Answered),
        CallOutcome::Unknown if !context.idempotent => Some(RetryRefusal::NotIdempotent),
        _ if !context.replayable => Some(RetryRefusal::NotReplayable),
        _ if !context.owns_retries => Some(RetryRefusal::NotOwner),
        _ if context.delivered_attempts >= settings.max_attempts => {
            Some(RetryRefusal::AttemptsExhausted)
        }
        _ if context.attempts >= settings.max_attempts + settings.refused_attempts => {
            Some(RetryRefusal::AttemptsExhausted)
        }
        _ => None,
    };
    if let Some(refusal) = refusal {
        return RetryDecision::Deny(refusal);
    }
    let at = now.after(backoff(context.attempts, settings, rng));
    if context.deadline.is_past(at) {
        return RetryDecision::Deny(RetryRefusal::PastDeadline);
    }
    // Last, so that a call that is not tried again for another reason takes no token. A call that no
    // target has seen costs no target anything yet.
    if context.delivered_attempts > 0 && !budget.try_withdraw() {
        return RetryDecision::Deny(RetryRefusal::BudgetExhausted);
    }
    RetryDecision::RetryAt(at)
}

/// Full jitter: uniform between zero and a bound that doubles with each attempt.
fn backoff(attempts: u32, settings: &RetrySettings, rng: &mut dyn RngCore) -> Duration {
    let factor = 1_u64 << attempts.saturating_sub(1).min(16);
    let cap_ms = settings.backoff_base_ms.saturating_mul(factor);
    let cap_us = cap_ms.min(settings.backoff_cap_ms).saturating_mul(1_000);
    Duration::from_micros(rng.random_range(0..=cap_us))
}
