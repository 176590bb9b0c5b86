//! One pull: which peer is asked when, and when the wait for an answer ends.

use std::collections::VecDeque;

use agatedeck_clock::Instant;
use agatedeck_wire::Member;

use super::machine::PullSettings;
use super::requests::PullRequests;

/// What the owner of a [`PullRound`] does next.
#[derive(Clone, Debug, PartialEq)]
pub enum PullStep {
    /// Ask this peer, then poll again.
    Ask(Member),
    /// Poll again at this time, or when a peer has replied.
    WaitUntil(Instant),
    /// No peer answered with a newer version in time. Requests that are still open go on.
    Unanswered,
}

/// Asks peers until one answers with a newer version: first one, then two more, then three more, each
/// time after [`PullSettings::next_peer_delay`] without a newer version.
///
/// Few are asked while peers answer; many if hosts were lost that still count as alive. The next peer is
/// asked at once if a reply held nothing newer. The last peers have as much time as the others.
#[derive(Debug)]
pub struct PullRound {
    settings: PullSettings,
    peers: VecDeque<Member>,
    unanswered: PullRequests,
    /// Requests that have neither been answered nor failed.
    open_requests: usize,
    /// Number of peers asked together the last time.
    batch_size: usize,
    /// Peers that are to be asked now.
    due_requests: usize,
    next_batch_at: Instant,
}

impl PullRound {
    /// Creates a pull from `peers`, in this order.
    pub fn new(peers: Vec<Member>, settings: PullSettings, now: Instant) -> Self {
        Self {
            unanswered: PullRequests::new(settings.next_peer_delay),
            peers: peers.into(),
            open_requests: 0,
            batch_size: 0,
            due_requests: 0,
            next_batch_at: now,
            settings,
        }
    }

    /// Returns the next step. Must be called until the pull has an answer or ends.
    pub fn poll(&mut self, now: Instant) -> PullStep {
        if self.due_requests == 0 && self.next_batch_at.is_past(now) && !self.peers.is_empty() {
            self.batch_size += 1;
            self.due_requests = self.batch_size;
            self.next_batch_at = now.after(self.settings.next_peer_delay);
        }
        if self.due_requests > 0
            && let Some(peer) = self.peers.pop_front()
        {
            self.due_requests -= 1;
            self.unanswered.record_request(&peer.node, now);
            self.open_requests += 1;
            return PullStep::Ask(peer);
        }
        if self.next_batch_at.is_past(now) {
            return PullStep::Unanswered;
        }
        PullStep::WaitUntil(self.next_batch_at)
    }

    /// Handles a reply of the peer `node` that held nothing newer.
    pub fn on_outdated_reply(&mut self, node: &str, now: Instant) {
        self.unanswered.record_reply(node);
        self.end_request(now);
    }

    /// Handles a request that failed without a reply.
    pub fn on_failed_request(&mut self, now: Instant) {
        self.end_request(now);
    }

    /// Handles a reply of the peer `node` that held a newer version.
    pub fn on_newer_reply(&mut self, node: &str) {
        self.unanswered.record_reply(node);
    }

    /// Peers that were asked, had time to answer and did not.
    pub fn silent_peers(&self, now: Instant) -> impl Iterator<Item = &str> {
        self.unanswered.silent_peers(now)
    }

    fn end_request(&mut self, now: Instant) {
        self.open_requests = self.open_requests.saturating_sub(1);
        if !self.peers.is_empty() {
            self.due_requests += 1;
        } else if self.open_requests == 0 {
            self.next_batch_at = now;
        }
    }
}
