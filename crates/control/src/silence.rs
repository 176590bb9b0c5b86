//! The peers that did not answer a short time ago.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use agatedeck_clock::Instant;

/// Remembers which peers did not answer.
///
/// Between the loss of a host and the decision of the failure detector lie several seconds, in which
/// each message to it would cost the time of a timeout again.
#[derive(Clone, Debug)]
pub struct SilenceLog {
    memory: Duration,
    /// Silent peers, each with the time at which it counts like any other again.
    silent_until: BTreeMap<String, Instant>,
}

impl SilenceLog {
    /// Creates an empty log. A silence is remembered for `memory`.
    pub fn new(memory: Duration) -> Self {
        Self {
            memory,
            silent_until: BTreeMap::new(),
        }
    }

    /// Records that the peer `node` did not answer a request.
    pub fn record_silence(&mut self, node: &str, now: Instant) {
        // Otherwise the names of hosts that are gone for good would accumulate.
        self.forget_expired(now);
        let until = now.after(self.memory);
        self.silent_until.insert(node.to_owned(), until);
    }

    /// Records that the peer `node` has answered.
    pub fn record_answer(&mut self, node: &str) {
        self.silent_until.remove(node);
    }

    /// Whether the peer `node` did not answer lately.
    pub fn is_silent(&self, node: &str, now: Instant) -> bool {
        let until = self.silent_until.get(node);
        until.is_some_and(|until| !until.is_past(now))
    }

    /// Peers that did not answer lately. Forgets the others.
    pub fn silent_peers(&mut self, now: Instant) -> BTreeSet<&str> {
        self.forget_expired(now);
        self.silent_until.keys().map(String::as_str).collect()
    }

    fn forget_expired(&mut self, now: Instant) {
        self.silent_until.retain(|_, until| !until.is_past(now));
    }
}
