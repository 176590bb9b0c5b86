//! What the configuration in force says about a call.

use std::time::Duration;

use agatedeck_clock::Instant;
use agatedeck_records::SnapshotView;
use agatedeck_wire::{PolicyForm, RepeatRule, RouteForm, RouteLimits, WeightedService};
use axum::http::request::Parts;
use axum::http::{Method, header};
use rand::Rng;

use super::headers::text;
use super::reason::StopReason;
use crate::context::NodeContext;

/// Longest chain of calls.
pub(super) const MAX_DEPTH: u32 = 8;

/// Tenant of a call that names none.
const DEFAULT_TENANT: &str = "none";

/// Where a call goes and by which rules.
#[derive(Debug)]
pub(super) struct CallPlan {
    pub(super) service: String,
    pub(super) tenant: String,
    pub(super) class: String,
    /// When the call arrived, or the first attempt of its caller if it has come back.
    pub(super) arrived_at: Instant,
    pub(super) deadline: Instant,
    /// Hops that the call has behind it.
    pub(super) depth: u32,
    pub(super) idempotent: bool,
    /// Key under which the call runs at most once, if it must.
    pub(super) claim_key: Option<String>,
    pub(super) max_attempts: u32,
    /// Rank under load; 0 is the most urgent.
    pub(super) priority: u32,
    /// Until when an answer is of full use to the caller, if the route states that.
    pub(super) useful_until: Option<Instant>,
    /// Identity of the request, for log lines.
    pub(super) request_id: String,
}

/// Limits of a call, from its route or else from the policy of its service.
fn limits_of(route: &RouteForm, policy: &PolicyForm) -> RouteLimits {
    route.limits.unwrap_or(RouteLimits {
        repeat: policy.repeat,
        timeout_ms: policy.timeout_ms,
        max_attempts: policy.max_attempts,
        ..RouteLimits::default()
    })
}

/// The service of a call on `route`: drawn by weight where several share its calls.
fn service_of(route: &RouteForm) -> &str {
    let weight = |part: &WeightedService| u64::from(part.weight);
    let total: u64 = route.split.iter().map(weight).sum();
    if total == 0 {
        let first = route.split.first();
        return first.map_or(&route.service, |part| &part.service);
    }
    let mut drawn = rand::rng().random_range(0..total);
    for part in &route.split {
        if drawn < weight(part) {
            return &part.service;
        }
        drawn -= weight(part);
    }
    &route.service
}

impl CallPlan {
    /// Finds the route of a call and the rules for it.
    pub(super) fn of(context: &NodeContext, parts: &Parts) -> Result<Self, StopReason> {
        let served = context.config.borrow();
        // Version 0 precedes the first change and holds no route, so it says nothing about a call.
        if !served.may_serve || served.snapshot.version() == 0 {
            return Err(StopReason::NotServing);
        }
        let view = SnapshotView::new(&served.snapshot, context.local_member.reads_schema);
        let headers = &parts.headers;
        let route = view
            .route_for(host_name(parts), parts.uri.path())
            .ok_or(StopReason::NoRoute)?;
        let service = service_of(route.form);
        let policy = view.policy_of(service).ok_or(StopReason::NoPolicy)?;
        let terms = context.dialect.caller_terms(headers);
        let depth = terms.depth;
        if depth >= MAX_DEPTH {
            return Err(StopReason::TooDeep);
        }
        let limits = limits_of(route.form, policy.form);
        let limit = Duration::from_millis(limits.timeout_ms.into());
        // The limit of a route is the longest that its operators let a caller wait; that of a policy
        // only stands in for a caller that states none.
        let timeout = match terms.timeout {
            Some(timeout) if route.form.limits.is_some() => timeout.min(limit),
            Some(timeout) => timeout,
            None => limit,
        };
        let timeout = timeout.min(context.settings.calls.max_timeout);
        let (idempotent, claimed) = repetition(limits.repeat(), &parts.method);
        let claim_key = if claimed {
            let key = terms.idempotency_key.ok_or(StopReason::MissingKey)?;
            Some(key.to_owned())
        } else {
            None
        };
        let useful = Duration::from_millis(limits.target_latency_ms.into());
        let now = context.clock.now();
        Ok(Self {
            useful_until: (!useful.is_zero()).then(|| now.after(useful)),
            service: service.to_owned(),
            tenant: terms.tenant.unwrap_or(DEFAULT_TENANT).to_owned(),
            class: route.form.class.clone(),
            arrived_at: now,
            deadline: now.after(timeout),
            depth,
            idempotent,
            claim_key,
            max_attempts: limits.max_attempts.max(1),
            priority: limits.priority,
            request_id: terms.request_id.unwrap_or_default().to_owned(),
        })
    }
}

impl CallPlan {
    /// Counts the time for which an answer is of full use from the first attempt of the caller.
    pub(super) fn count_from(&mut self, first_at: Instant) {
        let useful = |until: Instant| first_at.after(until.since(self.arrived_at));
        self.useful_until = self.useful_until.map(useful);
        self.arrived_at = first_at;
    }
}

/// Whether a call may run more than once, and whether it is claimed.
fn repetition(rule: RepeatRule, method: &Method) -> (bool, bool) {
    match rule {
        RepeatRule::Always => (true, false),
        RepeatRule::SafeMethods => (method.is_idempotent(), false),
        RepeatRule::Once => (method.is_safe(), !method.is_safe()),
        RepeatRule::Never => (false, false),
    }
}

fn host_name(parts: &Parts) -> &str {
    let host = text(&parts.headers, &header::HOST).or_else(|| parts.uri.host());
    let host = host.unwrap_or_default();
    host.rsplit_once(':').map_or(host, |(name, _)| name)
}
