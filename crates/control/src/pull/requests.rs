//! The requests of one pull that are not answered yet.

use std::collections::BTreeMap;
use std::time::Duration;

use agatedeck_clock::Instant;

/// Peers that one pull has asked and that have not replied.
#[derive(Debug)]
pub struct PullRequests {
    answer_time: Duration,
    asked_at: BTreeMap<String, Instant>,
}

impl PullRequests {
    /// Creates an empty set of requests, each of which a peer that answers does so within `answer_time`.
    pub fn new(answer_time: Duration) -> Self {
        Self {
            answer_time,
            asked_at: BTreeMap::new(),
        }
    }

    /// Records that the peer `node` was asked.
    pub fn record_request(&mut self, node: &str, now: Instant) {
        self.asked_at.insert(node.to_owned(), now);
    }

    /// Records that the peer `node` has replied.
    pub fn record_reply(&mut self, node: &str) {
        self.asked_at.remove(node);
    }

    /// Peers that have had time to reply and did not. A peer that was asked just before another one
    /// answered is not among them.
    pub fn silent_peers(&self, now: Instant) -> impl Iterator<Item = &str> {
        let had_time = move |asked_at: &Instant| asked_at.after(self.answer_time).is_past(now);
        self.asked_at
            .iter()
            .filter(move |(_, asked_at)| had_time(asked_at))
            .map(|(node, _)| node.as_str())
    }
}
