//! The limit of a workspace, and how the overrun that is allowed beyond it is divided.

use std::time::Duration;

/// Part of the overrun by which the bucket and its leases may exceed the burst. Holders have about 0.3
/// seconds of the demand in leases; without this part, a burst would be refused for what others hold.
const LEASE_PART: f64 = 0.5;

/// Part of the rate that nodes may grant altogether while they do not reach the owner, which may still
/// grant the whole rate to others. Over a window of 5 s this is 0.3 times the rate, half of the overrun of a
/// workspace whose burst is one second of its rate.
pub const NONOWNER_SHARE: f64 = 0.06;

/// Limit of a workspace over all nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QuotaLimit {
    /// Calls per second.
    pub rate_per_s: f64,
    /// Calls allowed at once in addition to the rate.
    pub burst: f64,
    /// Time over which the calls are counted.
    pub window: Duration,
}

impl QuotaLimit {
    /// Usual time over which calls are counted.
    pub const WINDOW: Duration = Duration::from_secs(5);

    /// Calls that the rate and the burst allow in a window.
    fn window_calls(&self) -> f64 {
        self.rate_per_s * self.window.as_secs_f64() + self.burst
    }

    /// Maximum number of calls that may run in a window.
    pub fn max_window_calls(&self) -> f64 {
        self.window_calls() * 1.1 + 20.0
    }

    /// Maximum number of tokens that are in the bucket or leased and not known to be used.
    pub(super) fn capacity(&self) -> f64 {
        let overrun = self.max_window_calls() - self.window_calls();
        self.burst + overrun * LEASE_PART
    }
}
