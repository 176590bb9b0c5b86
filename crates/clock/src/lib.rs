//! Instants of a monotonic clock, for decision code that reads no clock itself.
//!
//! Callers pass the current time to decision code, so that a test can replay any order of events.
//! State stores deadlines; durations appear only in settings.

use std::time::Duration;

use derive_more::{Display, From, Into};

/// An instant of the monotonic clock of one process, in microseconds since the process started.
///
/// Instants of different processes are not comparable.
#[derive(
    Clone, Copy, Debug, Default, Display, Eq, From, Hash, Into, Ord, PartialEq, PartialOrd,
)]
#[display("{_0} us")]
pub struct Instant(u64);

impl Instant {
    /// Returns the instant `micros` microseconds after the start of the process.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Returns the instant `millis` milliseconds after the start of the process. Saturates at the
    /// maximum instant.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(1_000))
    }

    /// Returns the microseconds since the start of the process.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the instant `duration` later. Saturates at the maximum instant.
    #[must_use]
    pub fn after(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }

    /// Returns the time from `earlier` to this instant, or zero if `earlier` is not earlier.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Whether this instant, as a deadline, has passed at `now`; true if they are equal.
    pub fn is_past(self, now: Self) -> bool {
        self <= now
    }
}
