//! Limit on the rate of calls, which a target in need states in its answers.
//!
//! All calls to a target pass through its node, so that a token bucket there holds the limit for all
//! callers' nodes together, and no node has to know the share of another.

use std::sync::LazyLock;
use std::time::Duration;

use agatedeck_chart::TransitionTable;
use agatedeck_clock::Instant;
use derive_more::FromStr;

/// Time over which calls may be saved up: the size of the bucket at a given rate.
const BURST_TIME: Duration = Duration::from_millis(250);

/// Time for which answers must state no limit until it ends.
const LIFT_DELAY: Duration = Duration::from_millis(500);

/// Lowest rate, in calls per second. A target without calls could not state that its limit has ended.
const MIN_RATE: f64 = 0.5;

/// Rate until the first answer of a target, in calls per second.
const PROBATION_RATE: f64 = 20.0;

/// Calls that may start at once before the first answer of a target.
const PROBATION_BURST: f64 = 4.0;

#[derive(Clone, Copy, Debug, Eq, FromStr, Ord, PartialEq, PartialOrd)]
#[from_str(rename_all = "kebab-case")]
enum RateLimitState {
    Unlimited,
    Unknown,
    Limited,
    Lifting,
}

#[derive(Clone, Copy, Debug, Eq, FromStr, Ord, PartialEq, PartialOrd)]
#[from_str(rename_all = "kebab-case")]
enum RateLimitEvent {
    Opened,
    Stated,
    Unstated,
    Unusable,
    LiftDue,
}

#[derive(Clone, Copy, Debug, Eq, FromStr, PartialEq)]
#[from_str(rename_all = "kebab-case")]
enum RateLimitAction {
    StartProbation,
    EmptyBucket,
    StartLiftTimer,
}

/// Parsed from the file embedded in the binary; `tests/rate_limit.rs` checks that it loads.
static RATE_LIMIT_CHART: LazyLock<
    TransitionTable<RateLimitState, RateLimitEvent, RateLimitAction>,
> = LazyLock::new(|| {
    TransitionTable::parse(include_str!("../../charts/rate_limit.toml"))
        .expect("charts/rate_limit.toml is a valid chart")
});

/// Token bucket with the rate that the target states.
///
/// Invariant: in any period, at most the rate times the period plus the size of the bucket are taken
/// while the limit is in force.
#[derive(Debug)]
pub(super) struct RateLimit {
    state: RateLimitState,
    /// Calls per second.
    rate: f64,
    /// Size of the bucket.
    burst: f64,
    /// Calls that could start at `refilled_at`.
    available: f64,
    refilled_at: Instant,
    lifts_at: Instant,
}

impl RateLimit {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            state: RATE_LIMIT_CHART.initial(),
            rate: 0.0,
            burst: 0.0,
            available: 0.0,
            refilled_at: now,
            lifts_at: now,
        }
    }

    /// Starts to wait for the first answer of a target that has just been opened.
    pub(super) fn open(&mut self, now: Instant) {
        self.advance(RateLimitEvent::Opened, now);
    }

    /// Records what an answer states: the calls per second that the target accepts, or no limit.
    pub(super) fn record(&mut self, stated: Option<f64>, now: Instant) {
        self.refresh(now);
        let Some(rate) = stated else {
            self.advance(RateLimitEvent::Unstated, now);
            return;
        };
        self.rate = rate.max(MIN_RATE);
        self.burst = (self.rate * BURST_TIME.as_secs_f64()).max(1.0);
        self.available = self.available.min(self.burst);
        self.advance(RateLimitEvent::Stated, now);
    }

    /// Records an exchange that ended without an answer of the target that can be used.
    pub(super) fn record_unusable(&mut self, now: Instant) {
        self.advance(RateLimitEvent::Unusable, now);
    }

    /// Whether calls are limited; the answers of the target must be recorded then.
    pub(super) fn is_active(&self) -> bool {
        self.state != RateLimitState::Unlimited
    }

    /// The rate that the target states, in calls per second.
    pub(super) fn stated_rate(&self) -> Option<f64> {
        let is_stated = matches!(
            self.state,
            RateLimitState::Limited | RateLimitState::Lifting
        );
        is_stated.then_some(self.rate)
    }

    /// Adds the calls that have become available, and ends a limit that is no longer stated.
    pub(super) fn refresh(&mut self, now: Instant) {
        if self.state == RateLimitState::Lifting && self.lifts_at.is_past(now) {
            self.advance(RateLimitEvent::LiftDue, now);
        }
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        self.available = (self.available + elapsed * self.rate).min(self.burst);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Whether a call may start, as of the last [`Self::refresh`].
    pub(super) fn allows_call(&self) -> bool {
        !self.is_active() || self.available >= 1.0
    }

    /// Counts a call that starts.
    pub(super) fn take(&mut self) {
        if self.is_active() {
            self.available -= 1.0;
        }
    }

    /// Time until the call at `position` may start, 1 for the next one, as of the last
    /// [`Self::refresh`].
    pub(super) fn wait_for(&self, position: u32) -> Duration {
        let missing = f64::from(position) - self.available;
        if !self.is_active() || missing <= 0.0 {
            return Duration::ZERO;
        }
        // Rounded up, so that the call is available once the time has passed.
        Duration::from_secs_f64(missing / self.rate) + Duration::from_micros(1)
    }

    /// Calls that were taken from the bucket, and `queued` ones that wait, divided by its size; 0
    /// without a limit.
    pub(super) fn load(&self, queued: u32) -> f64 {
        if self.stated_rate().is_none() {
            return 0.0;
        }
        (self.burst - self.available + f64::from(queued)) / self.burst
    }

    fn advance(&mut self, event: RateLimitEvent, now: Instant) {
        for action in RATE_LIMIT_CHART.advance(&mut self.state, event) {
            match action {
                RateLimitAction::StartProbation => {
                    (self.rate, self.burst) = (PROBATION_RATE, PROBATION_BURST);
                    (self.available, self.refilled_at) = (PROBATION_BURST, now);
                }
                RateLimitAction::EmptyBucket => {
                    (self.available, self.refilled_at) = (0.0, now);
                }
                RateLimitAction::StartLiftTimer => self.lifts_at = now.after(LIFT_DELAY),
            }
        }
    }
}
