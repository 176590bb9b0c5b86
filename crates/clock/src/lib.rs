//! Points in time as decisions see them.
//!
//! Decisions read no clock: their caller passes the time in, so that a test can replay any order
//! of events. State holds deadlines; durations appear only in settings.

use std::time::Duration;

use derive_more::{Display, From, Into};

/// A point on the monotonic clock of one process, in microseconds since its start.
///
/// Instants of different processes cannot be compared.
#[derive(
    Clone, Copy, Debug, Default, Display, Eq, From, Hash, Into, Ord, PartialEq, PartialOrd,
)]
#[display("{_0} us")]
pub struct Instant(u64);

impl Instant {
    /// The instant `micros` microseconds after the start of the process.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// The instant `millis` milliseconds after the start of the process.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(1_000))
    }

    /// Microseconds since the start of the process.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// The instant `duration` later.
    #[must_use]
    pub fn after(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }

    /// Time from `earlier` to this instant; zero if `earlier` is not earlier.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Whether the deadline `self` has passed at `now`.
    pub fn is_past(self, now: Self) -> bool {
        self <= now
    }
}
