//! The messages that a node has relayed a short time ago.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use super::policy::DisseminationRequest;

/// Settings of the relaying of messages by one node.
#[derive(Clone, Copy, Debug)]
pub struct RelaySettings {
    /// Timeout of one hop of a version or heartbeat, after which its fallbacks are tried. Several times
    /// the round trip between regions.
    pub hop_timeout: Duration,
    /// Timeout of one hop of a rumor, and the time for which a receiver must have answered nothing before
    /// rumors go past it. Longer than a host that is alive and late takes to answer: the fallbacks of many
    /// rumors would make it later.
    pub rumor_hop_timeout: Duration,
    /// Time for which the fallbacks of a receiver that did not answer are sent at once. Longer than the
    /// failure detector takes to declare it dead.
    pub silence_memory: Duration,
    /// Maximum number of recent requests kept for duplicate detection.
    pub max_seen_requests: usize,
}

impl Default for RelaySettings {
    fn default() -> Self {
        Self {
            hop_timeout: Duration::from_millis(200),
            rumor_hop_timeout: Duration::from_secs(2),
            silence_memory: Duration::from_secs(8),
            max_seen_requests: 1024,
        }
    }
}

impl RelaySettings {
    /// Timeout of one hop of such a payload.
    pub fn timeout_of(&self, payload: RelayedPayload) -> Duration {
        match payload {
            RelayedPayload::Version | RelayedPayload::Heartbeat => self.hop_timeout,
            RelayedPayload::Rumor => self.rumor_hop_timeout,
        }
    }

    /// Time for which a receiver must have answered nothing before such a payload goes past it.
    pub fn min_silence_of(&self, payload: RelayedPayload) -> Duration {
        match payload {
            RelayedPayload::Version | RelayedPayload::Heartbeat => Duration::ZERO,
            RelayedPayload::Rumor => self.rumor_hop_timeout,
        }
    }
}

/// What is relayed. Payloads of different kinds may have equal salts.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum RelayedPayload {
    /// A version, whose number is the salt.
    Version,
    /// A heartbeat of a reader, whose salt is random.
    Heartbeat,
    /// Member updates or crash reports, whose salt is random.
    Rumor,
}

/// Remembers recently relayed requests, so that each is relayed once.
#[derive(Debug)]
pub struct RelayLog {
    max_requests: usize,
    seen: BTreeSet<(RelayedPayload, DisseminationRequest)>,
    /// The elements of `seen`, oldest first.
    queue: VecDeque<(RelayedPayload, DisseminationRequest)>,
}

impl RelayLog {
    /// Creates an empty log.
    pub fn new(settings: &RelaySettings) -> Self {
        Self {
            max_requests: settings.max_seen_requests,
            seen: BTreeSet::new(),
            queue: VecDeque::new(),
        }
    }

    /// Records a request; returns whether to relay it, which is once.
    #[must_use]
    pub fn record(&mut self, payload: RelayedPayload, request: DisseminationRequest) -> bool {
        let key = (payload, request);
        if !self.seen.insert(key) {
            return false;
        }
        self.queue.push_back(key);
        if self.queue.len() > self.max_requests
            && let Some(oldest) = self.queue.pop_front()
        {
            self.seen.remove(&oldest);
        }
        true
    }
}
