//! The versions that were confirmed, and when.

use std::time::Duration;

use agatedeck_clock::Instant;
use agatedeck_wire::VersionConfirmation;

/// Maximum number of confirmations that are kept. More than one is needed only while newer versions than
/// the one in force are on their way.
const MAX_CONFIRMATIONS: usize = 5;

/// States that at a moment no version newer than `version` existed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConfirmedVersion {
    /// The newest version at that moment.
    pub version: u64,
    /// A moment before the source stated it.
    pub moment: Instant,
}

impl ConfirmedVersion {
    /// The confirmation in the answer to a request sent at `sent_at`; `None` if the answer has none, or one
    /// from before the start of this host, which no instant can state.
    ///
    /// The age is counted back from the moment of sending, which is before the one at which the answer
    /// was made, so that a late answer looks older than it is.
    pub fn from_answer(answer: &VersionConfirmation, sent_at: Instant) -> Option<Self> {
        let age = Duration::from_millis(answer.age_ms?);
        let age_us = u64::try_from(age.as_micros()).ok()?;
        Some(Self {
            version: answer.version,
            moment: Instant::from_micros(sent_at.as_micros().checked_sub(age_us)?),
        })
    }
}

/// The confirmations that a node knows.
///
/// Invariant: versions and moments both ascend. A confirmation of the same or a newer version that is not
/// later states nothing more than another one.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ConfirmationLog {
    confirmations: Vec<ConfirmedVersion>,
}

impl ConfirmationLog {
    /// Records a confirmation. Returns whether it is later than all others.
    pub fn record(&mut self, confirmed: ConfirmedVersion) -> bool {
        let ConfirmedVersion { version, moment } = confirmed;
        let is_latest = self.latest().is_none_or(|latest| latest.moment < moment);
        let is_implied =
            |known: &ConfirmedVersion| known.version <= version && known.moment >= moment;
        if self.confirmations.iter().any(is_implied) {
            return is_latest;
        }
        self.confirmations
            .retain(|known| known.version < version || known.moment > moment);
        let position = self
            .confirmations
            .partition_point(|known| known.version < version);
        self.confirmations.insert(position, confirmed);
        if self.confirmations.len() > MAX_CONFIRMATIONS {
            // The oldest ones are of use first, and the latest one is passed on to other nodes.
            self.confirmations.remove(MAX_CONFIRMATIONS - 1);
        }
        is_latest
    }

    /// Forgets the confirmations that say less than another one to a node which holds `held`. One of them
    /// is kept, for calls that began while the version before was in force.
    pub fn forget_before(&mut self, held: u64) {
        let usable = self
            .confirmations
            .partition_point(|known| known.version <= held);
        self.confirmations.drain(..usable.saturating_sub(2));
    }

    /// The latest confirmation, whatever its version.
    pub fn latest(&self) -> Option<ConfirmedVersion> {
        self.confirmations.last().copied()
    }

    /// The latest moment at which `held` was not out of date; `None` if it is not known.
    pub fn moment_of(&self, held: u64) -> Option<Instant> {
        let mut usable = self.confirmations.iter().rev();
        let usable = usable.find(|known| known.version <= held);
        usable.map(|known| known.moment)
    }

    /// Whether keys of version `held` may be used at `now`, if they may be used for `validity` after the
    /// version was not out of date.
    pub fn permits_keys(&self, held: u64, validity: Duration, now: Instant) -> bool {
        self.moment_of(held)
            .is_some_and(|moment| now.since(moment) <= validity)
    }

    /// The answer to a node that asks at `now`.
    pub fn answer(&self, now: Instant) -> VersionConfirmation {
        let Some(ConfirmedVersion { version, moment }) = self.latest() else {
            return VersionConfirmation::default();
        };
        let age_ms = now.since(moment).as_micros().div_ceil(1_000);
        VersionConfirmation {
            version,
            age_ms: Some(u64::try_from(age_ms).unwrap_or(u64::MAX)),
        }
    }
}
