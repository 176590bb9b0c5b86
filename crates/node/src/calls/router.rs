//! The actor that picks targets and grants retries.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use agatedeck_calls::{
    AttemptResult, BalancePolicy, BoardSettings, NodePlace, PickError, PickRequest, PickedTarget,
    RetryBudget, RetryDecision, RetryQuestion, RetrySettings, RoundRobin, TargetBoard, TargetKey,
    TargetStatus, TargetView, TwoChoices, decide_retry,
};
use agatedeck_clock::Instant;
use agatedeck_records::SnapshotView;
use agatedeck_wire::{Member, MemberStatus};
use axum::http::uri::Authority;
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::clock::unix_ms;
use crate::context::NodeContext;
use crate::settings::BalanceChoice;

/// Owns the target board and the retry budget.
///
/// Only services that were called from here are on the board. Their subsets are computed when the
/// first call comes and when members or configuration change, never between.
#[derive(Actor)]
pub(super) struct CallRouter {
    context: NodeContext,
    board: TargetBoard,
    budget: RetryBudget,
    settings: RetrySettings,
    services: HashSet<String>,
    /// Peer addresses in the form that requests need, so that no attempt has to parse one.
    authorities: HashMap<SocketAddr, Authority>,
    rng: SmallRng,
}

impl CallRouter {
    pub(super) fn new(context: NodeContext) -> Self {
        let own = place_of(&context.own);
        let settings = RetrySettings::default();
        let policy: Box<dyn BalancePolicy> = match context.settings.calls.balance {
            BalanceChoice::TwoChoices => Box::new(TwoChoices),
            BalanceChoice::RoundRobin => Box::new(RoundRobin),
        };
        Self {
            board: TargetBoard::new(&own, BoardSettings::default(), policy),
            budget: RetryBudget::new(&settings),
            settings,
            services: HashSet::new(),
            authorities: HashMap::new(),
            rng: SmallRng::from_rng(&mut rand::rng()),
            context,
        }
    }

    /// Puts the targets of a service on the board as members and configuration state them.
    fn refresh(&mut self, service: &str) {
        let (served, table) = (self.context.served(), self.context.table());
        let view = SnapshotView::new(&served.snapshot, self.context.own.reads_schema);
        let Some(policy) = view.policy_of(service) else {
            self.board.replace_targets(service, &[], &[], 0);
            return;
        };
        let targets: Vec<TargetView<'_>> = table
            .members()
            .filter(|member| member.service == service)
            .filter_map(|member| {
                target_view(member, policy.form.slots, policy.form.warm_up_ms.into())
            })
            .collect();
        let calls = |member: &&Member| {
            let caller = view.service(&member.service);
            caller.is_some_and(|caller| caller.form.depends_on.iter().any(|name| name == service))
        };
        let mut callers: Vec<NodePlace<'_>> = table.live().filter(calls).map(place_of).collect();
        if callers.is_empty() {
            // No service depends on this one, so its callers are outside and may call at any node.
            callers = table.live().map(place_of).collect();
        }
        let warm_up_ms = policy.form.warm_up_ms;
        self.board
            .replace_targets(service, &targets, &callers, warm_up_ms);
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

fn place_of(member: &Member) -> NodePlace<'_> {
    NodePlace {
        node: &member.node,
        domain: &member.domain,
        region: &member.region,
    }
}

fn target_view(member: &Member, slots: u32, warm_up_ms: u64) -> Option<TargetView<'_>> {
    let status = match member.status() {
        MemberStatus::Alive => TargetStatus::Alive,
        MemberStatus::Suspect => TargetStatus::Suspect,
        MemberStatus::Draining => TargetStatus::Draining,
        MemberStatus::Left | MemberStatus::Dead => return None,
    };
    Some(TargetView {
        place: place_of(member),
        peer: member.peer_address.parse().ok()?,
        // The incarnation also rises when a suspicion is refuted, so it does not tell a restart.
        // A restarted target is warmed up by the slots that its own node opens step by step.
        generation: 0,
        slots,
        // The incarnation starts from the Unix time at which the node started.
        warm: unix_ms().saturating_sub(member.incarnation) > warm_up_ms,
        status,
    })
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
}

/// A target, or why there is none.
#[derive(Debug, kameo::Reply)]
pub(super) struct PickReply(pub(super) Result<TargetLease, PickError>);

impl Message<PickTarget> for CallRouter {
    type Reply = PickReply;

    async fn handle(&mut self, pick: PickTarget, ctx: &mut Context<Self, PickReply>) -> PickReply {
        if !self.services.contains(&pick.service) {
            self.refresh(&pick.service);
            self.services.insert(pick.service.clone());
        }
        if pick.first {
            self.budget.note_call();
        }
        let request = PickRequest {
            service: &pick.service,
            avoid: &pick.avoid,
            idempotent: pick.idempotent,
        };
        let now = self.context.clock.now();
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
        PickReply(lease)
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
            self.board.note_load(finish.key, load);
        }
        self.board
            .finish(finish.key, finish.picked_at, finish.result, now);
    }
}

/// Asks whether a call is tried again.
pub(super) struct DecideRetry {
    pub(super) question: RetryQuestion,
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
            max_attempts,
        }: DecideRetry,
        _: &mut Context<Self, RetryReply>,
    ) -> RetryReply {
        let settings = RetrySettings {
            max_attempts,
            ..self.settings
        };
        let now = self.context.clock.now();
        let (budget, rng) = (&mut self.budget, &mut self.rng);
        RetryReply(decide_retry(&question, &settings, budget, now, rng))
    }
}

/// Members or configuration have changed.
pub(super) struct ViewChanged;

impl Message<ViewChanged> for CallRouter {
    type Reply = ();

    async fn handle(&mut self, ViewChanged: ViewChanged, _: &mut Context<Self, ()>) {
        for service in std::mem::take(&mut self.services) {
            self.refresh(&service);
            self.services.insert(service);
        }
        let table = self.context.table();
        let peers: HashSet<SocketAddr> = table
            .members()
            .filter_map(|member| member.peer_address.parse().ok())
            .collect();
        self.authorities.retain(|peer, _| peers.contains(peer));
    }
}
