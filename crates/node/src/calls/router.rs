//! The actor that picks targets and decides on retries.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;

use agatedeck_calls::{
    AttemptResult, BalancePolicy, BalancerSettings, ClientRetryTable, Fingerprint, LoadBalancer,
    LoadReport, PickError, PickRequest, PickedTarget, RetryBudget, RetryContext, RetryDecision,
    RetrySettings, RoundRobin, TargetKey, TwoChoices, UnansweredCall, VersionSplit, decide_retry,
};
use agatedeck_clock::Instant;
use agatedeck_wire::{NodeLocality, RolloutCounts};
use axum::http::uri::Authority;
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::target_subset::TargetSubset;
use crate::context::NodeContext;
use crate::rollout::{CountedResult, ResultCounter};
use crate::settings::BalanceMode;

/// Owns the load balancer and the retry budgets.
///
/// The load balancer holds only the services that were called through this node. The target subset
/// of a service is computed on its first call, and again in a separate task when members or the
/// configuration change.
#[derive(Actor)]
pub(crate) struct CallRouter {
    context: NodeContext,
    balancer: LoadBalancer,
    /// One budget per service, so that failures of one service do not use up the retries of
    /// another.
    retry_budgets: HashMap<String, RetryBudget>,
    base_retry_settings: RetrySettings,
    /// Unanswered calls that their callers may retry.
    client_retries: ClientRetryTable,
    /// Services that were called through this node.
    called_services: HashSet<String>,
    /// Whether a task is computing target subsets.
    is_selecting_subsets: bool,
    /// Whether members or the configuration have changed since that task started.
    reselection_needed: bool,
    /// Parsed URI authority of each peer address, so that attempts need not parse it.
    authorities: HashMap<SocketAddr, Authority>,
    /// Results of calls to services whose rollout is in progress.
    rollout_results: ResultCounter,
    /// Version that each rollout ordered, as of the last selection of subsets.
    ordered_versions: BTreeMap<String, String>,
    rng: SmallRng,
}

impl CallRouter {
    pub(super) fn new(context: NodeContext) -> Self {
        let locality = NodeLocality::from(&*context.local_member);
        let calls = &context.settings.calls;
        let base_retry_settings = RetrySettings {
            budget_percent: calls.retry_percent,
            refused_attempts: calls.refused_attempts,
            ..Default::default()
        };
        let balancer_settings = BalancerSettings {
            spill_percent: calls.spill_percent,
            region_spill_percent: calls.region_spill_percent,
            slow_target_percent: calls.slow_target_percent,
            report_weight: f64::from(calls.report_percent) / 100.0,
            ..Default::default()
        };
        let policy: Box<dyn BalancePolicy> = match context.settings.calls.balance {
            BalanceMode::TwoChoices => Box::new(TwoChoices),
            BalanceMode::RoundRobin => Box::new(RoundRobin),
        };
        Self {
            balancer: LoadBalancer::new(&locality, balancer_settings, policy),
            retry_budgets: HashMap::new(),
            base_retry_settings,
            client_retries: ClientRetryTable::default(),
            called_services: HashSet::new(),
            is_selecting_subsets: false,
            reselection_needed: false,
            authorities: HashMap::new(),
            rollout_results: ResultCounter::default(),
            ordered_versions: BTreeMap::new(),
            rng: SmallRng::from_rng(&mut rand::rng()),
            context,
        }
    }

    /// Returns the retry budget of a service. Its capacity is this node's share of the retries that
    /// all nodes together may spend.
    fn retry_budget(&mut self, service: &str) -> &mut RetryBudget {
        if !self.retry_budgets.contains_key(service) {
            let budget = RetryBudget::new(&self.retry_settings());
            self.retry_budgets.insert(service.to_owned(), budget);
        }
        self.retry_budgets
            .get_mut(service)
            .unwrap_or_else(|| unreachable!("the budget was inserted above"))
    }

    /// Retry limits of this node at the current number of live nodes.
    fn retry_settings(&self) -> RetrySettings {
        match self.context.settings.calls.retry_limit {
            Some(limit) => {
                let nodes = self.context.table().live().count();
                self.base_retry_settings
                    .per_node(limit.ratio, limit.slack, nodes)
            }
            None => self.base_retry_settings,
        }
    }

    /// Updates the targets of a service in the load balancer.
    fn set_targets(&mut self, subset: &TargetSubset) {
        let (selected, draining) = (subset.selected(), subset.draining());
        self.balancer
            .set_targets(&subset.service, &selected, &draining, subset.warm_up_ms);
        let rollouts = self.context.rollouts();
        let mut split = rollouts.splits.get(&subset.service).cloned();
        if !rollouts.is_known {
            let versions = selected.iter().map(|target| target.version);
            split = split.or_else(|| VersionSplit::before_first_state(versions));
        }
        self.balancer.set_split(&subset.service, split.as_ref());
    }

    /// Counts a call that is sent to a target, if the service's rollout is in progress. Returns whether it is.
    fn count_sent(&mut self, service: &str, key: TargetKey) -> bool {
        let rollouts = self.context.rollouts.borrow();
        if !rollouts.counted.contains(service) {
            return false;
        }
        if let Some((version, _)) = self.balancer.target_version(key) {
            self.rollout_results.count_sent(service, version);
        }
        true
    }

    /// Computes the targets of all called services in a separate task.
    fn start_subset_selection(&mut self, router: &ActorRef<Self>) {
        self.is_selecting_subsets = true;
        let (context, router) = (self.context.clone(), router.clone());
        let services = self.called_services.clone();
        tokio::spawn(async move {
            let select_subsets = move || {
                let subsets = services
                    .iter()
                    .map(|name| TargetSubset::select(&context, name));
                subsets.collect::<Vec<_>>()
            };
            // Selecting targets does not panic, and the router stops only when the node stops.
            if let Ok(subsets) = tokio::task::spawn_blocking(select_subsets).await {
                let _ = router.tell(SubsetsReady(subsets)).await;
            }
        });
    }

    /// Computes the targets again, after a selection that is in progress.
    fn refresh_subsets(&mut self, router: &ActorRef<Self>) {
        if self.is_selecting_subsets {
            self.reselection_needed = true;
        } else {
            self.start_subset_selection(router);
        }
    }

    fn peer_authority(&mut self, peer: SocketAddr) -> Option<Authority> {
        if let Some(authority) = self.authorities.get(&peer) {
            return Some(authority.clone());
        }
        let authority: Authority = peer.to_string().parse().ok()?;
        self.authorities.insert(peer, authority.clone());
        Some(authority)
    }
}

/// The target of an attempt. If dropped without a result it reports a cancelled attempt, so that
/// the load balancer does not count an attempt whose task has ended as in flight forever.
#[derive(Debug)]
pub(super) struct TargetLease {
    pub(super) target: PickedTarget,
    pub(super) authority: Authority,
    pub(super) picked_at: Instant,
    /// Service whose rollout is in progress, so that the result of the call counts.
    counted_service: Option<String>,
    router: ActorRef<CallRouter>,
    reported: bool,
}

impl TargetLease {
    /// Whether the result counts for a rollout.
    pub(super) fn is_counted(&self) -> bool {
        self.counted_service.is_some()
    }

    /// Reports how the attempt ended, the load that the target's node reported, and the result that counts
    /// for a rollout.
    pub(super) fn report_result(
        mut self,
        result: AttemptResult,
        load: Option<LoadReport>,
        counted: Option<CountedResult>,
    ) {
        self.send_result(result, load, counted);
    }

    fn send_result(
        &mut self,
        result: AttemptResult,
        load: Option<LoadReport>,
        counted: Option<CountedResult>,
    ) {
        self.reported = true;
        let attempt = FinishAttempt {
            key: self.target.key,
            picked_at: self.picked_at,
            result,
            load,
            counted: self.counted_service.take().zip(counted),
        };
        // The router stops only when the node stops.
        let _ = self.router.tell(attempt).try_send();
    }
}

impl Drop for TargetLease {
    fn drop(&mut self) {
        if !self.reported {
            self.send_result(AttemptResult::Cancelled, None, None);
        }
    }
}

/// Requests a target for an attempt.
pub(super) struct PickTarget {
    pub(super) service: String,
    /// Whether this is the first attempt of the call.
    pub(super) is_first_attempt: bool,
    /// Until when an answer has its full value to the caller, if the route states it.
    pub(super) useful_until: Option<Instant>,
    /// Targets of earlier attempts, which are avoided.
    pub(super) tried_targets: Vec<TargetKey>,
    pub(super) idempotent: bool,
    pub(super) fingerprint: Fingerprint,
}

/// Reply to [`PickTarget`]: a target, or why there is none.
#[derive(Debug, kameo::Reply)]
pub(super) struct PickReply {
    pub(super) lease: Result<TargetLease, PickError>,
    /// When the caller's first attempt arrived, if this call is a retry by the caller.
    pub(super) first_arrival_at: Option<Instant>,
}

impl Message<PickTarget> for CallRouter {
    type Reply = PickReply;

    async fn handle(
        &mut self,
        request: PickTarget,
        ctx: &mut Context<Self, PickReply>,
    ) -> PickReply {
        if !self.called_services.contains(&request.service) {
            let subset = TargetSubset::select(&self.context, &request.service);
            self.set_targets(&subset);
            self.called_services.insert(request.service.clone());
        }
        let now = self.context.clock.now();
        let mut first_arrival_at = None;
        if request.is_first_attempt {
            self.retry_budget(&request.service).deposit();
            first_arrival_at = self.client_retries.take_arrival(request.fingerprint, now);
        }
        let pick_request = PickRequest {
            service: &request.service,
            avoid: &request.tried_targets,
            idempotent: request.idempotent,
            useful_until: request.useful_until,
        };
        let picked = self.balancer.pick(&pick_request, now, &mut self.rng);
        let lease = picked.and_then(|target| {
            let authority = self
                .peer_authority(target.peer)
                .ok_or(PickError::NoTargets)?;
            Ok(TargetLease {
                target,
                authority,
                picked_at: now,
                counted_service: self
                    .count_sent(&request.service, target.key)
                    .then(|| request.service.clone()),
                router: ctx.actor_ref().clone(),
                reported: false,
            })
        });
        PickReply {
            lease,
            first_arrival_at,
        }
    }
}

struct FinishAttempt {
    key: TargetKey,
    picked_at: Instant,
    result: AttemptResult,
    load: Option<LoadReport>,
    /// The service and the result, if it counts for a rollout.
    counted: Option<(String, CountedResult)>,
}

impl Message<FinishAttempt> for CallRouter {
    type Reply = ();

    async fn handle(&mut self, attempt: FinishAttempt, _: &mut Context<Self, ()>) {
        let now = self.context.clock.now();
        // The rollout may have ended during the call.
        let is_counted = |service: &str| self.context.rollouts.borrow().counted.contains(service);
        if let Some((service, result)) = &attempt.counted
            && is_counted(service)
            && let Some(target) = self.balancer.target_version(attempt.key)
        {
            let is_warm = self.balancer.is_warm(attempt.key);
            let latency = is_warm.then(|| now.since(attempt.picked_at));
            self.rollout_results
                .count_result(service, target, result, latency);
        }
        if let Some(load) = attempt.load {
            self.balancer.record_load(attempt.key, &load, now);
        }
        self.balancer
            .record_result(attempt.key, attempt.picked_at, attempt.result, now);
    }
}

/// Records an unanswered call, which the caller may retry.
pub(super) struct RecordUnanswered(pub(super) UnansweredCall);

impl Message<RecordUnanswered> for CallRouter {
    type Reply = ();

    async fn handle(
        &mut self,
        RecordUnanswered(call): RecordUnanswered,
        _: &mut Context<Self, ()>,
    ) {
        self.client_retries.insert(call, self.context.clock.now());
    }
}

/// Requests a decision on whether a call is retried.
pub(super) struct DecideRetry {
    pub(super) context: RetryContext,
    pub(super) service: String,
    pub(super) max_attempts: u32,
}

/// Reply to [`DecideRetry`].
#[derive(Debug, kameo::Reply)]
pub(super) struct RetryReply(pub(super) RetryDecision);

impl Message<DecideRetry> for CallRouter {
    type Reply = RetryReply;

    async fn handle(
        &mut self,
        DecideRetry {
            context,
            service,
            max_attempts,
        }: DecideRetry,
        _: &mut Context<Self, RetryReply>,
    ) -> RetryReply {
        let retry_settings = RetrySettings {
            max_attempts,
            ..self.base_retry_settings
        };
        let now = self.context.clock.now();
        let mut rng = SmallRng::from_rng(&mut self.rng);
        let budget = self.retry_budget(&service);
        RetryReply(decide_retry(
            &context,
            &retry_settings,
            budget,
            now,
            &mut rng,
        ))
    }
}

/// Members or the configuration have changed.
pub(super) struct TopologyChanged;

impl Message<TopologyChanged> for CallRouter {
    type Reply = ();

    async fn handle(&mut self, TopologyChanged: TopologyChanged, ctx: &mut Context<Self, ()>) {
        // The share depends on the number of live nodes: a node that has just started knows few
        // others, and would keep most of the slack for itself.
        let retry_settings = self.retry_settings();
        for budget in self.retry_budgets.values_mut() {
            budget.set_limits(&retry_settings);
        }
        self.refresh_subsets(ctx.actor_ref());
    }
}

/// The published rollouts have changed.
pub(super) struct RolloutsChanged;

impl Message<RolloutsChanged> for CallRouter {
    type Reply = ();

    async fn handle(&mut self, RolloutsChanged: RolloutsChanged, ctx: &mut Context<Self, ()>) {
        let rollouts = self.context.rollouts();
        self.rollout_results.retain_services(&rollouts.counted);
        for service in &self.called_services {
            let split = rollouts.splits.get(service);
            // Before the rollouts are known, other splits follow from the targets.
            if rollouts.is_known || split.is_some() {
                self.balancer.set_split(service, split);
            }
        }
        let splits = rollouts.splits.iter();
        let ordered = splits.map(|(service, split)| (service.clone(), split.target.clone()));
        let ordered: BTreeMap<String, String> = ordered.collect();
        if ordered != self.ordered_versions {
            self.ordered_versions = ordered;
            self.refresh_subsets(ctx.actor_ref());
        }
    }
}

/// Returns the results that have been counted since the last request.
pub(crate) struct TakeRolloutCounts;

/// Reply to [`TakeRolloutCounts`].
#[derive(Debug, kameo::Reply)]
pub(crate) struct RolloutCountList(pub(crate) Vec<RolloutCounts>);

impl Message<TakeRolloutCounts> for CallRouter {
    type Reply = RolloutCountList;

    async fn handle(
        &mut self,
        TakeRolloutCounts: TakeRolloutCounts,
        _: &mut Context<Self, RolloutCountList>,
    ) -> RolloutCountList {
        RolloutCountList(self.rollout_results.take())
    }
}

struct SubsetsReady(Vec<TargetSubset>);

impl Message<SubsetsReady> for CallRouter {
    type Reply = ();

    async fn handle(&mut self, SubsetsReady(subsets): SubsetsReady, ctx: &mut Context<Self, ()>) {
        self.is_selecting_subsets = false;
        for subset in &subsets {
            self.set_targets(subset);
        }
        let table = self.context.table();
        let peers: HashSet<SocketAddr> = table
            .members()
            .filter_map(|member| member.peer_address.parse().ok())
            .collect();
        self.authorities.retain(|peer, _| peers.contains(peer));
        if std::mem::take(&mut self.reselection_needed) {
            self.start_subset_selection(ctx.actor_ref());
        }
    }
}
