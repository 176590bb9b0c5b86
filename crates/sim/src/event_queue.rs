//! The queue of future events.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use agatedeck_clock::Instant;

/// Events in order of time; events of one time in the order in which they were added.
#[derive(Debug)]
pub(crate) struct EventQueue<E> {
    events: BTreeMap<Reverse<(Instant, u64)>, E>,
    next_number: u64,
    now: Instant,
}

impl<E> EventQueue<E> {
    pub(crate) fn new() -> Self {
        Self {
            events: BTreeMap::new(),
            next_number: 0,
            now: Instant::default(),
        }
    }

    /// Time of the last event.
    pub(crate) fn now(&self) -> Instant {
        self.now
    }

    /// Adds an event; one in the past happens now.
    pub(crate) fn schedule(&mut self, at: Instant, event: E) {
        let key = Reverse((at.max(self.now), self.next_number));
        self.next_number += 1;
        self.events.insert(key, event);
    }

    /// Removes the next event and moves the time to it.
    pub(crate) fn pop(&mut self) -> Option<E> {
        // The keys are reversed, so the last one is the earliest.
        let (Reverse((at, _)), event) = self.events.pop_last()?;
        self.now = at;
        Some(event)
    }
}
