//! Monotonic clock and Unix time of the process.

use std::time::{SystemTime, UNIX_EPOCH};

use agatedeck_clock::Instant;

/// Converts between the clock of the async runtime and the [`Instant`]s of state machines.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProcessClock {
    start: tokio::time::Instant,
}

impl ProcessClock {
    pub(crate) fn start() -> Self {
        Self {
            start: tokio::time::Instant::now(),
        }
    }

    pub(crate) fn now(self) -> Instant {
        self.instant(tokio::time::Instant::now())
    }

    /// Converts an instant of the async runtime to one of the state machines.
    pub(crate) fn instant(self, at: tokio::time::Instant) -> Instant {
        let micros = at.saturating_duration_since(self.start).as_micros();
        Instant::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Converts a deadline of a state machine to an instant of the async runtime.
    pub(crate) fn runtime_instant(self, deadline: Instant) -> tokio::time::Instant {
        self.start + deadline.since(Instant::default())
    }
}

/// Unix time in milliseconds. Used only for incarnations, ages derived from them, leases and times
/// that operators read.
pub(crate) fn unix_ms() -> u64 {
    unix_us() / 1_000
}

/// Unix time in microseconds, for log lines. Measurements compare it between processes of one
/// host, where a change becomes active within milliseconds.
pub(crate) fn unix_us() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}
