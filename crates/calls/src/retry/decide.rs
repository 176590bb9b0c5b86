//! Decides whether an attempt is retried, and after which backoff.

use std::time::Duration;

use agatedeck_clock::Instant;
use rand::{Rng, RngCore};

use super::budget::RetryBudget;
use super::outcome::CallOutcome;

/// Settings of [`decide_retry`] and [`RetryBudget`].
#[derive(Clone, Copy, Debug)]
pub struct RetrySettings {
    /// Attempts per call that may reach a target, including the first.
    pub max_attempts: u32,
    /// Additional attempts for a call that nodes refused before it reached a target.
    pub refused_attempts: u32,
    /// Upper bound of the first backoff, in milliseconds. Doubled for each further attempt.
    pub backoff_base_ms: u64,
    /// Upper bound of any backoff, in milliseconds.
    pub backoff_cap_ms: u64,
    /// Retries as a share of calls, in percent.
    pub budget_percent: u32,
    /// Capacity of the token bucket and its initial content, in retries. It covers the attempts that
    /// reveal that targets have failed.
    pub budget_capacity: u32,
}

/// Fraction of a service's retry limit that its callers' nodes spend on retries of their own. When a
/// call is retried, the calls that its second run makes count as retries too, at the services that
/// they call. These may be as many again, and the nodes cannot observe them, so the fraction is below
/// one half.
const LOCAL_BUDGET_RATIO: f64 = 0.4;

impl RetrySettings {
    /// Budget of one node under a limit that `nodes` nodes share: retries for `limit_ratio` of its own
    /// calls, times `LOCAL_BUDGET_RATIO`, and an equal part of `slack_retries`.
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

/// Input of [`decide_retry`] after an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RetryContext {
    /// Outcome of the attempt.
    pub outcome: CallOutcome,
    /// Attempts made so far.
    pub attempts: u32,
    /// Attempts that reached, or may have reached, a target, whether or not it ran them.
    pub delivered_attempts: u32,
    /// Whether the policy allows the call to run more than once.
    pub idempotent: bool,
    /// Whether the whole request can be sent again.
    pub replayable: bool,
    /// Whether this node owns the retries of the call; see [`owns_retries`].
    pub owns_retries: bool,
    /// Deadline of the call.
    pub deadline: Instant,
}

/// Result of [`decide_retry`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryDecision {
    /// Retry at this time, preferably at another target.
    RetryAt(Instant),
    /// Do not retry; report the outcome to the caller.
    Deny(RetryRefusal),
}

/// Why a call is not retried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryRefusal {
    /// The call was answered.
    Answered,
    /// The call may have run and must not run twice.
    NotIdempotent,
    /// The request was not buffered as a whole and cannot be sent again.
    NotReplayable,
    /// An outer hop owns the retries of the call.
    NotOwner,
    /// The call has made all attempts that it may make.
    AttemptsExhausted,
    /// The deadline passes before the backoff ends.
    PastDeadline,
    /// The retry budget is empty.
    BudgetExhausted,
}

/// Whether the node at `depth` of a call chain makes retries. Only the outermost hop, at depth 0,
/// does; otherwise attempts would multiply with each hop.
pub fn owns_retries(depth: u32) -> bool {
    depth == 0
}

/// Decides whether a call is retried, and withdraws the token for the retry from `budget`.
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
    let at = now.after(draw_backoff(context.attempts, settings, rng));
    if context.deadline.is_past(at) {
        return RetryDecision::Deny(RetryRefusal::PastDeadline);
    }
    // Checked last, so that a call that is denied for another reason takes no token. A call that
    // reached no target has put no load on one, so its retry needs no token.
    if context.delivered_attempts > 0 && !budget.try_withdraw() {
        return RetryDecision::Deny(RetryRefusal::BudgetExhausted);
    }
    RetryDecision::RetryAt(at)
}

/// Exponential backoff with full jitter: uniform between zero and a bound that doubles with each
/// attempt.
fn draw_backoff(attempts: u32, settings: &RetrySettings, rng: &mut dyn RngCore) -> Duration {
    let factor = 1_u64 << attempts.saturating_sub(1).min(16);
    let bound_ms = settings.backoff_base_ms.saturating_mul(factor);
    let limit_us = bound_ms.min(settings.backoff_cap_ms).saturating_mul(1_000);
    Duration::from_micros(rng.random_range(0..=limit_us))
}
