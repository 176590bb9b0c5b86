//! The timer for the deadlines of an admission queue.

use std::time::Duration;

use agatedeck_calls::AdmissionQueue;
use agatedeck_clock::Instant;

/// Time of the next scheduled tick of an admission queue, if any.
#[derive(Debug, Default)]
pub(crate) struct QueueTimer(Option<Instant>);

impl QueueTimer {
    /// Returns the delay after which the actor must send itself the message that ticks `queue`;
    /// `None` if the queue is empty or such a message is already scheduled early enough.
    pub(crate) fn schedule(&mut self, queue: &AdmissionQueue, now: Instant) -> Option<Duration> {
        let deadline = queue.next_deadline(now)?;
        if self.0.is_some_and(|scheduled| scheduled <= deadline) {
            return None;
        }
        self.0 = Some(deadline);
        Some(deadline.since(now))
    }

    /// Records that the scheduled message has arrived.
    pub(crate) fn on_fired(&mut self) {
        self.0 = None;
    }
}
