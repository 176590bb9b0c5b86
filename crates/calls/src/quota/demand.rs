//! Estimate of the rate at which the calls of a workspace arrive at a node.

use std::time::Duration;

use agatedeck_clock::Instant;

/// Number of calls over which the rate is averaged, within the bounds of the time below.
const AVERAGED_CALLS: f64 = 16.0;

/// Longest time over which the rate is averaged. Shorter times take a pair of calls for a lasting demand.
const MAX_AVERAGING_TIME: Duration = Duration::from_secs(2);

/// Shortest time over which the rate is averaged.
const MIN_AVERAGING_TIME: Duration = Duration::from_millis(250);

/// Mean intervals without a call after which the demand counts as lower. Nodes whose callers had moved to
/// other nodes went on to take half of the tokens, which expired.
const MAX_MISSED_CALLS: f64 = 3.0;

/// Exponentially weighted rate of arrivals.
#[derive(Clone, Copy, Debug)]
pub(super) struct DemandEstimate {
    /// Calls per second as of `updated_at`.
    rate: f64,
    updated_at: Instant,
}

impl DemandEstimate {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            rate: 0.0,
            updated_at: now,
        }
    }

    /// Calls per second, without arrivals after the last one that was recorded.
    pub(super) fn rate(&self, now: Instant) -> f64 {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        let decayed = self.rate * (-elapsed / self.averaging_time()).exp();
        decayed.min(MAX_MISSED_CALLS / elapsed)
    }

    pub(super) fn record_call(&mut self, now: Instant) {
        let rate = self.rate(now);
        self.rate = rate + 1.0 / self.averaging_time();
        self.updated_at = self.updated_at.max(now);
    }

    fn averaging_time(&self) -> f64 {
        let (min, max) = (MIN_AVERAGING_TIME, MAX_AVERAGING_TIME);
        (AVERAGED_CALLS / self.rate).clamp(min.as_secs_f64(), max.as_secs_f64())
    }
}
