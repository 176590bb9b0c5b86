//! When an actor that owns an admission queue next looks at it.

use std::time::Duration;

use agatedeck_calls::AdmissionQueue;
use agatedeck_clock::Instant;

/// The next look at a queue.
#[derive(Debug, Default)]
pub(crate) struct QueueTimer(Option<Instant>);

impl QueueTimer {
    /// Time after which the actor is to send itself the message to look at `queue`; `None` if such a
    /// message is on its way or nothing waits.
    pub(crate) fn schedule(&mut self, queue: &AdmissionQueue, now: Instant) -> Option<Duration> {
        let deadline = queue.next_deadline(now)?;
        if self.0.is_some_and(|scheduled| scheduled <= deadline) {
            return None;
        }
        self.0 = Some(deadline);
        Some(deadline.since(now))
    }

    /// The message has arrived.
    pub(crate) fn on_fired(&mut self) {
        self.0 = None;
    }
}
