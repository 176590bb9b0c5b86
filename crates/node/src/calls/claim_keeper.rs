//! The actor that owns the claims of calls that run at most once.

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

use super::latency_keeper::{CountEvent, LatencyKeeper};
use crate::clock::unix_ms;
use crate::context::NodeContext;

/// Owns the claim table and the open batch. Requests to the store are tasks that report back.
#[derive(Actor)]
pub(super) struct ClaimKeeper {
    context: NodeContext,
    table: ClaimTable,
    batcher: ClaimBatcher<ClaimOp>,
    waiting: HashMap<ClaimId, oneshot::Sender<ClaimReply>>,
    wake_at: Option<Instant>,
    rng: SmallRng,
    latency: ActorRef<LatencyKeeper>,
}

impl ClaimKeeper {
    pub(super) fn new(
        context: NodeContext,
        latency: ActorRef<LatencyKeeper>,
    ) -> Result<Self, ChartError> {
        Ok(Self {
            table: ClaimTable::new(&context.local_member.node, ClaimSettings::default())?,
            batcher: ClaimBatcher::new(BatchSettings::default()),
            waiting: HashMap::new(),
            wake_at: None,
            rng: SmallRng::from_rng(&mut rand::rng()),
            latency,
            context,
        })
    }

    fn time(&self) -> ClaimTime {
        ClaimTime {
            now: self.context.clock.now(),
            unix_ms: unix_ms(),
        }
    }

    fn carry_out(&mut self, effects: Vec<ClaimEffect>, keeper: &ActorRef<Self>) {
        let now = self.context.clock.now();
        for effect in effects {
            match effect {
                ClaimEffect::Write { op, write } => self.batcher.push(op, write, now),
                ClaimEffect::Read { op, key, deadline } => self.read(op, key, deadline, keeper),
                ClaimEffect::ReportVerdict { id, verdict } => self.tell(id, verdict, keeper),
            }
        }
        while let Some(batch) = self.batcher.take_due(now) {
            self.send(&batch, keeper);
        }
        self.schedule(keeper);
    }

    fn tell(&mut self, id: ClaimId, verdict: ClaimVerdict, keeper: &ActorRef<Self>) {
        let Some(reply) = self.waiting.remove(&id) else {
            return;
        };
        let count = CountEvent::Claim(verdict_name(&verdict));
        let _ = self.latency.tell(count).try_send();
        // The lease of a caller that has gone is dropped here, which releases the row.
        let _ = reply.send(match verdict {
            ClaimVerdict::Granted => ClaimReply::Granted(ClaimLease {
                id,
                keeper: keeper.clone(),
                started: false,
                ended: false,
            }),
            verdict => ClaimReply::Decided(verdict),
        });
    }

    fn read(&self, op: ClaimOp, key: String, deadline: Instant, keeper: &ActorRef<Self>) {
        let (context, keeper) = (self.context.clone(), keeper.clone());
        tokio::spawn(async move {
            let deadline = context.clock.runtime_instant(deadline);
            let row = context.store.read_row(&key, deadline).await;
            let _ = keeper.tell(RowRead { op, row }).try_send();
        });
    }

    fn send(&self, batch: &ClaimBatch, keeper: &ActorRef<Self>) {
        let (context, keeper) = (self.context.clone(), keeper.clone());
        let transaction = transaction(batch);
        let (id, deadline) = (batch.id, context.clock.runtime_instant(batch.deadline));
        tokio::spawn(async move {
            let outcome = context.store.transact(&transaction, deadline).await;
            let _ = keeper.tell(BatchSettled { id, outcome }).try_send();
        });
    }

    fn schedule(&mut self, keeper: &ActorRef<Self>) {
        let deadlines = [self.table.next_deadline(), self.batcher.next_deadline()];
        let Some(deadline) = deadlines.into_iter().flatten().min() else {
            return;
        };
        if self.wake_at.is_some_and(|wake_at| wake_at <= deadline) {
            return;
        }
        self.wake_at = Some(deadline);
        let pause = deadline.since(self.context.clock.now());
        keeper.tell(WakeClaims).send_after(pause);
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

fn transaction(batch: &ClaimBatch) -> StoreTransaction {
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

/// The right to run a claimed call. Dropped without an end, the call counts as unknown if it was
/// started, and its claim is released if not.
#[derive(Debug)]
pub(super) struct ClaimLease {
    id: ClaimId,
    keeper: ActorRef<ClaimKeeper>,
    started: bool,
    ended: bool,
}

impl ClaimLease {
    /// Asks to dispatch the call. To be called immediately before each attempt; only the first asks.
    ///
    /// A claim that is not started is released at the deadline of the call, so a call that was
    /// dispatched without it could run twice.
    pub(super) async fn start(&mut self) -> Result<(), ClaimRefusal> {
        if !self.started {
            let reply = self.keeper.ask(StartClaim(self.id)).await;
            reply.map_or(Err(ClaimRefusal::StoreUnavailable), |reply| reply.0)?;
            self.started = true;
        }
        Ok(())
    }

    /// Settles the claim.
    pub(super) fn end(mut self, end: ClaimEnd) {
        self.tell(end);
    }

    fn tell(&mut self, end: ClaimEnd) {
        self.ended = true;
        // The keeper is gone only when the node is stopping; the row then reads as unknown.
        let _ = self.keeper.tell(EndClaim { id: self.id, end }).try_send();
    }
}

impl Drop for ClaimLease {
    fn drop(&mut self) {
        if !self.ended {
            self.tell(ClaimEnd::Unknown);
        }
    }
}

/// Answer to [`BeginClaim`].
#[derive(Debug)]
pub(super) enum ClaimReply {
    Granted(ClaimLease),
    /// Any verdict but [`ClaimVerdict::Granted`].
    Decided(ClaimVerdict),
}

/// Claims a call. The answer comes over `reply`.
pub(super) struct BeginClaim {
    pub(super) service: String,
    pub(super) key: String,
    pub(super) digest: [u8; 32],
    pub(super) deadline: Instant,
    pub(super) reply: oneshot::Sender<ClaimReply>,
}

impl Message<BeginClaim> for ClaimKeeper {
    type Reply = ();

    async fn handle(&mut self, begin: BeginClaim, ctx: &mut Context<Self, ()>) {
        let request = ClaimRequest {
            service: &begin.service,
            key: &begin.key,
            digest: &begin.digest,
            deadline: begin.deadline,
        };
        let time = self.time();
        match self.table.begin_claim(&request, time, &mut self.rng) {
            Ok((id, effects)) => {
                self.waiting.insert(id, begin.reply);
                self.carry_out(effects, ctx.actor_ref());
            }
            Err(refusal) => {
                let verdict = ClaimVerdict::Refused(refusal);
                let count = CountEvent::Claim(verdict_name(&verdict));
                let _ = self.latency.tell(count).try_send();
                // A caller that has gone needs no answer.
                let _ = begin.reply.send(ClaimReply::Decided(verdict));
            }
        }
    }
}

struct StartClaim(ClaimId);

#[derive(Debug, kameo::Reply)]
struct StartReply(Result<(), ClaimRefusal>);

impl Message<StartClaim> for ClaimKeeper {
    type Reply = StartReply;

    async fn handle(
        &mut self,
        StartClaim(id): StartClaim,
        ctx: &mut Context<Self, StartReply>,
    ) -> StartReply {
        let time = self.time();
        StartReply(match self.table.start_call(id, time, &mut self.rng) {
            Ok(()) => Ok(()),
            Err((refusal, effects)) => {
                self.carry_out(effects, ctx.actor_ref());
                Err(refusal)
            }
        })
    }
}

/// How a claimed call ended.
#[derive(Debug)]
pub(super) enum ClaimEnd {
    Answered {
        status: u16,
        content_type: String,
        /// `None` if the answer was too large to be collected.
        body: Option<Bytes>,
    },
    NotRun,
    Unknown,
}

struct EndClaim {
    id: ClaimId,
    end: ClaimEnd,
}

impl Message<EndClaim> for ClaimKeeper {
    type Reply = ();

    async fn handle(&mut self, EndClaim { id, end }: EndClaim, ctx: &mut Context<Self, ()>) {
        let end = match &end {
            ClaimEnd::Answered {
                status,
                content_type,
                body,
            } => CallEnd::Answered(AnswerView {
                status: *status,
                content_type,
                body: body.as_deref(),
            }),
            ClaimEnd::NotRun => CallEnd::NotRun,
            ClaimEnd::Unknown => CallEnd::Unknown,
        };
        let time = self.time();
        let effects = self.table.finish_call(id, end, time, &mut self.rng);
        self.carry_out(effects, ctx.actor_ref());
    }
}

struct RowRead {
    op: ClaimOp,
    row: Result<Option<StoredRow>, StoreError>,
}

impl Message<RowRead> for ClaimKeeper {
    type Reply = ();

    async fn handle(&mut self, RowRead { op, row }: RowRead, ctx: &mut Context<Self, ()>) {
        let record = match &row {
            Ok(Some(row)) => decode_claim(&row.value)
                .inspect_err(
                    |error| log::error!(event = "claim-unreadable"; "row `{}`: {error}", row.key),
                )
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
        let time = self.time();
        let effects = self.table.record_read(op, outcome, time, &mut self.rng);
        self.carry_out(effects, ctx.actor_ref());
    }
}

struct BatchSettled {
    id: BatchId,
    outcome: Result<TransactionOutcome, StoreError>,
}

impl Message<BatchSettled> for ClaimKeeper {
    type Reply = ();

    async fn handle(
        &mut self,
        BatchSettled { id, outcome }: BatchSettled,
        ctx: &mut Context<Self, ()>,
    ) {
        let outcome = match &outcome {
            Ok(TransactionOutcome::Committed(revision)) => BatchOutcome::Committed(*revision),
            Ok(TransactionOutcome::Refused(keys)) => BatchOutcome::Conflict(keys),
            Err(StoreError::Unreachable(_)) => BatchOutcome::Unreachable,
            Err(StoreError::Unanswered(_) | StoreError::Unusable(_)) => BatchOutcome::Unanswered,
        };
        let report = self.batcher.complete(id, outcome);
        if let Some(batch) = report.retry {
            self.send(&batch, ctx.actor_ref());
        }
        for (op, outcome) in report.outcomes {
            let time = self.time();
            let effects = self.table.record_write(op, outcome, time, &mut self.rng);
            self.carry_out(effects, ctx.actor_ref());
        }
    }
}

struct WakeClaims;

impl Message<WakeClaims> for ClaimKeeper {
    type Reply = ();

    async fn handle(&mut self, WakeClaims: WakeClaims, ctx: &mut Context<Self, ()>) {
        self.wake_at = None;
        let time = self.time();
        let effects = self.table.tick(time, &mut self.rng);
        self.carry_out(effects, ctx.actor_ref());
    }
}

/// Asks for the number of claims that are not settled in the store.
pub(super) struct CountOpenClaims;

impl Message<CountOpenClaims> for ClaimKeeper {
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
pub(super) async fn claim_call(
    keeper: &ActorRef<ClaimKeeper>,
    service: &str,
    key: &str,
    digest: [u8; 32],
    deadline: Instant,
) -> ClaimReply {
    let (reply, verdict) = oneshot::channel();
    let begin = BeginClaim {
        service: service.to_owned(),
        key: key.to_owned(),
        digest,
        deadline,
        reply,
    };
    let away = || ClaimReply::Decided(ClaimVerdict::Refused(ClaimRefusal::StoreUnavailable));
    if keeper.tell(begin).try_send().is_err() {
        return away();
    }
    verdict.await.unwrap_or_else(|_| away())
}
