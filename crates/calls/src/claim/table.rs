//! The claim attempts of one node.

use std::time::Duration;

use agatedeck_chart::ChartError;
use agatedeck_clock::Instant;
use derive_more::Display;
use rand::{Rng as _, RngCore};
use slotmap::{SlotMap, new_key_type};

use super::batch::{ClaimWrite, WriteOutcome};
use super::chart::{ClaimAction, ClaimChart, ClaimEvent, ClaimState, load_chart};
use super::row::{ClaimAnswer, ClaimPhase, ClaimRecord};

/// Longest idempotency key, in bytes. Longer keys only cost space in the store.
const MAX_KEY_BYTES: usize = 255;

new_key_type! {
    /// A claim attempt in a [`ClaimTable`].
    pub struct ClaimId;
}

/// Limits of [`ClaimTable`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimSettings {
    /// Time within which a claim is won or refused, in milliseconds, if the deadline of the call is
    /// not earlier.
    pub confirm_timeout_ms: u64,
    /// Time from the deadline of the call to the end of its lease, in milliseconds. It covers the
    /// assumed difference between the clocks of hosts (1 s) and the first retries of a completion.
    pub lease_margin_ms: u64,
    /// Time allowed for a background write or read, in milliseconds.
    pub background_timeout_ms: u64,
    /// Times that a row is read before a contended claim is refused.
    pub max_reads: u32,
    /// Retries of a completion or a release.
    pub max_retries: u32,
    /// Time before the first retry, in milliseconds; doubled for each further one.
    pub backoff_ms: u64,
    /// Largest answer body that is stored, in bytes. Of a larger answer, the status, the content
    /// type and the fact that the body is not kept are stored.
    pub max_body_bytes: usize,
    /// Answer bodies that wait to be stored, in bytes; further bodies are not kept.
    pub max_pending_bytes: usize,
    /// Claim attempts in the table, those with only background work left included.
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

/// The time at which a decision is taken.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ClaimTime {
    /// Monotonic clock of the process.
    pub now: Instant,
    /// Clock of the host, in milliseconds since the Unix epoch. Used for leases only.
    pub unix_ms: u64,
}

/// A call that must run at most once.
#[derive(Clone, Copy, Debug)]
pub struct ClaimRequest<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Idempotency key of the caller.
    pub key: &'a str,
    /// Digest of the request body.
    pub digest: &'a [u8],
    /// Deadline of the call.
    pub deadline: Instant,
}

/// Why a call was not run.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum ClaimRefusal {
    /// The store did not confirm the claim in time.
    #[display("the store did not confirm the claim in time")]
    StoreUnavailable,
    /// The key was used before with another request body.
    #[display("the idempotency key was used with another request body")]
    KeyReused,
    /// The deadline of the call or its lease passed before dispatch.
    #[display("the deadline passed before dispatch")]
    DeadlinePassed,
    /// Other claims on the same key kept changing the row.
    #[display("other claims on the same key are being made")]
    Contended,
    /// The table holds as many claim attempts as it may.
    #[display("too many claims are in progress on this node")]
    TooManyClaims,
    /// The key is empty, too long or has control characters, or the service name has a slash.
    #[display("the idempotency key or the service name is not valid")]
    InvalidKey,
}

/// What the caller is told of a claim, or may do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimVerdict {
    /// The claim is won. [`ClaimTable::start_call`] must be called before the call is dispatched, and
    /// [`ClaimTable::finish_call`] when it has ended.
    Granted,
    /// The call ran earlier; this is its answer.
    Stored(ClaimAnswer),
    /// Another attempt holds the claim and may be running. Reported as outcome `unknown`.
    InProgress,
    /// Another attempt held the claim and its lease has passed without an answer. Reported as
    /// outcome `unknown`.
    Unknown,
    /// This attempt was not dispatched and will not be. Reported as outcome `not-run`.
    Refused(ClaimRefusal),
}

/// Names one request to the store by one claim attempt.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ClaimOp {
    id: ClaimId,
    number: u64,
}

/// Something for the caller to carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimEffect {
    /// Write a row and report with [`ClaimTable::record_write`].
    Write {
        /// Names the request.
        op: ClaimOp,
        /// The write.
        write: ClaimWrite,
    },
    /// Read a row and report with [`ClaimTable::record_read`].
    Read {
        /// Names the request.
        op: ClaimOp,
        /// Key of the row.
        key: String,
        /// Time by which the store must have answered.
        deadline: Instant,
    },
    /// Tell the verdict to whoever began the claim. Sent once for each attempt, except that a
    /// granted call that is not started by its deadline is refused afterwards.
    ReportVerdict {
        /// The attempt.
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
    /// The record; `None` if the value does not decode.
    pub record: Option<&'a ClaimRecord>,
}

/// What a read of a row gave.
#[derive(Clone, Copy, Debug)]
pub enum ReadOutcome<'a> {
    /// There is such a row.
    Found(StoredClaim<'a>),
    /// There is no such row.
    Absent,
    /// The store did not answer, or not in time.
    Failed,
}

/// An answer as the target gave it.
#[derive(Clone, Copy, Debug)]
pub struct AnswerView<'a> {
    /// HTTP status.
    pub status: u16,
    /// Content type; empty if there is none.
    pub content_type: &'a str,
    /// Body; `None` if it was streamed without being collected because of its size.
    pub body: Option<&'a [u8]>,
}

/// How a call whose claim was granted ended.
#[derive(Clone, Copy, Debug)]
pub enum CallEnd<'a> {
    /// The caller received this answer.
    Answered(AnswerView<'a>),
    /// No byte of any attempt can have reached a target.
    NotRun,
    /// An attempt may have run; no complete answer came.
    Unknown,
}

/// The claim attempts of one node, from the first write to the last retry.
///
/// Invariants, for each attempt:
///
/// - A call is started only after the store confirmed a row that names the attempt's own token.
/// - A released row is written only by an attempt that will not be started, over its own row or
///   over the row that its own outstanding claim write is conditional on.
/// - A row in progress or done is overwritten only by the attempt that it names.
///
/// A call therefore runs at most once whatever the clocks say: leases are only read, to choose
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
    /// A claim write of this attempt may take effect without its answer having come.
    in_doubt: bool,
    /// Number of the store request whose result is awaited. Results of others are ignored: a late
    /// answer to a claim write must not be taken for the answer to a release.
    pending_op: Option<u64>,
    reads: u32,
    retries: u32,
    refusal: ClaimRefusal,
    /// Verdict from another attempt's row, until it is told.
    found_verdict: Option<ClaimVerdict>,
    /// Deadline of the call.
    call_deadline: Instant,
    /// When the attempt is refused if it was not started.
    start_deadline: Option<Instant>,
    /// When a background write or read is due again.
    retry_at: Option<Instant>,
}

/// What one decision reads and writes besides the table.
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

/// Key of the row of a claim.
fn row_key(service: &str, key: &str) -> Option<String> {
    let service_valid = !service.is_empty() && !service.contains('/');
    let key_valid =
        !key.is_empty() && key.len() <= MAX_KEY_BYTES && !key.chars().any(char::is_control);
    (service_valid && key_valid).then(|| format!("claim/{service}/{key}"))
}

impl ClaimTable {
    /// A table without claims.
    ///
    /// # Errors
    ///
    /// Fails if the embedded chart does not load, which a test rules out.
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

    /// Begins an attempt to claim a call. The verdict follows as [`ClaimEffect::ReportVerdict`].
    ///
    /// # Errors
    ///
    /// Refuses an invalid key and an attempt beyond the bound of the table.
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
            reads: 0,
            retries: 0,
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

    /// Takes the outcome of a write.
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
            // An earlier claim write of this attempt may still take effect.
            WriteOutcome::Unreachable if claiming && entry.in_doubt => ClaimEvent::InDoubt,
            WriteOutcome::Unreachable => ClaimEvent::Failed,
            WriteOutcome::Unanswered => {
                entry.in_doubt |= claiming;
                ClaimEvent::InDoubt
            }
        };
        self.handle(op.id, event, &mut context);
        context.effects
    }

    /// Takes the outcome of a read.
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
        self.handle(op.id, event, &mut context);
        context.effects
    }

    /// Asks to dispatch a granted call. To be called immediately before the first byte is sent.
    ///
    /// # Errors
    ///
    /// Refuses a call whose deadline or lease has passed since the grant, as after a pause of the
    /// process, and a claim that is not granted. The call must then not be dispatched; the returned
    /// effects release the row. The refusal is not sent as an effect again.
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
            self.handle(id, ClaimEvent::NotRun, &mut context);
            return Err((ClaimRefusal::DeadlinePassed, context.effects));
        }
        self.handle(id, ClaimEvent::Started, &mut context);
        Ok(())
    }

    /// Takes the end of a granted call. The caller is answered without waiting for the effects.
    ///
    /// [`CallEnd::NotRun`] releases the row, so it must be certain for all attempts of the call. It
    /// is also the end of a call that was granted and never started.
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
        self.handle(id, event, &mut context);
        context.effects
    }

    /// Carries out what is due. To be called at [`ClaimTable::next_deadline`].
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
                entry.expire()
            };
            self.handle(id, event, &mut context);
        }
        context.effects
    }

    /// When [`ClaimTable::tick`] is next due; `None` if nothing is waiting for a point in time.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.entries
            .values()
            .filter_map(ClaimEntry::next_deadline)
            .min()
    }

    /// Number of claim attempts in the table, those with only background work left included.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no claim attempt is left.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The attempt that waits for the result of `op`, which it then no longer does.
    fn take_awaiting_entry(&mut self, op: ClaimOp) -> Option<&mut ClaimEntry> {
        let entry = self.entries.get_mut(op.id)?;
        entry.pending_op.take_if(|number| *number == op.number)?;
        Some(entry)
    }

    fn set_answer(&mut self, id: ClaimId, answer: AnswerView<'_>) {
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        if !matches!(entry.state, ClaimState::Held | ClaimState::Running) {
            return;
        }
        let room = self.settings.max_pending_bytes - self.pending_bytes;
        let limit = self.settings.max_body_bytes.min(room);
        let body = answer.body.filter(|body| body.len() <= limit);
        self.pending_bytes += body.map_or(0, <[u8]>::len);
        entry.record.phase = ClaimPhase::Done(ClaimAnswer {
            status: answer.status,
            content_type: answer.content_type.to_owned(),
            body: body.map(<[u8]>::to_vec),
        });
    }

    /// Moves an attempt on by `event` and by the events that follow from its actions.
    fn handle(&mut self, id: ClaimId, event: ClaimEvent, context: &mut StepContext<'_>) {
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

    /// Carries out an action; returns the event that follows from it.
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
                // Half of the time is left to read the row back if no answer comes.
                let deadline = now.after(start_deadline.since(now) / 2);
                self.write(id, deadline, context);
            }
            ClaimAction::WriteAnswer => self.write(id, background_deadline, context),
            ClaimAction::WriteReleased => {
                entry.record.phase = ClaimPhase::Released;
                self.write(id, background_deadline, context);
            }
            ClaimAction::ReadRow => {
                let foreground = entry.state == ClaimState::Reading;
                if foreground && entry.reads >= self.settings.max_reads {
                    entry.refusal = ClaimRefusal::Contended;
                    return Some(entry.failure_event(ClaimEvent::RetriesExhausted));
                }
                entry.reads += u32::from(foreground);
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
                if entry.retries >= self.settings.max_retries {
                    return Some(ClaimEvent::RetriesExhausted);
                }
                let backoff_ms = self.settings.backoff_ms << entry.retries.min(16);
                // Retries of many claims after an outage are spread over the backoff.
                let jittered_ms = context.rng.random_range(backoff_ms / 2..=backoff_ms);
                entry.retries += 1;
                entry.retry_at = Some(now.after(Duration::from_millis(jittered_ms)));
            }
        }
        None
    }

    fn write(&mut self, id: ClaimId, deadline: Instant, context: &mut StepContext<'_>) {
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

    /// The event of a claim that is not settled in time.
    fn expire(&mut self) -> ClaimEvent {
        match self.state {
            // The write is under way and may take effect at any time.
            ClaimState::Writing => self.in_doubt = true,
            ClaimState::Held => self.refusal = ClaimRefusal::DeadlinePassed,
            _ => {}
        }
        self.failure_event(ClaimEvent::Expired)
    }

    /// `event`, or [`ClaimEvent::Failed`] if no write of this attempt can be in the row.
    fn failure_event(&self, event: ClaimEvent) -> ClaimEvent {
        if self.state == ClaimState::Reading && !self.in_doubt {
            ClaimEvent::Failed
        } else {
            event
        }
    }

    /// The event of a row that is absent or released and has this revision.
    fn on_row_free(&mut self, revision: u64) -> ClaimEvent {
        if self.state == ClaimState::Reading {
            self.revision = revision;
        } else if self.revision != revision {
            // The claim write was conditional on another revision and can no longer take effect.
            return ClaimEvent::FoundTaken;
        }
        ClaimEvent::FoundFree
    }

    fn on_row_found(&mut self, row: StoredClaim<'_>, time: ClaimTime) -> ClaimEvent {
        let Some(record) = row.record else {
            self.found_verdict = Some(ClaimVerdict::Unknown);
            return ClaimEvent::FoundTaken;
        };
        // A released row says nothing about its body: the call it names was never dispatched.
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
