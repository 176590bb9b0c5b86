//! State machines of the claim attempts of one node.

use std::time::Duration;

use agatedeck_chart::ChartError;
use agatedeck_clock::Instant;
use rand::{Rng as _, RngCore};
use slotmap::SlotMap;

use super::batch::{ClaimWrite, WriteOutcome};
use super::chart::{ClaimAction, ClaimChart, ClaimEvent, ClaimState, load_chart};
use super::entry::ClaimEntry;
use super::row::{ClaimAnswer, ClaimPhase, ClaimRecord};
use super::types::{
    AnswerView, CallEnd, ClaimEffect, ClaimId, ClaimOp, ClaimRefusal, ClaimRequest, ClaimSettings,
    ClaimTime, ClaimVerdict, ReadOutcome,
};

/// Longest accepted idempotency key; bounds the space that a key takes in the store.
const MAX_KEY_BYTES: usize = 255;

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
