//! When a leading reader reads all orders.

use std::time::Duration;

use agatedeck_clock::Instant;

/// Shortest time between two reads of all orders.
const ORDER_READ_PAUSE: Duration = Duration::from_secs(1);

/// Reads of all orders, which a leading reader needs once.
#[derive(Debug, Default)]
pub(super) struct OrderReads {
    /// Whether the orders must be read, since changes of them may have been missed.
    pub(super) is_needed: bool,
    is_in_progress: bool,
    retry_at: Instant,
}

impl OrderReads {
    /// Records that a read starts.
    pub(super) fn start(&mut self, now: Instant) {
        *self = Self {
            is_needed: false,
            is_in_progress: true,
            retry_at: now.after(ORDER_READ_PAUSE),
        };
    }

    /// Records that the read has ended.
    pub(super) fn end(&mut self) {
        self.is_in_progress = false;
    }

    /// Whether a read is due.
    pub(super) fn may_start(&self, now: Instant) -> bool {
        self.is_needed && !self.is_in_progress && self.retry_at.is_past(now)
    }

    /// Whether orders may be missing.
    pub(super) fn is_open(&self) -> bool {
        self.is_needed || self.is_in_progress
    }
}
