//! The actor that owns the claims, which ensure that a call with an idempotency key runs at most
//! once.

use std::collections::HashMap;

use agatedeck_calls::{
    AnswerView, BatchId, BatchOutcome, BatchSettings, CallEnd, ClaimBatch, ClaimBatcher,
    ClaimEffect, ClaimId, ClaimOp, ClaimRefusal, ClaimRequest, ClaimSettings, ClaimTable,
    ClaimTime, ClaimVerdict, ReadOutcome, StoredClaim, decode_claim, encode_claim,
};
use agatedeck_chart::ChartError;
use agatedeck_clock::Instant;
use agatedeck_store::{
    RowCondition, RowWrite, StoreError, StoreTransaction, StoredRow, TransactionOutcome,
};
use bytes::Bytes;
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::oneshot;

use super::latency_actor::{CountEvent, LatencyActor};
use crate::clock::unix_ms;
use crate::context::NodeContext;

/// Owns the claim table and the batches of writes to the store. Each request to the store is a task
/// that sends its result to this actor.
#[derive(Actor)]
pub(super) struct ClaimActor {
    context: NodeContext,
    table: ClaimTable,
    batcher: ClaimBatcher<ClaimOp>,
    pending_replies: HashMap<ClaimId, oneshot::Sender<ClaimReply>>,
    wake_at: Option<Instant>,
    rng: SmallRng,
    latency_actor: ActorRef<LatencyActor>,
}

impl ClaimActor {
    pub(super) fn new(
        context: NodeContext,
        latency_actor: ActorRef<LatencyActor>,
    ) -> Result<Self, ChartError> {
        Ok(Self {
            table: ClaimTable::new(&context.local_member.node, ClaimSettings::default())?,
            batcher: ClaimBatcher::new(BatchSettings::default()),
            pending_replies: HashMap::new(),
            wake_at: None,
            rng: SmallRng::from_rng(&mut rand::rng()),
            latency_actor,
            context,
        })
    }

    fn claim_time(&self) -> ClaimTime {
        ClaimTime {
            now: self.context.clock.now(),
            unix_ms: unix_ms(),
        }
    }

    fn apply_effects(&mut self, effects: Vec<ClaimEffect>, actor: &ActorRef<Self>) {
        let now = self.context.clock.now();
        for effect in effects {
            match effect {
                ClaimEffect::Write { op, write } => self.batcher.push(op, write, now),
                ClaimEffect::Read { op, key, deadline } => self.read_row(op, key, deadline, actor),
                ClaimEffect::ReportVerdict { id, verdict } => {
                    self.report_verdict(id, verdict, actor);
                }
            }
        }
        while let Some(batch) = self.batcher.take_due(now) {
            self.write_batch(&batch, actor);
        }
        self.schedule_wake(actor);
    }

    fn report_verdict(&mut self, id: ClaimId, verdict: ClaimVerdict, actor: &ActorRef<Self>) {
        let Some(reply) = self.pending_replies.remove(&id) else {
            return;
        };
        let count = CountEvent::Claim(verdict_name(&verdict));
        let _ = self.latency_actor.tell(count).try_send();
        // If the caller has gone, the lease is dropped here, which releases the claim.
        let _ = reply.send(match verdict {
            ClaimVerdict::Granted => ClaimReply::Granted(ClaimLease {
                id,
                actor: actor.clone(),
                started: false,
                finished: false,
            }),
            verdict => ClaimReply::NotGranted(verdict),
        });
    }

    fn read_row(&self, op: ClaimOp, key: String, deadline: Instant, actor: &ActorRef<Self>) {
        let (context, actor) = (self.context.clone(), actor.clone());
        tokio::spawn(async move {
            let deadline = context.clock.runtime_instant(deadline);
            let row = context.store.read_row(&key, deadline).await;
            let _ = actor.tell(RowRead { op, row }).try_send();
        });
    }

    fn write_batch(&self, batch: &ClaimBatch, actor: &ActorRef<Self>) {
        let (context, actor) = (self.context.clone(), actor.clone());
        let transaction = store_transaction(batch);
        let (id, deadline) = (batch.id, context.clock.runtime_instant(batch.deadline));
        tokio::spawn(async move {
            let outcome = context.store.transact(&transaction, deadline).await;
            let _ = actor.tell(BatchWritten { id, outcome }).try_send();
        });
    }

    fn schedule_wake(&mut self, actor: &ActorRef<Self>) {
        let deadlines = [self.table.next_deadline(), self.batcher.next_deadline()];
        let Some(deadline) = deadlines.into_iter().flatten().min() else {
            return;
        };
        if self.wake_at.is_some_and(|wake_at| wake_at <= deadline) {
            return;
        }
        self.wake_at = Some(deadline);
        let delay = deadline.since(self.context.clock.now());
        actor.tell(ProcessDueClaims).send_after(delay);
    }
}

fn verdict_name(verdict: &ClaimVerdict) -> &'static str {
    match verdict {
        ClaimVerdict::Granted => "granted",
        ClaimVerdict::Stored(_) => "stored",
        ClaimVerdict::InProgress => "in-progress",
        ClaimVerdict::Unknown => "unknown",
        ClaimVerdict::Refused(_) => "refused",
    }
}

fn store_transaction(batch: &ClaimBatch) -> StoreTransaction {
    let conditions = batch.writes.iter().map(|write| RowCondition {
        key: write.key.clone(),
        revision: write.revision,
    });
    let writes = batch.writes.iter().map(|write| RowWrite {
        key: write.key.clone(),
        value: Some(encode_claim(&write.record)),
    });
    StoreTransaction {
        conditions: conditions.collect(),
        writes: writes.collect(),
    }
}

/// Permission to run a claimed call. If it is dropped without a result, the claim is recorded with
/// an unknown outcome if the call was started, and released otherwise.
#[derive(Debug)]
pub(super) struct ClaimLease {
    id: ClaimId,
    actor: ActorRef<ClaimActor>,
    started: bool,
    finished: bool,
}

impl ClaimLease {
    /// Marks the call as started. Must be called immediately before each attempt; only the first
    /// call sends a message.
    ///
    /// A claim that is not started is released at the deadline of the call, so a call that was
    /// dispatched without starting its claim could run twice.
    pub(super) async fn start_call(&mut self) -> Result<(), ClaimRefusal> {
        if !self.started {
            let reply = self.actor.ask(StartClaim(self.id)).await;
            reply.map_or(Err(ClaimRefusal::StoreUnavailable), |reply| reply.0)?;
            self.started = true;
        }
        Ok(())
    }

    /// Finishes the claim with the result of the call.
    pub(super) fn finish(mut self, result: ClaimResult) {
        self.send_result(result);
    }

    fn send_result(&mut self, result: ClaimResult) {
        self.finished = true;
        // The actor stops only when the node stops; the outcome of the call is then unknown to
        // later callers with the same key.
        let _ = self
            .actor
            .tell(FinishClaim {
                id: self.id,
                result,
            })
            .try_send();
    }
}

impl Drop for ClaimLease {
    fn drop(&mut self) {
        if !self.finished {
            self.send_result(ClaimResult::Unknown);
        }
    }
}

/// Reply to [`BeginClaim`].
#[derive(Debug)]
pub(super) enum ClaimReply {
    Granted(ClaimLease),
    /// Any verdict but [`ClaimVerdict::Granted`].
    NotGranted(ClaimVerdict),
}

/// Claims a call. The verdict is sent to `reply`.
pub(super) struct BeginClaim {
    pub(super) service: String,
    pub(super) key: String,
    pub(super) digest: [u8; 32],
    pub(super) deadline: Instant,
    pub(super) reply: oneshot::Sender<ClaimReply>,
}

impl Message<BeginClaim> for ClaimActor {
    type Reply = ();

    async fn handle(&mut self, claim: BeginClaim, ctx: &mut Context<Self, ()>) {
        let request = ClaimRequest {
            service: &claim.service,
            key: &claim.key,
            digest: &claim.digest,
            deadline: claim.deadline,
        };
        let claim_time = self.claim_time();
        match self.table.begin_claim(&request, claim_time, &mut self.rng) {
            Ok((id, effects)) => {
                self.pending_replies.insert(id, claim.reply);
                self.apply_effects(effects, ctx.actor_ref());
            }
            Err(refusal) => {
                let verdict = ClaimVerdict::Refused(refusal);
                let count = CountEvent::Claim(verdict_name(&verdict));
                let _ = self.latency_actor.tell(count).try_send();
                // Sending fails only if the caller has gone.
                let _ = claim.reply.send(ClaimReply::NotGranted(verdict));
            }
        }
    }
}

struct StartClaim(ClaimId);

#[derive(Debug, kameo::Reply)]
struct StartReply(Result<(), ClaimRefusal>);

impl Message<StartClaim> for ClaimActor {
    type Reply = StartReply;

    async fn handle(
        &mut self,
        StartClaim(id): StartClaim,
        ctx: &mut Context<Self, StartReply>,
    ) -> StartReply {
        let claim_time = self.claim_time();
        StartReply(match self.table.start_call(id, claim_time, &mut self.rng) {
            Ok(()) => Ok(()),
            Err((refusal, effects)) => {
                self.apply_effects(effects, ctx.actor_ref());
                Err(refusal)
            }
        })
    }
}

/// Result of a claimed call.
#[derive(Debug)]
pub(super) enum ClaimResult {
    Answered {
        status: u16,
        content_type: String,
        /// `None` if the answer was too large to buffer.
        body: Option<Bytes>,
    },
    NotRun,
    Unknown,
}

struct FinishClaim {
    id: ClaimId,
    result: ClaimResult,
}

impl Message<FinishClaim> for ClaimActor {
    type Reply = ();

    async fn handle(
        &mut self,
        FinishClaim { id, result }: FinishClaim,
        ctx: &mut Context<Self, ()>,
    ) {
        let end = match &result {
            ClaimResult::Answered {
                status,
                content_type,
                body,
            } => CallEnd::Answered(AnswerView {
                status: *status,
                content_type,
                body: body.as_deref(),
            }),
            ClaimResult::NotRun => CallEnd::NotRun,
            ClaimResult::Unknown => CallEnd::Unknown,
        };
        let claim_time = self.claim_time();
        let effects = self.table.finish_call(id, end, claim_time, &mut self.rng);
        self.apply_effects(effects, ctx.actor_ref());
    }
}

struct RowRead {
    op: ClaimOp,
    row: Result<Option<StoredRow>, StoreError>,
}

impl Message<RowRead> for ClaimActor {
    type Reply = ();

    async fn handle(&mut self, RowRead { op, row }: RowRead, ctx: &mut Context<Self, ()>) {
        let record = match &row {
            Ok(Some(row)) => decode_claim(&row.value)
                .inspect_err(|error| {
                    log::error!(
                        event = "claim-unreadable";
                        "cannot decode the claim in row `{}`: {error}", row.key
                    );
                })
                .ok(),
            _ => None,
        };
        let outcome = match &row {
            Ok(Some(row)) => ReadOutcome::Found(StoredClaim {
                revision: row.revision,
                record: record.as_ref(),
            }),
            Ok(None) => ReadOutcome::Absent,
            Err(_) => ReadOutcome::Failed,
        };
        let claim_time = self.claim_time();
        let effects = self
            .table
            .record_read(op, outcome, claim_time, &mut self.rng);
        self.apply_effects(effects, ctx.actor_ref());
    }
}

struct BatchWritten {
    id: BatchId,
    outcome: Result<TransactionOutcome, StoreError>,
}

impl Message<BatchWritten> for ClaimActor {
    type Reply = ();

    async fn handle(
        &mut self,
        BatchWritten { id, outcome }: BatchWritten,
        ctx: &mut Context<Self, ()>,
    ) {
        let outcome = match &outcome {
            Ok(TransactionOutcome::Committed(revision)) => BatchOutcome::Committed(*revision),
            Ok(TransactionOutcome::Conflict(keys)) => BatchOutcome::Conflict(keys),
            Err(StoreError::Unreachable(_)) => BatchOutcome::Unreachable,
            Err(StoreError::Unanswered(_) | StoreError::InvalidResponse(_)) => {
                BatchOutcome::Unanswered
            }
        };
        let report = self.batcher.complete(id, outcome);
        if let Some(batch) = report.retry {
            self.write_batch(&batch, ctx.actor_ref());
        }
        for (op, outcome) in report.outcomes {
            let claim_time = self.claim_time();
            let effects = self
                .table
                .record_write(op, outcome, claim_time, &mut self.rng);
            self.apply_effects(effects, ctx.actor_ref());
        }
    }
}

struct ProcessDueClaims;

impl Message<ProcessDueClaims> for ClaimActor {
    type Reply = ();

    async fn handle(&mut self, ProcessDueClaims: ProcessDueClaims, ctx: &mut Context<Self, ()>) {
        self.wake_at = None;
        let claim_time = self.claim_time();
        let effects = self.table.tick(claim_time, &mut self.rng);
        self.apply_effects(effects, ctx.actor_ref());
    }
}

/// Requests the number of claims whose result is not written to the store yet.
pub(super) struct CountOpenClaims;

impl Message<CountOpenClaims> for ClaimActor {
    type Reply = usize;

    async fn handle(
        &mut self,
        CountOpenClaims: CountOpenClaims,
        _: &mut Context<Self, usize>,
    ) -> usize {
        self.table.len()
    }
}

/// Claims a call and waits for the verdict.
pub(super) async fn acquire_claim(
    actor: &ActorRef<ClaimActor>,
    service: &str,
    key: &str,
    digest: [u8; 32],
    deadline: Instant,
) -> ClaimReply {
    let (reply, verdict) = oneshot::channel();
    let claim = BeginClaim {
        service: service.to_owned(),
        key: key.to_owned(),
        digest,
        deadline,
        reply,
    };
    let store_unavailable =
        || ClaimReply::NotGranted(ClaimVerdict::Refused(ClaimRefusal::StoreUnavailable));
    if actor.tell(claim).try_send().is_err() {
        return store_unavailable();
    }
    verdict.await.unwrap_or_else(|_| store_unavailable())
}
