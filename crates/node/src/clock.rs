//! Monotonic clocks of the process and the host, and Unix time.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use agatedeck_clock::Instant;
use nix::time::{ClockId, clock_gettime};

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

/// Clock of the host, which also counts while the host is suspended, unlike that of the async runtime.
///
/// Its instants count from the start of the host and are not comparable with those of [`ProcessClock`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct BootClock;

impl BootClock {
    pub(crate) fn now() -> Instant {
        let time = clock_gettime(ClockId::CLOCK_BOOTTIME);
        let since_boot = Duration::from(time.expect("every Linux since 2.6.39 has this clock"));
        Instant::from_micros(u64::try_from(since_boot.as_micros()).unwrap_or(u64::MAX))
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
