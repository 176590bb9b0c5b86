//! The actor that owns the quotas of this node.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use agatedeck_calls::{QuotaTable, TokenAnswer, TokenGrant};
use agatedeck_clock::Instant;
use agatedeck_control::MemberTable;
use agatedeck_wire::{QuotaAnswer, QuotaRequest};
use kameo::Actor;
use kameo::actor::{ActorRef, Spawn};
use kameo::mailbox;
use kameo::message::{Context, Message};
use tokio::sync::{oneshot, watch};
use tokio::time::{MissedTickBehavior, interval};

use super::limits::read_limits;
use super::messages::{
    AnswerQuota, ExpireWaits, RefreshQuotas, RequestEnded, ReturnToken, SendRequests, TakeToken,
    TokenReply,
};
use super::requests::{decode_demand, encode_grant, send_request};
use crate::context::{NodeContext, ServedConfig};
use crate::wire_answer::WireAnswer;

/// Interval at which the actor follows the members and checks nodes that did not answer.
const REFRESH_INTERVAL: Duration = Duration::from_millis(200);

/// Time after which unchanged members are read again: a dead node no longer counts after a while.
const READING_INTERVAL: Duration = Duration::from_secs(5);

/// Longest time for which a call waits for a token.
const MAX_TOKEN_WAIT: Duration = Duration::from_millis(150);

/// Time after which a refused call may be repeated while no owner answers.
const ALONE_RETRY_TIME: Duration = Duration::from_millis(500);

/// Time between two reports of refused calls and of leases.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// A call that waits for a token.
struct WaitingCall {
    reply: oneshot::Sender<TokenReply>,
    expires_at: Instant,
}

/// Owns the quotas of this node and the calls that wait for tokens.
#[derive(Actor)]
pub(crate) struct QuotaActor {
    context: NodeContext,
    table: QuotaTable,
    members: watch::Receiver<Arc<MemberTable>>,
    config: watch::Receiver<ServedConfig>,
    next_reading_at: Instant,
    /// Calls that wait, in the order of their arrival, by workspace.
    waiting: BTreeMap<String, VecDeque<WaitingCall>>,
    send_queued: bool,
    expiry_queued: bool,
    /// Refused calls by workspace since the last report.
    refused_calls: BTreeMap<String, u64>,
    next_report_at: Instant,
}

impl QuotaActor {
    /// Starts the actor.
    pub(crate) fn start(context: &NodeContext) -> ActorRef<Self> {
        let now = context.clock.now();
        let own = &context.local_member;
        let mut config = context.config.clone();
        config.mark_changed();
        let actor = Self {
            context: context.clone(),
            table: QuotaTable::new(&own.node, &own.domain, now),
            members: context.members.clone(),
            config,
            next_reading_at: now,
            waiting: BTreeMap::new(),
            send_queued: false,
            expiry_queued: false,
            refused_calls: BTreeMap::new(),
            next_report_at: now.after(REPORT_INTERVAL),
        };
        Self::spawn_with_mailbox(actor, mailbox::unbounded())
    }

    /// Reads the clock, and the configuration if it has changed.
    fn observe_state(&mut self) -> Instant {
        let now = self.context.clock.now();
        if let Some(pause) = self.table.observe_time(now) {
            let owned = self.table.owner_count();
            log::warn!(
                event = "quota-paused", paused_ms = pause.as_millis(), owned;
                "emptied {owned} quota buckets after a pause of {pause:?}"
            );
        }
        if self.config.has_changed().unwrap_or(false) {
            let may_serve = self.config.borrow_and_update().may_serve;
            self.table.set_limits(read_limits(&self.context), now);
            if may_serve {
                self.table.start_serving(now);
            }
        }
        now
    }

    fn read_members(&mut self, now: Instant) {
        let has_changed = self.members.has_changed().unwrap_or(false);
        if has_changed || self.next_reading_at.is_past(now) {
            self.next_reading_at = now.after(READING_INTERVAL);
            let members = Arc::clone(&self.members.borrow_and_update());
            self.table.set_members(members.members(), now);
        }
    }

    fn refresh_owners(&mut self, now: Instant) {
        let changes = self.table.refresh(now);
        let (gained, lost) = (changes.gained, changes.lost);
        if gained + lost == 0 {
            return;
        }
        let (owned, share) = (self.table.owner_count(), self.table.reachable_share(now));
        log::info!(
            event = "quota-owner", gained, lost, owned, share;
            "owns the quotas of {owned} workspaces"
        );
        self.context
            .metrics
            .count_quota_owner_changes(gained + lost);
    }

    /// Queues [`SendRequests`] if the workspace needs tokens.
    fn queue_requests(&mut self, workspace: &str, actor: &ActorRef<Self>, now: Instant) {
        let waiting = waiting_count(&self.waiting, workspace);
        if self.send_queued || !self.table.needs_request(workspace, waiting, now) {
            return;
        }
        self.send_queued = true;
        // The actor stops only when the node stops.
        let _ = actor.tell(SendRequests).try_send();
    }

    /// Asks the owners of all workspaces that need tokens, with one request to each, and sends the checks
    /// that are due.
    fn send_requests(&mut self, actor: &ActorRef<Self>, now: Instant) {
        let waiting = |workspace: &str| waiting_count(&self.waiting, workspace);
        let (requests, answered) = self.table.start_requests(waiting, now);
        for request in requests.into_iter().chain(self.table.start_checks()) {
            send_request(&self.context, request, actor);
        }
        for workspace in answered {
            self.serve_waiting(&workspace, now);
            self.queue_requests(&workspace, actor, now);
        }
    }

    fn serve_waiting(&mut self, workspace: &str, now: Instant) {
        while let Some(call) = self
            .waiting
            .get_mut(workspace)
            .and_then(VecDeque::pop_front)
        {
            let answer = self.table.take_for_waiting(workspace, now);
            if answer == TokenAnswer::Wait {
                let waiting = self.waiting.entry(workspace.to_owned());
                waiting.or_default().push_front(call);
                return;
            }
            self.reply(workspace, call.reply, answer, now);
        }
        self.waiting.remove(workspace);
    }

    /// Answers a call that need not wait, or has waited for too long.
    fn reply(
        &mut self,
        workspace: &str,
        reply: oneshot::Sender<TokenReply>,
        answer: TokenAnswer,
        now: Instant,
    ) {
        let answer = match answer {
            TokenAnswer::Granted(token) => TokenReply::Granted(Some(token)),
            TokenAnswer::Refused(retry_after) if !self.table.is_alone(workspace) => {
                TokenReply::Refused(retry_after)
            }
            TokenAnswer::Refused(_) | TokenAnswer::Wait => {
                let token = self.table.take_alone(workspace, now);
                token.map_or(TokenReply::Refused(ALONE_RETRY_TIME), |token| {
                    TokenReply::Granted(Some(token))
                })
            }
        };
        if matches!(answer, TokenReply::Refused(_)) {
            self.context.metrics.count_quota_refused();
            let refused = self.refused_calls.entry(workspace.to_owned());
            *refused.or_default() += 1;
        }
        if let Err(TokenReply::Granted(Some(token))) = reply.send(answer) {
            self.table.give_back(workspace, token, now);
        }
    }

    /// Logs the refusals and reports the leases, at most once in an interval.
    fn report(&mut self, now: Instant) {
        if !self.next_report_at.is_past(now) {
            return;
        }
        self.next_report_at = now.after(REPORT_INTERVAL);
        let metrics = &self.context.metrics;
        metrics.set_quota_leases(self.table.lease_count());
        let by_workspace = std::mem::take(&mut self.refused_calls);
        let refused: u64 = by_workspace.values().sum();
        let workspaces = by_workspace.len();
        if let Some((workspace, most)) = by_workspace.into_iter().max_by_key(|(_, count)| *count) {
            log::info!(
                event = "quota-refused",
                refused, workspaces, workspace:% = workspace, most;
                "refused {refused} calls over the quota, {most} of them of {workspace}"
            );
        }
    }

    /// Answers the demands of a holder.
    fn grant(&mut self, request: &QuotaRequest, now: Instant) -> Vec<TokenGrant> {
        self.table.record_sign(&request.node);
        let mut grants = Vec::with_capacity(request.demands.len());
        for demand in &request.demands {
            let tokens = decode_demand(demand);
            let grant = self
                .table
                .grant(&request.node, &demand.workspace, tokens, now);
            grants.push(grant);
        }
        grants
    }
}

/// Number of calls of a workspace that wait.
fn waiting_count(waiting: &BTreeMap<String, VecDeque<WaitingCall>>, workspace: &str) -> u32 {
    let count = waiting.get(workspace).map_or(0, VecDeque::len);
    u32::try_from(count).unwrap_or(u32::MAX)
}

impl Message<TakeToken> for QuotaActor {
    type Reply = ();

    async fn handle(&mut self, take: TakeToken, ctx: &mut Context<Self, ()>) {
        let now = self.observe_state();
        let TakeToken { workspace, reply } = take;
        if !self.table.is_limited(&workspace) {
            // The limit was removed after the call had read the configuration. The send fails if the
            // caller has left.
            let _ = reply.send(TokenReply::Granted(None));
            return;
        }
        match self.table.take(&workspace, now) {
            TokenAnswer::Wait => {
                let expires_at = now.after(MAX_TOKEN_WAIT);
                let waiting = self.waiting.entry(workspace.clone()).or_default();
                waiting.push_back(WaitingCall { reply, expires_at });
                if !std::mem::replace(&mut self.expiry_queued, true) {
                    ctx.actor_ref().tell(ExpireWaits).send_after(MAX_TOKEN_WAIT);
                }
            }
            answer => self.reply(&workspace, reply, answer, now),
        }
        self.queue_requests(&workspace, ctx.actor_ref(), now);
    }
}

impl Message<ReturnToken> for QuotaActor {
    type Reply = ();

    async fn handle(&mut self, returned: ReturnToken, _: &mut Context<Self, ()>) {
        let now = self.observe_state();
        self.table
            .give_back(&returned.workspace, returned.token, now);
    }
}

impl Message<AnswerQuota> for QuotaActor {
    type Reply = WireAnswer<QuotaAnswer>;

    async fn handle(
        &mut self,
        AnswerQuota(request): AnswerQuota,
        _: &mut Context<Self, WireAnswer<QuotaAnswer>>,
    ) -> WireAnswer<QuotaAnswer> {
        let now = self.observe_state();
        let grants = self.grant(&request, now).into_iter();
        WireAnswer(QuotaAnswer {
            grants: grants.map(encode_grant).collect(),
        })
    }
}

impl Message<SendRequests> for QuotaActor {
    type Reply = ();

    async fn handle(&mut self, SendRequests: SendRequests, ctx: &mut Context<Self, ()>) {
        let now = self.observe_state();
        self.send_queued = false;
        self.send_requests(ctx.actor_ref(), now);
    }
}

impl Message<ExpireWaits> for QuotaActor {
    type Reply = ();

    async fn handle(&mut self, ExpireWaits: ExpireWaits, ctx: &mut Context<Self, ()>) {
        let now = self.observe_state();
        let mut expired = Vec::new();
        for (workspace, waiting) in &mut self.waiting {
            while let Some(call) = waiting.pop_front_if(|call| call.expires_at.is_past(now)) {
                expired.push((workspace.clone(), call.reply));
            }
        }
        self.waiting.retain(|_, waiting| !waiting.is_empty());
        for (workspace, reply) in expired {
            self.reply(&workspace, reply, TokenAnswer::Wait, now);
        }
        let first_calls = self.waiting.values().filter_map(VecDeque::front);
        let next_expiry = first_calls.map(|call| call.expires_at).min();
        self.expiry_queued = next_expiry.is_some();
        if let Some(next_expiry) = next_expiry {
            let pause = next_expiry.since(now);
            ctx.actor_ref().tell(ExpireWaits).send_after(pause);
        }
    }
}

impl Message<RequestEnded> for QuotaActor {
    type Reply = ();

    async fn handle(&mut self, ended: RequestEnded, ctx: &mut Context<Self, ()>) {
        let now = self.observe_state();
        let grants = ended.grants.as_deref();
        self.table
            .record_end(&ended.request, grants, ended.sent_at, now);
        for (workspace, _) in &ended.request.demands {
            self.serve_waiting(workspace, now);
            self.queue_requests(workspace, ctx.actor_ref(), now);
        }
    }
}

impl Message<RefreshQuotas> for QuotaActor {
    type Reply = ();

    async fn handle(&mut self, RefreshQuotas: RefreshQuotas, ctx: &mut Context<Self, ()>) {
        let now = self.observe_state();
        self.read_members(now);
        self.refresh_owners(now);
        self.send_requests(ctx.actor_ref(), now);
        let granted = self.table.take_granted();
        self.context.metrics.count_quota_granted(granted);
        self.report(now);
    }
}

/// Sends [`RefreshQuotas`] at an interval and at each new version until the actor stops.
pub(crate) async fn run_quota_ticks(context: NodeContext, actor: ActorRef<QuotaActor>) {
    let mut config = context.config.clone();
    let mut ticks = interval(REFRESH_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            changed = config.changed() => {
                if changed.is_err() {
                    return;
                }
            }
        }
        if actor.tell(RefreshQuotas).await.is_err() {
            return;
        }
    }
}
