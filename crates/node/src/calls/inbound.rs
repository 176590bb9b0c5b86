//! The inbound path: accepts calls from other nodes and admits them to the local target.

use std::sync::Arc;
use std::time::Duration;

use agatedeck_calls::{CallOutcome, Fingerprint};
use axum::Router;
use axum::body::Body;
use axum::extract::{Request, State};
use axum::http::HeaderMap;
use axum::http::request::Parts;
use axum::http::uri::Authority;
use axum::response::Response;
use hyper::body::Body as _;
use kameo::actor::ActorRef;
use tokio::sync::watch;
use tokio::time::sleep;
use tokio_util::task::TaskTracker;

use super::crash_actor::{CrashActor, CrashView};
use super::drain_body::respond_after_drain;
use super::expect_continue::expects_continue;
use super::headers::{
    CLASS, EXPECTED_WAIT_MS, FINGERPRINT, LOAD, PRIORITY, SENT_AT, SERVICE, USEFUL_MS, WORKSPACE,
    header_number, header_text, local_answer_for_peer, requested_timeout,
};
use super::latency_actor::{CountEvent, LatencyActor};
use super::reason::StopReason;
use super::slots::{BodyClient, SlotClient, SlotRefusal, SlotRequest};
use super::target_call::{AdmittedCall, TargetCall, forward_to_target, load_in_thousandths};
use super::target_client::TargetClient;
use crate::connections::ClientConnection;
use crate::context::NodeContext;

/// Timeout of a call whose request states none.
const DEFAULT_CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Shared state of the handler of inbound calls.
pub(super) struct InboundContext {
    pub(super) node: NodeContext,
    pub(super) client: TargetClient,
    /// `None` if this node has no local target.
    pub(super) target: Option<LocalTarget>,
    pub(super) crash_actor: ActorRef<CrashActor>,
    pub(super) latency_actor: ActorRef<LatencyActor>,
    pub(super) crash_view: watch::Receiver<Arc<CrashView>>,
    /// Tracks the calls that have not ended.
    pub(super) open_calls: TaskTracker,
}

/// The address of the local target and the handles for its admission control.
pub(super) struct LocalTarget {
    pub(super) authority: Authority,
    pub(super) slots: SlotClient,
    pub(super) bodies: BodyClient,
}

/// Returns the router that handles every inbound call, whatever its path.
pub(super) fn inbound_router(context: Arc<InboundContext>) -> Router {
    Router::new().fallback(handle_call).with_state(context)
}

async fn handle_call(State(context): State<Arc<InboundContext>>, request: Request) -> Response {
    let open_token = context.open_calls.token();
    let waits_for_continue = expects_continue(request.headers());
    let (parts, mut body) = request.into_parts();
    match admit(&context, &parts, &mut body).await {
        Ok(admitted) => {
            let request = Request::from_parts(parts, body);
            let call = TargetCall::new(Arc::clone(&context), admitted, open_token);
            forward_to_target(request, call).await
        }
        Err(refusal) => {
            let mut response = refuse(&context, refusal.reason);
            let expected_wait_ms = refusal.expected_wait.as_millis();
            let expected_wait_ms = u64::try_from(expected_wait_ms).unwrap_or(u64::MAX);
            let headers = response.headers_mut();
            headers.insert(EXPECTED_WAIT_MS, expected_wait_ms.into());
            if let Some(load) = refusal.load {
                headers.insert(LOAD, load_in_thousandths(load).into());
            }
            // Reading the body would send `100 Continue` to a sender that waits for it.
            let unread = (!waits_for_continue).then_some(body);
            respond_after_drain(response, unread).await
        }
    }
}

/// Waits for a slot. If the sender expects `100 Continue`, a body that fits in memory is received
/// before that.
async fn admit(
    context: &InboundContext,
    parts: &Parts,
    body: &mut Body,
) -> Result<AdmittedCall, SlotRefusal> {
    let headers = &parts.headers;
    let refuse_with = SlotRefusal::without_wait;
    let target = context.target.as_ref();
    let target = target.ok_or_else(|| refuse_with(StopReason::NoTarget))?;
    let local_service = context.node.settings.service_name();
    if header_text(headers, &SERVICE).is_some_and(|service| service != local_service) {
        return Err(refuse_with(StopReason::Displaced));
    }
    let clock = context.node.clock;
    let timeout = requested_timeout(headers).unwrap_or(DEFAULT_CALL_TIMEOUT);
    let timeout = timeout.min(context.node.settings.calls.max_timeout);
    let now = clock.now();
    let deadline = now.after(timeout);
    let fingerprint = read_fingerprint(headers);
    if context.crash_view.borrow().is_refused(fingerprint, now) {
        return Err(refuse_with(StopReason::CrashedTargets));
    }
    let priority = header_number(headers, &PRIORITY).unwrap_or_default();
    let useful_ms = header_number(headers, &USEFUL_MS);
    let request = SlotRequest {
        workspace: header_text(headers, &WORKSPACE).unwrap_or_default(),
        priority: u32::try_from(priority).unwrap_or(u32::MAX),
        class: header_text(headers, &CLASS).unwrap_or_default(),
        sent_at: header_text(headers, &SENT_AT).and_then(|sent_at| sent_at.rsplit_once('/')),
        useful_until: useful_ms.map(|left_ms| now.after(Duration::from_millis(left_ms))),
        deadline,
        fingerprint,
    };
    if expects_continue(headers) && fits_in_memory(context, body) {
        let unread = std::mem::take(body);
        let connection = parts.extensions.get::<ClientConnection>();
        *body = target.bodies.receive(&request, unread, connection).await?;
    }
    let lease = target.slots.admit(&request, clock.now()).await?;
    if lease.delayed {
        // If the caller's node is gone, the close of its connection follows shortly and ends this
        // task.
        sleep(context.node.settings.calls.close_pause).await;
    }
    Ok(AdmittedCall {
        lease,
        fingerprint,
        arrived_at: now,
        deadline,
    })
}

/// Whether a body states a length of at most `kept_request_bytes`, so that it may be held in
/// memory.
pub(super) fn fits_in_memory(context: &InboundContext, body: &Body) -> bool {
    let limit_bytes = context.node.settings.calls.kept_request_bytes as u64;
    body.size_hint()
        .exact()
        .is_some_and(|size| size <= limit_bytes)
}

/// Reads the fingerprint from the headers. Requests without one share a fingerprint of zeros.
fn read_fingerprint(headers: &HeaderMap) -> Fingerprint {
    let hash =
        header_text(headers, &FINGERPRINT).and_then(|text| blake3::Hash::from_hex(text).ok());
    let bytes = hash.map_or([0; 32], |hash| *hash.as_bytes());
    Fingerprint::from_slice(&bytes).unwrap_or_else(|| unreachable!("a hash has 32 bytes"))
}

/// Counts a refusal and returns its answer. Nothing of the call was sent to the target.
pub(super) fn refuse(context: &InboundContext, reason: StopReason) -> Response {
    let count = CountEvent::TargetRefused(reason);
    // The actor is stopped only when the node is stopping.
    let _ = context.latency_actor.tell(count).try_send();
    local_answer_for_peer(CallOutcome::NotRun, reason)
}
