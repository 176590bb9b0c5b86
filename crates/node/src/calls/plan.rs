//! What the configuration in force says about a call.

use std::time::Duration;

use agatedeck_clock::Instant;
use agatedeck_records::SnapshotView;
use agatedeck_wire::RepeatRule;
use axum::http::request::Parts;
use axum::http::{HeaderMap, Method, header};

use super::headers::{ATTEMPT, DEPTH, IDEMPOTENCY_KEY, TENANT, number, stated_timeout, text};
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
    pub(super) deadline: Instant,
    /// Hops that the call has behind it.
    pub(super) depth: u32,
    pub(super) idempotent: bool,
    /// Key under which the call runs at most once, if it must.
    pub(super) claim_key: Option<String>,
    pub(super) max_attempts: u32,
}

impl CallPlan {
    /// Finds the route of a call and the rules for it.
    pub(super) fn of(context: &NodeContext, parts: &Parts) -> Result<Self, StopReason> {
        let served = context.config.borrow();
        if !served.may_serve {
            return Err(StopReason::NotServing);
        }
        let view = SnapshotView::new(&served.snapshot, context.own.reads_schema);
        let headers = &parts.headers;
        let route = view
            .route_for(host_name(parts), parts.uri.path())
            .ok_or(StopReason::NoRoute)?;
        let policy = view
            .policy_of(&route.form.service)
            .ok_or(StopReason::NoPolicy)?;
        let depth = depth(headers);
        if depth >= MAX_DEPTH {
            return Err(StopReason::TooDeep);
        }
        let policy_timeout = Duration::from_millis(policy.form.timeout_ms.into());
        let timeout = stated_timeout(headers).unwrap_or(policy_timeout);
        let timeout = timeout.min(context.settings.calls.max_timeout);
        let (idempotent, claimed) = repetition(policy.form.repeat(), &parts.method);
        let claim_key = if claimed {
            let key = text(headers, &IDEMPOTENCY_KEY).ok_or(StopReason::MissingKey)?;
            Some(key.to_owned())
        } else {
            None
        };
        Ok(Self {
            service: route.form.service.clone(),
            tenant: text(headers, &TENANT).unwrap_or(DEFAULT_TENANT).to_owned(),
            class: route.form.class.clone(),
            deadline: context.clock.now().after(timeout),
            depth,
            idempotent,
            claim_key,
            max_attempts: policy.form.max_attempts.max(1),
        })
    }
}

/// Whether a call may run more than once, and whether it is claimed.
fn repetition(rule: RepeatRule, method: &Method) -> (bool, bool) {
    match rule {
        RepeatRule::Always => (true, false),
        RepeatRule::SafeMethods => (method.is_idempotent(), false),
        RepeatRule::Once => (method.is_safe(), !method.is_safe()),
    }
}

/// Hops behind the call. A call that carries the number of an attempt is an inner call even if its
/// target did not pass the depth on.
fn depth(headers: &HeaderMap) -> u32 {
    let stated = number(headers, &DEPTH).unwrap_or_default();
    let stated = u32::try_from(stated).unwrap_or(u32::MAX);
    stated.max(u32::from(headers.contains_key(&ATTEMPT)))
}

fn host_name(parts: &Parts) -> &str {
    let host = text(&parts.headers, &header::HOST).or_else(|| parts.uri.host());
    let host = host.unwrap_or_default();
    host.rsplit_once(':').map_or(host, |(name, _)| name)
}
