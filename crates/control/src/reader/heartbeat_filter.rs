//! Which heartbeats a node passes on.

use agatedeck_clock::Instant;

use super::machine::{READER_RANK_SALT, ReaderSettings};
use crate::rendezvous::rendezvous_score;

/// Holds back the heartbeats of readers that will give way.
///
/// After an outage of the source, many nodes lead for a moment, and each sends a heartbeat to the whole
/// fleet. A leading reader gives way to one of a higher rank, so the heartbeats of the others need not
/// arrive.
#[derive(Debug)]
pub struct HeartbeatFilter {
    settings: ReaderSettings,
    /// Rank of the last reader that was passed on, and until when those of a lower rank are not.
    preferred: Option<(u64, Instant)>,
}

impl HeartbeatFilter {
    /// Creates a filter that has seen no heartbeat.
    pub fn new(settings: ReaderSettings) -> Self {
        Self {
            settings,
            preferred: None,
        }
    }

    /// Whether to pass on a heartbeat of the leading reader `node`.
    #[must_use]
    pub fn admits(&mut self, node: &str, now: Instant) -> bool {
        let score = rendezvous_score(READER_RANK_SALT, node);
        if let Some((preferred, until)) = self.preferred
            && score < preferred
            && !until.is_past(now)
        {
            return false;
        }
        self.preferred = Some((score, now.after(self.settings.heartbeat_preference)));
        true
    }
}
