//! The gateway: accepts calls from local callers.

use std::sync::Arc;
use std::time::Duration;

use agatedeck_calls::{CallOutcome, Fingerprint, RefusedCall, RequestView};
use axum::Router;
use axum::extract::{Request, State};
use axum::http::HeaderValue;
use axum::http::header::CONNECTION;
use axum::http::request::Parts;
use axum::response::Response;
use kameo::actor::ActorRef;
use tokio::sync::watch;
use tokio_util::task::TaskTracker;

use super::attempt_request::CallRequest;
use super::call_drain::{DrainProgress, wait_for_cutoff};
use super::call_task::CallTask;
use super::claim_actor::ClaimActor;
use super::crash_actor::{CrashActor, CrashView};
use super::drain_body::respond_after_drain;
use super::headers::local_answer_for_caller;
use super::http_client::CallClients;
use super::latency_actor::{LatencyActor, RecordCall};
use super::plan::{CallPlan, host_name};
use super::reason::StopReason;
use super::refusal_trail::RefusalTrail;
use super::request_body::{BodySource, ReadError, RequestBody};
use super::router::CallRouter;
use crate::connections::ClientConnection;
use crate::context::NodeContext;
use crate::pipelining::RunAheadPolicy;
use crate::quota::QuotaClient;

/// State shared by the tasks of calls.
#[derive(Debug)]
pub(super) struct GatewayContext {
    pub(super) context: NodeContext,
    pub(super) clients: CallClients,
    pub(super) router: ActorRef<CallRouter>,
    pub(super) claim_actor: ActorRef<ClaimActor>,
    pub(super) crash_actor: ActorRef<CrashActor>,
    pub(super) latency_actor: ActorRef<LatencyActor>,
    pub(super) crash_view: watch::Receiver<Arc<CrashView>>,
    pub(super) quotas: QuotaClient,
    pub(super) drain: watch::Receiver<DrainProgress>,
    /// Tracks the calls that have not ended.
    pub(super) open_calls: TaskTracker,
}

/// Builds a router that handles every path.
pub(super) fn gateway_router(gateway: Arc<GatewayContext>) -> Router {
    Router::new().fallback(handle_call).with_state(gateway)
}

impl RunAheadPolicy for GatewayContext {
    fn may_run_ahead(&self, head: &Parts) -> bool {
        let drain = *self.drain.borrow();
        !drain.refuses_calls
            && drain.ends_at.is_none()
            && head.method.is_safe()
            && CallPlan::from_request(&self.context, head).is_ok_and(|plan| plan.idempotent)
    }
}

/// Answers a call; at the end of the drain also one that has not ended, before the process does.
async fn handle_call(State(gateway): State<Arc<GatewayContext>>, request: Request) -> Response {
    let cutoff = wait_for_cutoff(gateway.drain.clone());
    tokio::select! {
        response = serve_call(Arc::clone(&gateway), request) => response,
        () = cutoff => {
            let (outcome, reason) = (CallOutcome::Unknown, StopReason::Deadline);
            let protocol = &*gateway.context.protocol;
            local_answer_for_caller(protocol, outcome, reason, &RefusedCall::default())
        }
    }
}

async fn serve_call(gateway: Arc<GatewayContext>, request: Request) -> Response {
    // Created before the drain is checked, so that every call is either counted as open or
    // refused.
    let open_token = gateway.open_calls.token();
    let (parts, body) = request.into_parts();
    let drain = *gateway.drain.borrow();
    if drain.refuses_calls {
        let response = refuse_and_close(&gateway, None, StopReason::Draining);
        return respond_after_drain(response, Some(body)).await;
    }
    let mut plan = match CallPlan::from_request(&gateway.context, &parts) {
        Ok(mut plan) => {
            if let Some(ends_at) = drain.ends_at {
                // The target gets no more time than this node can wait for its answer.
                plan.limit_deadline(gateway.context.clock.instant(ends_at));
            }
            plan
        }
        Err(reason) => {
            let response = refuse_call(&gateway, None, reason);
            return respond_after_drain(response, Some(body)).await;
        }
    };
    // A call that waited in the socket, such as while this process stood still, is checked when it is
    // read, which is later than it was sent.
    if plan.has_key && !gateway.context.permits_keys(plan.config_version) {
        let response = refuse_call(&gateway, Some(plan), StopReason::KeyUnconfirmed);
        return respond_after_drain(response, Some(body)).await;
    }
    if plan.quota.is_some() {
        match gateway.quotas.take(&plan.workspace).await {
            Ok(token) => plan.quota_token = token,
            Err(token_wait) => {
                let response = refuse_over_quota(&gateway, plan, token_wait);
                return respond_after_drain(response, Some(body)).await;
            }
        }
    }
    let settings = &gateway.context.settings.calls;
    let claimed = plan.claim_key.is_some();
    let max_buffered_bytes = if claimed {
        settings.claimed_request_bytes
    } else {
        settings.kept_request_bytes
    };
    let deadline = gateway.context.clock.runtime_instant(plan.deadline);
    let connection = parts.extensions.get::<ClientConnection>().cloned();
    let source = BodySource {
        connection: connection.as_ref(),
        account: &gateway.context.memory,
    };
    let body = RequestBody::read(body, max_buffered_bytes, &source);
    let body = tokio::time::timeout_at(deadline, body).await;
    let body = match body {
        Ok(Ok(body)) if claimed && !body.is_buffered() => {
            let response = refuse_call(&gateway, Some(plan), StopReason::BodyTooLarge);
            return respond_after_drain(response, body.into_unread().await).await;
        }
        Ok(Ok(body)) => body,
        Ok(Err(ReadError::Incomplete)) => {
            return refuse_call(&gateway, Some(plan), StopReason::BodyIncomplete);
        }
        Ok(Err(error)) => {
            let response = refuse_and_close(&gateway, Some(plan), StopReason::MemoryShort);
            let unread = match error {
                ReadError::MemoryShort(body) => Some(body),
                ReadError::Incomplete | ReadError::Stalled => None,
            };
            return respond_after_drain(response, unread).await;
        }
        Err(_) => return refuse_call(&gateway, Some(plan), StopReason::Deadline),
    };
    let fingerprint = request_fingerprint(&gateway.context, &parts, &body);
    let now = gateway.context.clock.now();
    let is_refused = gateway.crash_view.borrow().is_refused(fingerprint, now);
    if is_refused {
        let response = refuse_call(&gateway, Some(plan), StopReason::CrashedTargets);
        return respond_after_drain(response, body.into_unread().await).await;
    }
    let request = CallRequest { parts, body };
    CallTask::new(gateway, plan, &request, fingerprint, open_token)
        .run(request)
        .await
}

/// As [`refuse_call`], and closes the connection of the caller.
fn refuse_and_close(
    gateway: &GatewayContext,
    plan: Option<CallPlan>,
    reason: StopReason,
) -> Response {
    let mut response = refuse_call(gateway, plan, reason);
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
    response
}

/// Records and answers a call that was refused before any attempt.
fn refuse_call(gateway: &GatewayContext, plan: Option<CallPlan>, reason: StopReason) -> Response {
    let refused_call = RefusedCall {
        priority: plan.as_ref().map_or(0, |plan| plan.priority),
        expected_wait: None,
    };
    refuse_with_wait(gateway, plan, reason, &refused_call)
}

/// Refuses a call of a workspace that has no token, which is likely to get one after `token_wait`. Its
/// priority makes no difference: only calls of the same workspace compete for the token.
fn refuse_over_quota(gateway: &GatewayContext, plan: CallPlan, token_wait: Duration) -> Response {
    let refused_call = RefusedCall {
        priority: 0,
        expected_wait: Some(token_wait),
    };
    refuse_with_wait(
        gateway,
        Some(plan),
        StopReason::QuotaExceeded,
        &refused_call,
    )
}

fn refuse_with_wait(
    gateway: &GatewayContext,
    plan: Option<CallPlan>,
    reason: StopReason,
    refused_call: &RefusedCall,
) -> Response {
    let (workspace, class, request_id) = plan.map_or_else(Default::default, |plan| {
        if let Some(token) = plan.quota_token {
            token.give_back();
        }
        (plan.workspace, plan.class, plan.request_id)
    });
    let record = RecordCall {
        workspace,
        class,
        request_id,
        target: String::new(),
        outcome: CallOutcome::NotRun,
        attempts: 0,
        refusals: RefusalTrail::default(),
        reason: Some(reason),
        latency: Duration::ZERO,
    };
    // The actor stops only when the node stops.
    let _ = gateway.latency_actor.tell(record).try_send();
    let protocol = &*gateway.context.protocol;
    local_answer_for_caller(protocol, CallOutcome::NotRun, reason, refused_call)
}

/// Fingerprint of a request. How its body is framed and read makes no difference: of a body that is too
/// large to buffer, it covers the first `kept_request_bytes` bytes.
fn request_fingerprint(context: &NodeContext, parts: &Parts, body: &RequestBody) -> Fingerprint {
    Fingerprint::from_request(&RequestView {
        caller: context.settings.service_name(),
        host: host_name(parts),
        method: parts.method.as_str(),
        path: parts.uri.path(),
        query: parts.uri.query().unwrap_or_default(),
        body: body.first_bytes(context.settings.calls.kept_request_bytes),
    })
}
