//! The actor that picks targets and grants retries.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use agatedeck_calls::{
    AttemptResult, BalancePolicy, BalancerSettings, ClientRetryTable, Fingerprint, LoadBalancer,
    PickError, PickRequest, PickedTarget, RetryBudget, RetryContext, RetryDecision, RetrySettings,
    RoundRobin, TargetKey, TwoChoices, UnansweredCall, decide_retry,
};
use agatedeck_clock::Instant;
use axum::http::uri::Authority;
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::target_plan::{TargetPlan, place_of};
use crate::context::NodeContext;
use crate::settings::BalanceMode;

/// Owns the target board and the retry budget.
///
/// Only services that were called from here are on the board. Their subsets are computed when the
/// first call comes and, apart from this actor, when members or configuration change.
#[derive(Actor)]
pub(crate) struct CallRouter {
    context: NodeContext,
    board: LoadBalancer,
    /// Budgets by service, so that the failures of one do not use up the retries of another.
    budgets: HashMap<String, RetryBudget>,
    settings: RetrySettings,
    /// Calls that may come back.
    returns: ClientRetryTable,
    services: HashSet<String>,
    /// Whether targets are being worked out.
    planning: bool,
    /// Whether members or configuration have changed since that began.
    changed_since: bool,
    /// Peer addresses in the form that requests need, so that no attempt has to parse one.
    authorities: HashMap<SocketAddr, Authority>,
    rng: SmallRng,
}

impl CallRouter {
    pub(super) fn new(context: NodeContext) -> Self {
        let own = place_of(&context.local_member);
        let calls = &context.settings.calls;
        let settings = RetrySettings {
            budget_percent: calls.retry_percent,
            refused_attempts: calls.refused_attempts,
            ..Default::default()
        };
        let board = BalancerSettings {
            spill_percent: calls.spill_percent,
            report_weight: f64::from(calls.report_percent) / 100.0,
            ..Default::default()
        };
        let policy: Box<dyn BalancePolicy> = match context.settings.calls.balance {
            BalanceMode::TwoChoices => Box::new(TwoChoices),
            BalanceMode::RoundRobin => Box::new(RoundRobin),
        };
        Self {
            board: LoadBalancer::new(&own, board, policy),
            budgets: HashMap::new(),
            settings,
            returns: ClientRetryTable::default(),
            services: HashSet::new(),
            planning: false,
            changed_since: false,
            authorities: HashMap::new(),
            rng: SmallRng::from_rng(&mut rand::rng()),
            context,
        }
    }

    /// The retry budget of a service. Its reserve is this node's share of what all nodes together
    /// may spend.
    fn budget(&mut self, service: &str) -> &mut RetryBudget {
        if !self.budgets.contains_key(service) {
            let budget = RetryBudget::new(&self.retry_settings());
            self.budgets.insert(service.to_owned(), budget);
        }
        self.budgets
            .get_mut(service)
            .unwrap_or_else(|| unreachable!("the budget was inserted above"))
    }

    /// What this node may spend on retries while as many nodes live as now.
    fn retry_settings(&self) -> RetrySettings {
        match self.context.settings.calls.retry_limit {
            Some(limit) => {
                let nodes = self.context.table().live().count();
                self.settings.per_node(limit.ratio, limit.slack, nodes)
            }
            None => self.settings,
        }
    }

    /// Puts the targets of a service on the board.
    fn apply(&mut self, plan: &TargetPlan) {
        let (chosen, draining) = (plan.chosen(), plan.draining());
        self.board
            .set_targets(&plan.service, &chosen, &draining, plan.warm_up_ms);
    }

    /// Works out the targets of all services on the board, apart from this actor.
    fn start_planning(&mut self, router: &ActorRef<Self>) {
        self.planning = true;
        let (context, router) = (self.context.clone(), router.clone());
        let services = self.services.clone();
        tokio::spawn(async move {
            let choose = move || {
                let plans = services
                    .iter()
                    .map(|name| TargetPlan::choose(&context, name));
                plans.collect::<Vec<_>>()
            };
            // Choosing does not panic, and the router is gone only when the node is stopping.
            if let Ok(plans) = tokio::task::spawn_blocking(choose).await {
                let _ = router.tell(PlansReady(plans)).await;
            }
        });
    }

    fn authority(&mut self, peer: SocketAddr) -> Option<Authority> {
        if let Some(authority) = self.authorities.get(&peer) {
            return Some(authority.clone());
        }
        let authority: Authority = peer.to_string().parse().ok()?;
        self.authorities.insert(peer, authority.clone());
        Some(authority)
    }
}

/// The target of an attempt. It is given back to the board when dropped without a result, so that
/// an attempt whose task has gone is not counted as in flight for ever.
#[derive(Debug)]
pub(super) struct TargetLease {
    pub(super) target: PickedTarget,
    pub(super) authority: Authority,
    picked_at: Instant,
    router: ActorRef<CallRouter>,
    settled: bool,
}

impl TargetLease {
    /// Tells the board how the attempt ended, and the load that the target reported.
    pub(super) fn settle(mut self, result: AttemptResult, load: Option<f64>) {
        self.tell(result, load);
    }

    fn tell(&mut self, result: AttemptResult, load: Option<f64>) {
        self.settled = true;
        let finish = FinishAttempt {
            key: self.target.key,
            picked_at: self.picked_at,
            result,
            load,
        };
        // The router is gone only when the node is stopping.
        let _ = self.router.tell(finish).try_send();
    }
}

impl Drop for TargetLease {
    fn drop(&mut self) {
        if !self.settled {
            self.tell(AttemptResult::Cancelled, None);
        }
    }
}

/// Asks for the target of an attempt.
pub(super) struct PickTarget {
    pub(super) service: String,
    /// Whether this is the first attempt of the call.
    pub(super) first: bool,
    /// Targets of earlier attempts.
    pub(super) avoid: Vec<TargetKey>,
    pub(super) idempotent: bool,
    pub(super) fingerprint: Fingerprint,
}

/// A target, or why there is none.
#[derive(Debug, kameo::Reply)]
pub(super) struct PickReply {
    pub(super) lease: Result<TargetLease, PickError>,
    /// When the first attempt of the caller arrived, if the call has come back.
    pub(super) first_at: Option<Instant>,
}

impl Message<PickTarget> for CallRouter {
    type Reply = PickReply;

    async fn handle(&mut self, pick: PickTarget, ctx: &mut Context<Self, PickReply>) -> PickReply {
        if !self.services.contains(&pick.service) {
            let plan = TargetPlan::choose(&self.context, &pick.service);
            self.apply(&plan);
            self.services.insert(pick.service.clone());
        }
        let now = self.context.clock.now();
        let mut first_at = None;
        if pick.first {
            self.budget(&pick.service).deposit();
            first_at = self.returns.take_arrival(pick.fingerprint, now);
        }
        let request = PickRequest {
            service: &pick.service,
            avoid: &pick.avoid,
            idempotent: pick.idempotent,
        };
        let picked = self.board.pick(&request, now, &mut self.rng);
        let lease = picked.and_then(|target| {
            let authority = self.authority(target.peer).ok_or(PickError::NoTargets)?;
            Ok(TargetLease {
                target,
                authority,
                picked_at: now,
                router: ctx.actor_ref().clone(),
                settled: false,
            })
        });
        PickReply { lease, first_at }
    }
}

struct FinishAttempt {
    key: TargetKey,
    picked_at: Instant,
    result: AttemptResult,
    load: Option<f64>,
}

impl Message<FinishAttempt> for CallRouter {
    type Reply = ();

    async fn handle(&mut self, finish: FinishAttempt, _: &mut Context<Self, ()>) {
        let now = self.context.clock.now();
        if let Some(load) = finish.load {
            self.board.record_load(finish.key, load, now);
        }
        self.board
            .record_result(finish.key, finish.picked_at, finish.result, now);
    }
}

/// A call was not answered and may come back.
pub(super) struct NoteUnanswered(pub(super) UnansweredCall);

impl Message<NoteUnanswered> for CallRouter {
    type Reply = ();

    async fn handle(&mut self, NoteUnanswered(call): NoteUnanswered, _: &mut Context<Self, ()>) {
        self.returns.insert(call, self.context.clock.now());
    }
}

/// Asks whether a call is tried again.
pub(super) struct DecideRetry {
    pub(super) question: RetryContext,
    pub(super) service: String,
    pub(super) max_attempts: u32,
}

/// Whether a call is tried again.
#[derive(Debug, kameo::Reply)]
pub(super) struct RetryReply(pub(super) RetryDecision);

impl Message<DecideRetry> for CallRouter {
    type Reply = RetryReply;

    async fn handle(
        &mut self,
        DecideRetry {
            question,
            service,
            max_attempts,
        }: DecideRetry,
        _: &mut Context<Self, RetryReply>,
    ) -> RetryReply {
        let settings = RetrySettings {
            max_attempts,
            ..self.settings
        };
        let now = self.context.clock.now();
        let mut rng = SmallRng::from_rng(&mut self.rng);
        let budget = self.budget(&service);
        RetryReply(decide_retry(&question, &settings, budget, now, &mut rng))
    }
}

/// Members or configuration have changed.
pub(super) struct ViewChanged;

impl Message<ViewChanged> for CallRouter {
    type Reply = ();

    async fn handle(&mut self, ViewChanged: ViewChanged, ctx: &mut Context<Self, ()>) {
        // A node that has just started knows few others, and its part would be most of the slack.
        let settings = self.retry_settings();
        for budget in self.budgets.values_mut() {
            budget.set_limits(&settings);
        }
        if self.planning {
            self.changed_since = true;
        } else {
            self.start_planning(ctx.actor_ref());
        }
    }
}

struct PlansReady(Vec<TargetPlan>);

impl Message<PlansReady> for CallRouter {
    type Reply = ();

    async fn handle(&mut self, PlansReady(plans): PlansReady, ctx: &mut Context<Self, ()>) {
        self.planning = false;
        for plan in &plans {
            self.apply(plan);
        }
        let table = self.context.table();
        let peers: HashSet<SocketAddr> = table
            .members()
            .filter_map(|member| member.peer_address.parse().ok())
            .collect();
        self.authorities.retain(|peer, _| peers.contains(peer));
        if std::mem::take(&mut self.changed_since) {
            self.start_planning(ctx.actor_ref());
        }
    }
}
