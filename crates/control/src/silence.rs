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
    silences: BTreeMap<String, PeerSilence>,
}

/// Silence of one peer.
#[derive(Clone, Copy, Debug)]
struct PeerSilence {
    /// When the first request since its last answer had no answer.
    since: Instant,
    /// When the peer counts like any other again.
    until: Instant,
}

impl SilenceLog {
    /// Creates an empty log. A silence is remembered for `memory`.
    pub fn new(memory: Duration) -> Self {
        Self {
            memory,
            silences: BTreeMap::new(),
        }
    }

    /// Records that the peer `node` did not answer a request.
    pub fn record_silence(&mut self, node: &str, now: Instant) {
        // Otherwise the names of hosts that are gone for good would accumulate.
        self.forget_expired(now);
        let until = now.after(self.memory);
        let silence = self.silences.entry(node.to_owned());
        silence.or_insert(PeerSilence { since: now, until }).until = until;
    }

    /// Records that the peer `node` has answered.
    pub fn record_answer(&mut self, node: &str) {
        self.silences.remove(node);
    }

    /// Whether the peer `node` did not answer lately.
    pub fn is_silent(&self, node: &str, now: Instant) -> bool {
        self.is_silent_for(node, Duration::ZERO, now)
    }

    /// Whether the peer `node` did not answer lately, and has answered nothing for `min_silence`.
    pub fn is_silent_for(&self, node: &str, min_silence: Duration, now: Instant) -> bool {
        let silence = self.silences.get(node);
        silence.is_some_and(|silence| {
            !silence.until.is_past(now) && silence.since.after(min_silence).is_past(now)
        })
    }

    /// Peers that did not answer lately. Forgets the others.
    pub fn silent_peers(&mut self, now: Instant) -> BTreeSet<&str> {
        self.forget_expired(now);
        self.silences.keys().map(String::as_str).collect()
    }

    fn forget_expired(&mut self, now: Instant) {
        self.silences
            .retain(|_, silence| !silence.until.is_past(now));
    }
}
