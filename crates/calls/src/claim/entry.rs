//! One claim attempt and the events that follow from the row that it finds.

use agatedeck_clock::Instant;

use super::chart::{ClaimEvent, ClaimState};
use super::row::{ClaimPhase, ClaimRecord};
use super::types::{ClaimRefusal, ClaimTime, ClaimVerdict, StoredClaim};

/// One claim attempt, from its first write to its last background retry.
#[derive(Debug)]
pub(super) struct ClaimEntry {
    pub(super) state: ClaimState,
    pub(super) key: String,
    pub(super) record: ClaimRecord,
    /// Revision that the next write is conditional on.
    pub(super) revision: u64,
    /// A claim write of this attempt is unconfirmed and may have taken effect or still do so.
    pub(super) in_doubt: bool,
    /// Number of the store operation whose outcome is awaited. Outcomes of other operations are
    /// ignored: a late answer to a claim write must not be mistaken for the answer to a release.
    pub(super) pending_op: Option<u64>,
    pub(super) read_count: u32,
    pub(super) retry_count: u32,
    pub(super) refusal: ClaimRefusal,
    /// Verdict derived from the row of another attempt, until it is reported.
    pub(super) found_verdict: Option<ClaimVerdict>,
    /// Deadline of the call.
    pub(super) call_deadline: Instant,
    /// When the attempt is refused if its call has not been started: the time limit for the
    /// confirmation and, once the claim is granted, the deadline of the call.
    pub(super) start_deadline: Option<Instant>,
    /// When a background write or read is retried.
    pub(super) retry_at: Option<Instant>,
}

impl ClaimEntry {
    pub(super) fn next_deadline(&self) -> Option<Instant> {
        let start_deadline = self
            .start_deadline
            .filter(|_| self.state != ClaimState::Running);
        self.retry_at.or(start_deadline)
    }

    /// Returns the event to raise when the `start_deadline` has passed.
    pub(super) fn on_start_deadline(&mut self) -> ClaimEvent {
        match self.state {
            // The claim write is outstanding and may still take effect.
            ClaimState::Writing => self.in_doubt = true,
            ClaimState::Held => self.refusal = ClaimRefusal::DeadlinePassed,
            _ => {}
        }
        self.failure_event(ClaimEvent::Expired)
    }

    /// Replaces `event` by [`ClaimEvent::Failed`] if no write of this attempt can be in the row.
    pub(super) fn failure_event(&self, event: ClaimEvent) -> ClaimEvent {
        if self.state == ClaimState::Reading && !self.in_doubt {
            ClaimEvent::Failed
        } else {
            event
        }
    }

    /// Returns the event to raise for a row that is absent (revision 0) or was released at this
    /// revision.
    pub(super) fn on_row_free(&mut self, revision: u64) -> ClaimEvent {
        if self.state == ClaimState::Reading {
            self.revision = revision;
        } else if self.revision != revision {
            // The claim write is conditional on another revision and can no longer take effect.
            return ClaimEvent::FoundTaken;
        }
        ClaimEvent::FoundFree
    }

    /// Returns the event to raise for a row that exists, and sets the verdict if another attempt holds
    /// the claim.
    pub(super) fn on_row_found(&mut self, row: StoredClaim<'_>, time: ClaimTime) -> ClaimEvent {
        let Some(record) = row.record else {
            self.found_verdict = Some(ClaimVerdict::Unknown);
            return ClaimEvent::FoundTaken;
        };
        // The digest of a released row does not matter: its call never ran.
        if record.phase == ClaimPhase::Released {
            return self.on_row_free(row.revision);
        }
        if record.token == self.record.token && record.node == self.record.node {
            self.revision = row.revision;
            return ClaimEvent::FoundOwn;
        }
        self.found_verdict = Some(match &record.phase {
            _ if record.digest != self.record.digest => {
                ClaimVerdict::Refused(ClaimRefusal::KeyReused)
            }
            ClaimPhase::Done(answer) => ClaimVerdict::Stored(answer.clone()),
            _ if record.lease_unix_ms <= time.unix_ms => ClaimVerdict::Unknown,
            _ => ClaimVerdict::InProgress,
        });
        ClaimEvent::FoundTaken
    }
}
