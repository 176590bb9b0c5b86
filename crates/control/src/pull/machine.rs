//! The state machine of one node's pulls.

use std::collections::BTreeSet;
use std::time::Duration;

use agatedeck_clock::Instant;

use super::chart::{PULL_CHART, PullAction, PullEvent, PullState};
use crate::silence::SilenceLog;

/// Settings of a [`PullMachine`].
#[derive(Clone, Copy, Debug)]
pub struct PullSettings {
    /// Time for which a peer that did not answer is asked only after all others.
    pub silence_memory: Duration,
    /// Delay before a version that a peer holds is pulled, so that it can arrive over the dissemination
    /// tree. Without the delay, nodes probed during dissemination would receive most changes twice.
    pub tree_grace_period: Duration,
    /// Time without an answer after which more peers are asked. Several times the round trip between
    /// regions.
    pub next_peer_delay: Duration,
}

impl Default for PullSettings {
    fn default() -> Self {
        Self {
            // Longer than the failure detector takes to declare a silent peer dead.
            silence_memory: Duration::from_secs(5),
            tree_grace_period: Duration::from_millis(300),
            next_peer_delay: Duration::from_millis(200),
        }
    }
}

/// Decides when a pull starts, and remembers which peers did not answer earlier ones.
///
/// Invariant: while a version that was reported is missing, either a pull is in progress, or the
/// last one found no peer that answers and the next report starts another one.
#[derive(Debug)]
pub struct PullMachine {
    state: PullState,
    /// Newest version that another node was reported to hold.
    reported_version: u64,
    /// Latest version that this node held when the last pull started.
    pulled_after: u64,
    silences: SilenceLog,
}

impl PullMachine {
    /// Creates the machine of a node that knows of no version.
    pub fn new(settings: PullSettings) -> Self {
        Self {
            state: PULL_CHART.initial(),
            reported_version: 0,
            pulled_after: 0,
            silences: SilenceLog::new(settings.silence_memory),
        }
    }

    /// Current state.
    pub fn state(&self) -> PullState {
        self.state
    }

    /// Handles a report that another node holds `version`, while this node holds `latest`. Returns
    /// whether to start a pull.
    #[must_use]
    pub fn on_report(&mut self, version: u64, latest: u64) -> bool {
        if version <= latest {
            return false;
        }
        self.reported_version = self.reported_version.max(version);
        self.advance(PullEvent::NewerReported, latest)
    }

    /// Handles the first answer to a pull, after which this node holds `latest`. Returns whether to
    /// start another pull. An answer whose versions this node refuses counts as none; otherwise it would
    /// be requested again without pause.
    #[must_use]
    pub fn on_answer(&mut self, latest: u64) -> bool {
        let has_progressed = latest > self.pulled_after;
        self.end_pull(
            latest,
            if has_progressed {
                PullEvent::Progressed
            } else {
                PullEvent::Unanswered
            },
        )
    }

    /// Handles a pull that none of its peers has answered with a newer version in time. Returns
    /// whether to start another pull.
    #[must_use]
    pub fn on_no_answer(&mut self, latest: u64) -> bool {
        self.end_pull(latest, PullEvent::Unanswered)
    }

    /// Records that the peer `node` did not answer a request.
    pub fn record_silence(&mut self, node: &str, now: Instant) {
        self.silences.record_silence(node, now);
    }

    /// Peers that are asked after all others.
    pub fn silent_peers(&mut self, now: Instant) -> BTreeSet<&str> {
        self.silences.silent_peers(now)
    }

    /// Ends a pull with `event_if_behind`, unless this node holds all that was reported.
    fn end_pull(&mut self, latest: u64, event_if_behind: PullEvent) -> bool {
        let is_behind = latest < self.reported_version;
        let event = if is_behind {
            event_if_behind
        } else {
            PullEvent::CaughtUp
        };
        self.advance(event, latest)
    }

    /// Applies an event; returns whether to start a pull.
    fn advance(&mut self, event: PullEvent, latest: u64) -> bool {
        let actions = PULL_CHART.advance(&mut self.state, event);
        let starts_pull = actions.contains(&PullAction::Pull);
        if starts_pull {
            self.pulled_after = latest;
        }
        starts_pull
    }
}
