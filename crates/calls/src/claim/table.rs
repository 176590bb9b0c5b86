//! State machines of the claim attempts of one node.

use std::time::Duration;

use agatedeck_chart::ChartError;
use agatedeck_clock::Instant;
use derive_more::Display;
use rand::{Rng as _, RngCore};
use slotmap::{SlotMap, new_key_type};

use super::batch::{ClaimWrite, WriteOutcome};
use super::chart::{ClaimAction, ClaimChart, ClaimEvent, ClaimState, load_chart};
use super::row::{ClaimAnswer, ClaimPhase, ClaimRecord};

/// Longest accepted idempotency key; bounds the space that a key takes in the store.
const MAX_KEY_BYTES: usize = 255;

new_key_type! {
    /// Identifies a claim attempt in a [`ClaimTable`].
    pub struct ClaimId;
}

/// Limits of [`ClaimTable`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimSettings {
    /// Time within which a claim is granted or refused, in milliseconds, unless the deadline of the
    /// call is earlier.
    pub confirm_timeout_ms: u64,
    /// Time from the deadline of the call to the end of its lease, in milliseconds. Covers the
    /// assumed clock skew between hosts (1 s) and the first retries of storing the answer.
    pub lease_margin_ms: u64,
    /// Timeout of a background write or read, in milliseconds.
    pub background_timeout_ms: u64,
    /// Maximum number of reads of a row before a contended claim is refused.
    pub max_reads: u32,
    /// Maximum number of retries of background writes and reads.
    pub max_retries: u32,
    /// Upper bound of the backoff before the first retry, in milliseconds. Doubled for each further
    /// retry.
    pub backoff_ms: u64,
    /// Largest answer body that is stored, in bytes. Of an answer with a larger body, the status, the
    /// content type and the fact that the body was omitted are stored.
    pub max_body_bytes: usize,
    /// Maximum total size of answer bodies waiting to be stored, in bytes. Further bodies are not
    /// stored.
    pub max_pending_bytes: usize,
    /// Maximum number of claim attempts in the table, including those that only have background work
    /// left.
    pub max_claims: usize,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            confirm_timeout_ms: 1_000,
            lease_margin_ms: 10_000,
            background_timeout_ms: 2_000,
            max_reads: 4,
            max_retries: 6,
            backoff_ms: 200,
            max_body_bytes: 64 * 1024,
            max_pending_bytes: 16 * 1024 * 1024,
            max_claims: 4_096,
        }
    }
}

/// Current time on both clocks.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ClaimTime {
    /// Monotonic clock of the process.
    pub now: Instant,
    /// Wall clock of the host, in milliseconds since the Unix epoch. Used for leases only.
    pub unix_ms: u64,
}

/// A call that must run at most once.
#[derive(Clone, Copy, Debug)]
pub struct ClaimRequest<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Idempotency key chosen by the caller.
    pub key: &'a str,
    /// Digest of the request body.
    pub digest: &'a [u8],
    /// Deadline of the call.
    pub deadline: Instant,
}

/// Why a claim was refused, so that its call was not run.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum ClaimRefusal {
    /// The store did not confirm the claim in time.
    #[display("the store did not confirm the claim in time")]
    StoreUnavailable,
    /// The key was used before with a different request body.
    #[display("the idempotency key was used with another request body")]
    KeyReused,
    /// The deadline of the call or its lease passed before dispatch.
    #[display("the deadline passed before dispatch")]
    DeadlinePassed,
    /// The row was changed repeatedly by other claims on the same key.
    #[display("other claims on the same key are being made")]
    Contended,
    /// The table holds [`ClaimSettings::max_claims`] claim attempts.
    #[display("too many claims are in progress on this node")]
    TooManyClaims,
    /// The key is empty, too long or has control characters, or the service name is empty or has a
    /// slash.
    #[display("the idempotency key or the service name is not valid")]
    InvalidKey,
}

/// Result of a claim attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimVerdict {
    /// The attempt holds the claim. [`ClaimTable::start_call`] must be called before the call is
    /// dispatched, and [`ClaimTable::finish_call`] when it has ended.
    Granted,
    /// The call ran earlier and this is its stored answer.
    Stored(ClaimAnswer),
    /// Another attempt holds the claim and may be running. Reported as outcome `unknown`.
    InProgress,
    /// Another attempt holds the claim and its lease expired without an answer. Reported as outcome
    /// `unknown`.
    Unknown,
    /// This attempt was not dispatched and will not be. Reported as outcome `not-run`.
    Refused(ClaimRefusal),
}

/// Identifies one store operation of a claim attempt.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ClaimOp {
    id: ClaimId,
    number: u64,
}

/// Output of [`ClaimTable`]: an action to carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimEffect {
    /// Write a row and pass the outcome to [`ClaimTable::record_write`].
    Write {
        /// Identifies the operation.
        op: ClaimOp,
        /// The write.
        write: ClaimWrite,
    },
    /// Read a row and pass the outcome to [`ClaimTable::record_read`].
    Read {
        /// Identifies the operation.
        op: ClaimOp,
        /// Key of the row.
        key: String,
        /// Time by which the store must have answered.
        deadline: Instant,
    },
    /// Report the verdict to the caller that began the claim. Returned once per attempt, except that
    /// a granted call that is not started by its deadline is refused afterwards.
    ReportVerdict {
        /// The claim attempt.
        id: ClaimId,
        /// The verdict.
        verdict: ClaimVerdict,
    },
}

/// A row as read from the store.
#[derive(Clone, Copy, Debug)]
pub struct StoredClaim<'a> {
    /// Revision of the row.
    pub revision: u64,
    /// The record; `None` if the value cannot be decoded.
    pub record: Option<&'a ClaimRecord>,
}

/// Outcome of a read of a row.
#[derive(Clone, Copy, Debug)]
pub enum ReadOutcome<'a> {
    /// The row exists.
    Found(StoredClaim<'a>),
    /// The row does not exist.
    Absent,
    /// The store did not answer in time.
    Failed,
}

/// Answer of the target, to be stored.
#[derive(Clone, Copy, Debug)]
pub struct AnswerView<'a> {
    /// HTTP status.
    pub status: u16,
    /// Content type; empty if there is none.
    pub content_type: &'a str,
    /// Body; `None` if it was streamed without buffering because of its size.
    pub body: Option<&'a [u8]>,
}

/// How a granted call ended.
#[derive(Clone, Copy, Debug)]
pub enum CallEnd<'a> {
    /// The caller received this answer.
    Answered(AnswerView<'a>),
    /// No attempt can have run at a target.
    NotRun,
    /// An attempt may have run, and no complete answer was received.
    Unknown,
}

/// The claim attempts of one node, from the first write to the last background retry.
///
/// Invariants of each attempt:
///
/// - Its call is started only after the store has confirmed a row with the attempt's token.
/// - It marks a row as released only if its call did not run and will not, and only if the row is its
///   own or has the revision that its outstanding claim write is conditional on.
/// - It overwrites a row in progress or done only if the row holds its token.
///
/// A call therefore runs at most once regardless of clock skew: leases only determine the choice
/// between [`ClaimVerdict::InProgress`] and [`ClaimVerdict::Unknown`].
#[derive(Debug)]
pub struct ClaimTable {
    node: String,
    settings: ClaimSettings,
    chart: ClaimChart,
    entries: SlotMap<ClaimId, ClaimEntry>,
    last_op_number: u64,
    pending_bytes: usize,
}

#[derive(Debug)]
struct ClaimEntry {
    state: ClaimState,
    key: String,
    record: ClaimRecord,
    /// Revision that the next write is conditional on.
    revision: u64,
    /// A claim write of this attempt is unconfirmed and may have taken effect or still do so.
    in_doubt: bool,
    /// Number of the store operation whose outcome is awaited. Outcomes of other operations are
    /// ignored: a late answer to a claim write must not be mistaken for the answer to a release.
    pending_op: Option<u64>,
    read_count: u32,
    retry_count: u32,
    refusal: ClaimRefusal,
    /// Verdict derived from the row of another attempt, until it is reported.
    found_verdict: Option<ClaimVerdict>,
    /// Deadline of the call.
    call_deadline: Instant,
    /// When the attempt is refused if its call has not been started: the time limit for the
    /// confirmation and, once the claim is granted, the deadline of the call.
    start_deadline: Option<Instant>,
    /// When a background write or read is retried.
    retry_at: Option<Instant>,
}

/// Inputs and output of one step that are not part of the table.
struct StepContext<'a> {
    time: ClaimTime,
    rng: &'a mut dyn RngCore,
    effects: Vec<ClaimEffect>,
}

impl<'a> StepContext<'a> {
    fn new(time: ClaimTime, rng: &'a mut dyn RngCore) -> Self {
        let effects = Vec::new();
        Self { time, rng, effects }
    }
}

/// Key of the row of a claim; `None` if the service name or the idempotency key is invalid.
fn row_key(service: &str, key: &str) -> Option<String> {
    let service_valid = !service.is_empty() && !service.contains('/');
    let key_valid =
        !key.is_empty() && key.len() <= MAX_KEY_BYTES && !key.chars().any(char::is_control);
    (service_valid && key_valid).then(|| format!("claim/{service}/{key}"))
}

impl ClaimTable {
    /// Creates an empty table for the claims of `node`.
    ///
    /// # Errors
    ///
    /// Fails if the embedded chart is invalid, which the tests rule out.
    pub fn new(node: &str, settings: ClaimSettings) -> Result<Self, ChartError> {
        Ok(Self {
            node: node.to_owned(),
            settings,
            chart: load_chart()?,
            entries: SlotMap::with_key(),
            last_op_number: 0,
            pending_bytes: 0,
        })
    }

    /// Begins an attempt to claim a call. The verdict is reported by [`ClaimEffect::ReportVerdict`].
    ///
    /// # Errors
    ///
    /// Fails for an invalid key or service name, for a deadline that has passed, and if the table
    /// holds [`ClaimSettings::max_claims`] attempts.
    pub fn begin_claim(
        &mut self,
        request: &ClaimRequest<'_>,
        time: ClaimTime,
        rng: &mut dyn RngCore,
    ) -> Result<(ClaimId, Vec<ClaimEffect>), ClaimRefusal> {
        let key = row_key(request.service, request.key).ok_or(ClaimRefusal::InvalidKey)?;
        if request.deadline.is_past(time.now) {
            return Err(ClaimRefusal::DeadlinePassed);
        }
        if self.entries.len() >= self.settings.max_claims {
            return Err(ClaimRefusal::TooManyClaims);
        }
        let remaining_ms = request.deadline.since(time.now).as_millis();
        let remaining_ms = u64::try_from(remaining_ms).unwrap_or(u64::MAX);
        let confirm_deadline = time
            .now
            .after(Duration::from_millis(self.settings.confirm_timeout_ms));
        let record = ClaimRecord {
            token: format!("{:032x}", rng.random::<u128>()),
            node: self.node.clone(),
            digest: request.digest.to_owned(),
            lease_unix_ms: time
                .unix_ms
                .saturating_add(remaining_ms)
                .saturating_add(self.settings.lease_margin_ms),
            phase: ClaimPhase::InProgress,
        };
        let id = self.entries.insert(ClaimEntry {
            state: self.chart.initial(),
            key,
            record,
            revision: 0,
            in_doubt: false,
            pending_op: None,
            read_count: 0,
            retry_count: 0,
            refusal: ClaimRefusal::StoreUnavailable,
            found_verdict: None,
            call_deadline: request.deadline,
            start_deadline: Some(confirm_deadline.min(request.deadline)),
            retry_at: None,
        });
        let mut context = StepContext::new(time, rng);
        self.apply_action(id, ClaimAction::WriteClaim, &mut context);
        Ok((id, context.effects))
    }

    /// Processes the outcome of [`ClaimEffect::Write`].
    pub fn record_write(
        &mut self,
        op: ClaimOp,
        outcome: WriteOutcome,
        time: ClaimTime,
        rng: &mut dyn RngCore,
    ) -> Vec<ClaimEffect> {
        let mut context = StepContext::new(time, rng);
        let Some(entry) = self.take_awaiting_entry(op) else {
            return context.effects;
        };
        let claiming = entry.state == ClaimState::Writing;
        let event = match outcome {
            WriteOutcome::Committed(revision) => {
                entry.revision = revision;
                ClaimEvent::Written
            }
            WriteOutcome::Conflict => ClaimEvent::Conflict,
            // This write did not take effect, but an earlier claim write of this attempt still may.
            WriteOutcome::Unreachable if claiming && entry.in_doubt => ClaimEvent::InDoubt,
            WriteOutcome::Unreachable => ClaimEvent::Failed,
            WriteOutcome::Unanswered => {
                entry.in_doubt |= claiming;
                ClaimEvent::InDoubt
            }
        };
        self.raise(op.id, event, &mut context);
        context.effects
    }

    /// Processes the outcome of [`ClaimEffect::Read`].
    pub fn record_read(
        &mut self,
        op: ClaimOp,
        outcome: ReadOutcome<'_>,
        time: ClaimTime,
        rng: &mut dyn RngCore,
    ) -> Vec<ClaimEffect> {
        let mut context = StepContext::new(time, rng);
        let Some(entry) = self.take_awaiting_entry(op) else {
            return context.effects;
        };
        let event = match outcome {
            ReadOutcome::Failed if entry.state == ClaimState::Reading && !entry.in_doubt => {
                ClaimEvent::Failed
            }
            ReadOutcome::Failed => ClaimEvent::ReadFailed,
            ReadOutcome::Absent => entry.on_row_free(0),
            ReadOutcome::Found(row) => entry.on_row_found(row, time),
        };
        self.raise(op.id, event, &mut context);
        context.effects
    }

    /// Marks a granted call as started. To be called immediately before the first byte is sent.
    ///
    /// # Errors
    ///
    /// Fails if the deadline of the call or its lease has passed since the grant, for example during
    /// a pause of the process, and if the claim is not granted. The call must then not be dispatched,
    /// and the returned effects release the row. They do not include [`ClaimEffect::ReportVerdict`].
    pub fn start_call(
        &mut self,
        id: ClaimId,
        time: ClaimTime,
        rng: &mut dyn RngCore,
    ) -> Result<(), (ClaimRefusal, Vec<ClaimEffect>)> {
        let mut context = StepContext::new(time, rng);
        let entry = self.entries.get(id);
        let Some(entry) = entry.filter(|entry| entry.state == ClaimState::Held) else {
            return Err((ClaimRefusal::DeadlinePassed, context.effects));
        };
        let lease_passed = entry.record.lease_unix_ms <= time.unix_ms;
        if lease_passed || entry.call_deadline.is_past(time.now) {
            self.raise(id, ClaimEvent::NotRun, &mut context);
            return Err((ClaimRefusal::DeadlinePassed, context.effects));
        }
        self.raise(id, ClaimEvent::Started, &mut context);
        Ok(())
    }

    /// Processes the end of a granted call. The caller is answered without waiting for the effects.
    ///
    /// [`CallEnd::NotRun`] releases the row, so it must be certain for all attempts of the call. It
    /// also applies to a call that was granted and never started.
    pub fn finish_call(
        &mut self,
        id: ClaimId,
        end: CallEnd<'_>,
        time: ClaimTime,
        rng: &mut dyn RngCore,
    ) -> Vec<ClaimEffect> {
        let mut context = StepContext::new(time, rng);
        let event = match end {
            CallEnd::NotRun => ClaimEvent::NotRun,
            CallEnd::Unknown => ClaimEvent::Unknown,
            CallEnd::Answered(answer) => {
                self.set_answer(id, answer);
                ClaimEvent::Answered
            }
        };
        self.raise(id, event, &mut context);
        context.effects
    }

    /// Processes the deadlines and retries that are due. To be called at
    /// [`ClaimTable::next_deadline`].
    pub fn tick(&mut self, time: ClaimTime, rng: &mut dyn RngCore) -> Vec<ClaimEffect> {
        let mut context = StepContext::new(time, rng);
        let due = |entry: &ClaimEntry| {
            entry
                .next_deadline()
                .is_some_and(|deadline| deadline.is_past(time.now))
        };
        let ids: Vec<ClaimId> = self
            .entries
            .iter()
            .filter(|(_, entry)| due(entry))
            .map(|(id, _)| id)
            .collect();
        for id in ids {
            let Some(entry) = self.entries.get_mut(id) else {
                continue;
            };
            let event = if entry.retry_at.take().is_some() {
                ClaimEvent::Retry
            } else {
                entry.start_deadline = None;
                entry.on_start_deadline()
            };
            self.raise(id, event, &mut context);
        }
        context.effects
    }

    /// When [`ClaimTable::tick`] is due next; `None` if no deadline or retry is pending.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.entries
            .values()
            .filter_map(ClaimEntry::next_deadline)
            .min()
    }

    /// Number of claim attempts in the table, including those that only have background work left.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the table has no claim attempts.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the attempt that awaits the outcome of `op` and clears its pending operation.
    fn take_awaiting_entry(&mut self, op: ClaimOp) -> Option<&mut ClaimEntry> {
        let entry = self.entries.get_mut(op.id)?;
        entry.pending_op.take_if(|number| *number == op.number)?;
        Some(entry)
    }

    /// Sets the answer to be stored, without its body if that exceeds the limits.
    fn set_answer(&mut self, id: ClaimId, answer: AnswerView<'_>) {
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        if !matches!(entry.state, ClaimState::Held | ClaimState::Running) {
            return;
        }
        let free_bytes = self.settings.max_pending_bytes - self.pending_bytes;
        let max_bytes = self.settings.max_body_bytes.min(free_bytes);
        let body = answer.body.filter(|body| body.len() <= max_bytes);
        self.pending_bytes += body.map_or(0, <[u8]>::len);
        entry.record.phase = ClaimPhase::Done(ClaimAnswer {
            status: answer.status,
            content_type: answer.content_type.to_owned(),
            body: body.map(<[u8]>::to_vec),
        });
    }

    /// Processes `event` and the events that its actions raise.
    fn raise(&mut self, id: ClaimId, event: ClaimEvent, context: &mut StepContext<'_>) {
        let mut next = Some(event);
        while let Some(event) = next.take() {
            let Some(entry) = self.entries.get_mut(id) else {
                return;
            };
            let actions = self.chart.advance(&mut entry.state, event).to_vec();
            let closed = self.chart.is_final(entry.state);
            for action in actions {
                next = self.apply_action(id, action, context).or(next);
            }
            if closed {
                self.remove(id);
            }
        }
    }

    fn remove(&mut self, id: ClaimId) {
        let entry = self.entries.remove(id);
        if let Some(ClaimPhase::Done(answer)) = entry.map(|entry| entry.record.phase) {
            self.pending_bytes -= answer.body.map_or(0, |body| body.len());
        }
    }

    /// Carries out an action of the chart and returns the event that it raises, if any.
    fn apply_action(
        &mut self,
        id: ClaimId,
        action: ClaimAction,
        context: &mut StepContext<'_>,
    ) -> Option<ClaimEvent> {
        let entry = self.entries.get_mut(id)?;
        let now = context.time.now;
        let background_deadline =
            now.after(Duration::from_millis(self.settings.background_timeout_ms));
        let mut report = |verdict| {
            context
                .effects
                .push(ClaimEffect::ReportVerdict { id, verdict });
        };
        match action {
            ClaimAction::WriteClaim => {
                let start_deadline = entry.start_deadline.unwrap_or(now);
                // Half of the remaining time is reserved for reading the row if the write is not
                // answered.
                let deadline = now.after(start_deadline.since(now) / 2);
                self.push_write(id, deadline, context);
            }
            ClaimAction::WriteAnswer => self.push_write(id, background_deadline, context),
            ClaimAction::WriteReleased => {
                entry.record.phase = ClaimPhase::Released;
                self.push_write(id, background_deadline, context);
            }
            ClaimAction::ReadRow => {
                let is_foreground = entry.state == ClaimState::Reading;
                if is_foreground && entry.read_count >= self.settings.max_reads {
                    entry.refusal = ClaimRefusal::Contended;
                    return Some(entry.failure_event(ClaimEvent::RetriesExhausted));
                }
                entry.read_count += u32::from(is_foreground);
                self.last_op_number += 1;
                entry.pending_op = Some(self.last_op_number);
                context.effects.push(ClaimEffect::Read {
                    op: ClaimOp {
                        id,
                        number: self.last_op_number,
                    },
                    key: entry.key.clone(),
                    deadline: entry.start_deadline.unwrap_or(background_deadline),
                });
            }
            ClaimAction::ReportGranted => {
                entry.in_doubt = false;
                entry.start_deadline = Some(entry.call_deadline);
                report(ClaimVerdict::Granted);
            }
            ClaimAction::ReportRefused => {
                entry.start_deadline = None;
                report(ClaimVerdict::Refused(entry.refusal));
            }
            ClaimAction::ReportFound => {
                report(entry.found_verdict.take().unwrap_or(ClaimVerdict::Unknown));
            }
            ClaimAction::ScheduleRetry => {
                entry.pending_op = None;
                if entry.retry_count >= self.settings.max_retries {
                    return Some(ClaimEvent::RetriesExhausted);
                }
                let backoff_ms = self.settings.backoff_ms << entry.retry_count.min(16);
                // Jitter spreads the retries of many claims after an outage of the store.
                let jittered_ms = context.rng.random_range(backoff_ms / 2..=backoff_ms);
                entry.retry_count += 1;
                entry.retry_at = Some(now.after(Duration::from_millis(jittered_ms)));
            }
        }
        None
    }

    fn push_write(&mut self, id: ClaimId, deadline: Instant, context: &mut StepContext<'_>) {
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        self.last_op_number += 1;
        entry.pending_op = Some(self.last_op_number);
        let op = ClaimOp {
            id,
            number: self.last_op_number,
        };
        let write = ClaimWrite {
            key: entry.key.clone(),
            revision: entry.revision,
            record: entry.record.clone(),
            deadline,
        };
        context.effects.push(ClaimEffect::Write { op, write });
    }
}

impl ClaimEntry {
    fn next_deadline(&self) -> Option<Instant> {
        let start_deadline = self
            .start_deadline
            .filter(|_| self.state != ClaimState::Running);
        self.retry_at.or(start_deadline)
    }

    /// Returns the event to raise when the `start_deadline` has passed.
    fn on_start_deadline(&mut self) -> ClaimEvent {
        match self.state {
            // The claim write is outstanding and may still take effect.
            ClaimState::Writing => self.in_doubt = true,
            ClaimState::Held => self.refusal = ClaimRefusal::DeadlinePassed,
            _ => {}
        }
        self.failure_event(ClaimEvent::Expired)
    }

    /// Replaces `event` by [`ClaimEvent::Failed`] if no write of this attempt can be in the row.
    fn failure_event(&self, event: ClaimEvent) -> ClaimEvent {
        if self.state == ClaimState::Reading && !self.in_doubt {
            ClaimEvent::Failed
        } else {
            event
        }
    }

    /// Returns the event to raise for a row that is absent (revision 0) or was released at this
    /// revision.
    fn on_row_free(&mut self, revision: u64) -> ClaimEvent {
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
    fn on_row_found(&mut self, row: StoredClaim<'_>, time: ClaimTime) -> ClaimEvent {
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
