//! Resolves a call to its service, policy and limits in the active configuration.

use std::time::Duration;

use agatedeck_calls::{QuotaLimit, call_priority};
use agatedeck_clock::Instant;
use agatedeck_records::SnapshotView;
use agatedeck_wire::{PolicyForm, RepeatRule, RouteForm, RouteLimits, WeightedService};
use axum::http::request::Parts;
use axum::http::{Method, header};
use rand::Rng;

use super::headers::header_text;
use super::reason::StopReason;
use crate::context::NodeContext;
use crate::quota::{TokenLease, quota_limit};

/// Maximum number of hops in a chain of calls.
pub(super) const MAX_CALL_DEPTH: u32 = 8;

/// Workspace of a call that states none.
const DEFAULT_WORKSPACE: &str = "none";

/// Destination and limits of a call.
#[derive(Debug)]
pub(super) struct CallPlan {
    /// Version of the configuration by which the call was resolved.
    pub(super) config_version: u64,
    pub(super) service: String,
    pub(super) workspace: String,
    /// Whether the workspace is known by its key.
    pub(super) has_key: bool,
    /// Limit of the workspace, if it is known by its key and has one.
    pub(super) quota: Option<QuotaLimit>,
    /// The token of the quota that the call has taken.
    pub(super) quota_token: Option<TokenLease>,
    /// Whether the configuration has workspaces, so that callers may send credentials.
    pub(super) has_workspaces: bool,
    pub(super) class: String,
    /// When the call arrived, or the caller's first attempt if the call is a retry by the caller.
    pub(super) arrived_at: Instant,
    pub(super) deadline: Instant,
    /// Number of hops before this one.
    pub(super) depth: u32,
    pub(super) idempotent: bool,
    /// Idempotency key of a call that must run at most once.
    pub(super) claim_key: Option<String>,
    pub(super) max_attempts: u32,
    /// Priority under load; 0 is the most urgent.
    pub(super) priority: u32,
    /// Target-latency deadline: until when an answer has its full value to the caller, if the route
    /// states one.
    pub(super) useful_until: Option<Instant>,
    /// Request ID, for log lines.
    pub(super) request_id: String,
}

/// Returns the limits of a route, or those of the service's policy if the route has none.
fn effective_limits(route: &RouteForm, policy: &PolicyForm) -> RouteLimits {
    route.limits.unwrap_or(RouteLimits {
        repeat: policy.repeat,
        timeout_ms: policy.timeout_ms,
        max_attempts: policy.max_attempts,
        ..RouteLimits::default()
    })
}

/// Selects the service for a call on `route`: at random by weight if the route splits its traffic.
fn select_service(route: &RouteForm) -> &str {
    let weight = |candidate: &WeightedService| u64::from(candidate.weight);
    let total: u64 = route.split.iter().map(weight).sum();
    if total == 0 {
        let first = route.split.first();
        return first.map_or(&route.service, |candidate| &candidate.service);
    }
    let mut drawn = rand::rng().random_range(0..total);
    for candidate in &route.split {
        if drawn < weight(candidate) {
            return &candidate.service;
        }
        drawn -= weight(candidate);
    }
    &route.service
}

impl CallPlan {
    /// Finds the route of a request and the limits that apply to it.
    pub(super) fn from_request(context: &NodeContext, parts: &Parts) -> Result<Self, StopReason> {
        let served_config = context.config.borrow();
        // Version 0 precedes the first change and has no routes, so a missing route there does not
        // mean that the call has none.
        if !served_config.may_serve || served_config.snapshot.version() == 0 {
            return Err(StopReason::NotServing);
        }
        let view = SnapshotView::new(&served_config.snapshot, context.local_member.reads_schema);
        let headers = &parts.headers;
        let route = view
            .route_for(host_name(parts), parts.uri.path())
            .ok_or(StopReason::NoRoute)?;
        let service = select_service(route.form);
        let policy = view.service_policy(service).ok_or(StopReason::NoPolicy)?;
        let metadata = context.protocol.caller_metadata(headers);
        let depth = metadata.depth;
        if depth >= MAX_CALL_DEPTH {
            return Err(StopReason::TooDeep);
        }
        let limits = effective_limits(route.form, policy.form);
        let limit = Duration::from_millis(limits.timeout_ms.into());
        // The timeout of a route is an upper bound; that of a policy is only the default for
        // callers that state none.
        let timeout = match metadata.timeout {
            Some(timeout) if route.form.limits.is_some() => timeout.min(limit),
            Some(timeout) => timeout,
            None => limit,
        };
        let timeout = timeout.min(context.settings.calls.max_timeout);
        let (idempotent, claimed) = repeat_permissions(limits.repeat(), &parts.method);
        let claim_key = if claimed {
            let key = metadata.idempotency_key.ok_or(StopReason::MissingKey)?;
            Some(key.to_owned())
        } else {
            None
        };
        let has_workspaces = view.has_workspaces();
        let workspace = if has_workspaces && !route.form.public {
            let key = metadata.workspace_key.ok_or(StopReason::UnknownKey)?;
            let workspace = view.workspace_of_key(&key);
            Some(workspace.ok_or(StopReason::UnknownKey)?)
        } else {
            None
        };
        let priority = workspace.map_or(limits.priority, |workspace| {
            call_priority(workspace.form.priority, limits.priority)
        });
        let workspace_name = workspace.map(|workspace| workspace.name);
        let workspace_name = workspace_name.or(metadata.workspace);
        let useful = Duration::from_millis(limits.target_latency_ms.into());
        let now = context.clock.now();
        Ok(Self {
            useful_until: (!useful.is_zero()).then(|| now.after(useful)),
            config_version: served_config.snapshot.version(),
            service: service.to_owned(),
            workspace: workspace_name.unwrap_or(DEFAULT_WORKSPACE).to_owned(),
            has_key: workspace.is_some(),
            quota: workspace.and_then(|workspace| quota_limit(context, workspace.form)),
            quota_token: None,
            has_workspaces,
            class: route.form.class.clone(),
            arrived_at: now,
            deadline: now.after(timeout),
            depth,
            idempotent,
            claim_key,
            max_attempts: limits.max_attempts.max(1),
            priority,
            request_id: metadata.request_id.unwrap_or_default().to_owned(),
        })
    }
}

impl CallPlan {
    /// Moves the deadline to `latest` if it is later.
    pub(super) fn limit_deadline(&mut self, latest: Instant) {
        self.deadline = self.deadline.min(latest);
    }

    /// Sets the arrival time to that of the caller's first attempt and moves the target-latency
    /// deadline accordingly.
    pub(super) fn set_first_arrival(&mut self, first_arrival_at: Instant) {
        let shifted = |until: Instant| first_arrival_at.after(until.since(self.arrived_at));
        self.useful_until = self.useful_until.map(shifted);
        self.arrived_at = first_arrival_at;
    }
}

/// Returns whether a call is idempotent and whether it needs a claim.
fn repeat_permissions(rule: RepeatRule, method: &Method) -> (bool, bool) {
    match rule {
        RepeatRule::Always => (true, false),
        RepeatRule::SafeMethods => (method.is_idempotent(), false),
        RepeatRule::Once => (method.is_safe(), !method.is_safe()),
        RepeatRule::Never => (false, false),
    }
}

/// Name of the host that a request is addressed to, without the port.
pub(super) fn host_name(parts: &Parts) -> &str {
    let host = header_text(&parts.headers, &header::HOST).or_else(|| parts.uri.host());
    let host = host.unwrap_or_default();
    host.rsplit_once(':').map_or(host, |(name, _)| name)
}
