//! The caller's side: takes calls of local callers.

use std::sync::Arc;

use agatedeck_calls::{CallOutcome, Fingerprint, RefusedCall, RequestIdentity, RequestView};
use axum::Router;
use axum::extract::{Request, State};
use axum::http::HeaderValue;
use axum::http::header::CONNECTION;
use axum::http::request::Parts;
use axum::response::Response;
use kameo::actor::ActorRef;
use tokio::sync::watch;
use tokio_util::task::TaskTracker;

use super::call_task::{CallRequest, CallTask};
use super::claim_actor::ClaimActor;
use super::crash_actor::{CrashActor, CrashView};
use super::drain_body::after_request;
use super::headers::{IDEMPOTENCY_KEY, header_text, local_answer_for_caller};
use super::http_client::CallClient;
use super::latency_actor::{LatencyActor, RecordCall};
use super::plan::CallPlan;
use super::reason::StopReason;
use super::request_body::RequestBody;
use super::router::CallRouter;
use crate::context::NodeContext;

/// What the tasks of calls work with.
#[derive(Debug)]
pub(super) struct GatewayContext {
    pub(super) context: NodeContext,
    pub(super) client: CallClient,
    pub(super) router: ActorRef<CallRouter>,
    pub(super) claims: ActorRef<ClaimActor>,
    pub(super) crash_actor: ActorRef<CrashActor>,
    pub(super) latency: ActorRef<LatencyActor>,
    pub(super) crashes: watch::Receiver<Arc<CrashView>>,
    pub(super) draining: watch::Receiver<bool>,
    /// Calls that have not ended.
    pub(super) open: TaskTracker,
}

/// Takes every call.
pub(super) fn gateway_router(shared: Arc<GatewayContext>) -> Router {
    Router::new().fallback(take_call).with_state(shared)
}

async fn take_call(State(shared): State<Arc<GatewayContext>>, request: Request) -> Response {
    // Taken before the check, so that a call is either counted as open or refused.
    let open = shared.open.token();
    let (parts, body) = request.into_parts();
    let draining = *shared.draining.borrow();
    if draining {
        let mut response = refuse(&shared, None, StopReason::Draining);
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
        return after_request(response, Some(body)).await;
    }
    let plan = match CallPlan::of(&shared.context, &parts) {
        Ok(plan) => plan,
        Err(reason) => {
            let response = refuse(&shared, None, reason);
            return after_request(response, Some(body)).await;
        }
    };
    let settings = &shared.context.settings.calls;
    let claimed = plan.claim_key.is_some();
    let limit = if claimed {
        settings.claimed_request_bytes
    } else {
        settings.kept_request_bytes
    };
    let deadline = shared.context.clock.runtime_instant(plan.deadline);
    let body = tokio::time::timeout_at(deadline, RequestBody::read(body, limit)).await;
    let body = match body {
        Ok(Ok(body)) if claimed && !body.is_kept() => {
            let response = refuse(&shared, Some(plan), StopReason::BodyTooLarge);
            return after_request(response, body.unread().await).await;
        }
        Ok(Ok(body)) => body,
        Ok(Err(_)) => return refuse(&shared, Some(plan), StopReason::BodyIncomplete),
        Err(_) => return refuse(&shared, Some(plan), StopReason::Deadline),
    };
    let digest = request_digest(&parts, &body);
    let fingerprint = fingerprint(&plan.service, &parts, &digest);
    let now = shared.context.clock.now();
    let refused = shared.crashes.borrow().is_refused(fingerprint, now);
    if refused {
        let response = refuse(&shared, Some(plan), StopReason::CrashedTargets);
        return after_request(response, body.unread().await).await;
    }
    let request = CallRequest {
        parts,
        body,
        digest,
    };
    CallTask::new(shared, plan, &request, fingerprint, open)
        .run(request)
        .await
}

/// Answers a call of which nothing was sent.
fn refuse(shared: &GatewayContext, plan: Option<CallPlan>, reason: StopReason) -> Response {
    let question = RefusedCall {
        priority: plan.as_ref().map_or(0, |plan| plan.priority),
        expected_wait: None,
    };
    let (tenant, class, request_id) = plan.map_or_else(Default::default, |plan| {
        (plan.tenant, plan.class, plan.request_id)
    });
    let record = RecordCall {
        tenant,
        class,
        request_id,
        target: String::new(),
        outcome: CallOutcome::NotRun,
        attempts: 0,
        reason: Some(reason),
        latency: std::time::Duration::ZERO,
    };
    // The keeper is gone only when the node is stopping.
    let _ = shared.latency.tell(record).try_send();
    let protocol = &*shared.context.protocol;
    local_answer_for_caller(protocol, CallOutcome::NotRun, reason, &question)
}

/// Digest of what makes a request the same request: method, path, and the body as far as it is kept.
/// The stated length tells apart large bodies that start alike.
fn request_digest(parts: &Parts, body: &RequestBody) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let length =
        header_text(&parts.headers, &axum::http::header::CONTENT_LENGTH).unwrap_or_default();
    for part in [parts.method.as_str(), path, length] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    hasher.update(body.head());
    *hasher.finalize().as_bytes()
}

fn fingerprint(service: &str, parts: &Parts, digest: &[u8]) -> Fingerprint {
    let key = header_text(&parts.headers, &IDEMPOTENCY_KEY);
    Fingerprint::from_request(&RequestView {
        service,
        method: parts.method.as_str(),
        path: parts.uri.path(),
        query: parts.uri.query().unwrap_or_default(),
        identity: key.map_or(RequestIdentity::Body(digest), RequestIdentity::Key),
    })
}
