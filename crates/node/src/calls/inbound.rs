//! The inbound path: accepts calls from other nodes and forwards them to the local target.

use std::sync::Arc;
use std::time::Duration;

use agatedeck_calls::{CallOutcome, Fingerprint};
use agatedeck_clock::Instant;
use axum::Router;
use axum::body::Body;
use axum::extract::{Request, State};
use axum::http::uri::{Authority, PathAndQuery, Scheme};
use axum::http::{HeaderMap, Uri, header, uri};
use axum::response::Response;
use bytes::Bytes;
use hyper::body::{Body as _, Incoming};
use kameo::actor::ActorRef;
use tokio::sync::watch;
use tokio::time::{sleep, timeout_at};
use tokio_util::task::TaskTracker;
use tokio_util::task::task_tracker::TaskTrackerToken;

use super::answer_body::{AnswerBody, AnswerObserver};
use super::crash_actor::{CrashActor, CrashView, RecordCompletion};
use super::drain_body::{BodyRecovery, make_recoverable, respond_after_drain};
use super::expect_continue::expects_continue;
use super::headers::{
    CALLER_SERVICE, CLASS, EXPECTED_WAIT_MS, FINGERPRINT, LOAD, OUTCOME, PRIORITY, REASON, SENT_AT,
    SERVICE, USEFUL_MS, WORKSPACE, header_number, header_text, local_answer_for_peer,
    outcome_value, requested_timeout, strip_hop_by_hop_headers,
};
use super::http_client::{CallClient, is_body_or_parse_error};
use super::latency_actor::{CountEvent, LatencyActor};
use super::reason::StopReason;
use super::slots::{BodyClient, CallCompletion, SlotClient, SlotLease, SlotRefusal, SlotRequest};
use crate::adapters::{AnswerKind, TargetMetadata};
use crate::context::NodeContext;

/// Timeout of a call whose request states none.
const DEFAULT_CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Upper bound of the reported load, which is the number of calls at the target divided by its
/// slots.
const MAX_REPORTED_LOAD: f64 = 8.0;

/// Shared state of the handler of inbound calls.
pub(super) struct InboundContext {
    pub(super) node: NodeContext,
    pub(super) client: CallClient,
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
    match admit(&context, &parts.headers, &mut body).await {
        Ok(admitted) => {
            let request = Request::from_parts(parts, body);
            let call = InboundCall {
                context: Arc::clone(&context),
                lease: Some(admitted.lease),
                fingerprint: admitted.fingerprint,
                _open_token: open_token,
            };
            forward_to_target(request, call, admitted.deadline).await
        }
        Err(SlotRefusal {
            reason,
            expected_wait,
        }) => {
            let mut response = refuse(&context, reason);
            let expected_wait_ms = u64::try_from(expected_wait.as_millis()).unwrap_or(u64::MAX);
            response
                .headers_mut()
                .insert(EXPECTED_WAIT_MS, expected_wait_ms.into());
            // Reading the body would send `100 Continue` to a sender that waits for it.
            let unread = (!waits_for_continue).then_some(body);
            respond_after_drain(response, unread).await
        }
    }
}

/// A call that holds a slot.
struct AdmittedCall {
    lease: SlotLease,
    fingerprint: Fingerprint,
    deadline: Instant,
}

/// Waits for a slot. If the sender expects `100 Continue`, a body that fits in memory is received
/// before that.
async fn admit(
    context: &InboundContext,
    headers: &HeaderMap,
    body: &mut Body,
) -> Result<AdmittedCall, SlotRefusal> {
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
        *body = target.bodies.receive(&request, unread).await?;
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
        deadline,
    })
}

/// Forwards a call that holds a slot to the target.
async fn forward_to_target(request: Request, mut call: InboundCall, deadline: Instant) -> Response {
    let context = Arc::clone(&call.context);
    let runtime_deadline = context.node.clock.runtime_instant(deadline);
    let load = call.lease.as_ref().map_or(0.0, |lease| lease.load);
    let protocol = Arc::clone(&context.node.protocol);
    let request_id = protocol.caller_metadata(request.headers()).request_id;
    let request_id = request_id.map(str::to_owned);
    let target_id = call
        .lease
        .as_ref()
        .map(|lease| Arc::clone(&lease.target_id));
    let caller = header_text(request.headers(), &CALLER_SERVICE)
        .unwrap_or_default()
        .to_owned();
    let metadata = TargetMetadata {
        remaining: deadline.since(context.node.clock.now()),
        target_id: target_id.as_deref().unwrap_or_default(),
        caller_service: &caller,
    };
    let Some((request, recovery)) = build_target_request(request, &context, &metadata) else {
        return refuse(&context, StopReason::Unreachable);
    };
    let answer = match timeout_at(runtime_deadline, context.client.request(request)).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(error)) if error.is_connect() => {
            call.complete(CallCompletion::NotSent);
            let response = refuse(&context, StopReason::Unreachable);
            let unread = match recovery {
                Some(recovery) => recovery.recover().await,
                None => None,
            };
            return respond_after_drain(response, unread).await;
        }
        Ok(Err(error)) => {
            call.complete(if is_body_or_parse_error(&error) {
                CallCompletion::Cancelled
            } else {
                CallCompletion::ConnectionLost
            });
            return local_answer_for_peer(CallOutcome::Unknown, StopReason::NoAnswer);
        }
        // Dropping the request future closes the connection, which cancels the call at the target.
        Err(_) => {
            call.complete(CallCompletion::Cancelled);
            return local_answer_for_peer(CallOutcome::Unknown, StopReason::Deadline);
        }
    };
    let (mut parts, body) = answer.into_parts();
    match protocol.classify_answer(request_id.as_deref(), parts.status, &parts.headers) {
        AnswerKind::Answered => {}
        AnswerKind::Declined => {
            call.complete(CallCompletion::Cancelled);
            return refuse(&context, StopReason::Declined);
        }
        AnswerKind::WrongTarget => {
            call.complete(CallCompletion::Cancelled);
            return refuse(&context, StopReason::Displaced);
        }
        AnswerKind::Unusable => {
            call.complete(CallCompletion::Cancelled);
            return local_answer_for_peer(CallOutcome::Unknown, StopReason::AnswerUnusable);
        }
    }
    if !protocol.allows_close_delimited_answers() && !is_self_delimited(&parts.headers, &body) {
        call.complete(CallCompletion::Cancelled);
        return local_answer_for_peer(CallOutcome::Unknown, StopReason::AnswerUnbounded);
    }
    let headers = &mut parts.headers;
    strip_hop_by_hop_headers(headers);
    headers.remove(REASON);
    headers.insert(OUTCOME, outcome_value(CallOutcome::Answered));
    headers.insert(LOAD, load_in_thousandths(load).into());
    if body.is_end_stream() {
        call.on_complete();
        return Response::from_parts(parts, Body::empty());
    }
    let body = AnswerBody::new(Bytes::new(), body, runtime_deadline, call);
    Response::from_parts(parts, Body::new(body))
}

/// Whether the end of the answer is distinguishable from a lost connection: the answer states its
/// length or uses chunked encoding.
fn is_self_delimited(headers: &HeaderMap, body: &Incoming) -> bool {
    body.size_hint().exact().is_some() || headers.contains_key(header::TRANSFER_ENCODING)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped to 0 to 8000"
)]
fn load_in_thousandths(load: f64) -> u16 {
    (load.clamp(0.0, MAX_REPORTED_LOAD) * 1000.0) as u16
}

/// Whether a body states a length of at most `kept_request_bytes`, so that it may be held in
/// memory.
fn fits_in_memory(context: &InboundContext, body: &Body) -> bool {
    let limit_bytes = context.node.settings.calls.kept_request_bytes as u64;
    body.size_hint()
        .exact()
        .is_some_and(|size| size <= limit_bytes)
}

/// Builds the request to the target. For a body that does not fit in memory, also returns the
/// handle that recovers its unsent rest.
fn build_target_request(
    request: Request,
    context: &InboundContext,
    metadata: &TargetMetadata<'_>,
) -> Option<(Request, Option<BodyRecovery>)> {
    let target_authority = &context.target.as_ref()?.authority;
    let (mut parts, body) = request.into_parts();
    let (body, recovery) = if fits_in_memory(context, &body) {
        (body, None)
    } else {
        let (body, recovery) = make_recoverable(body);
        (body, Some(recovery))
    };
    let mut uri_parts = uri::Parts::default();
    uri_parts.scheme = Some(Scheme::HTTP);
    uri_parts.authority = Some(target_authority.clone());
    let path = parts.uri.path_and_query().cloned();
    uri_parts.path_and_query = Some(path.unwrap_or_else(|| PathAndQuery::from_static("/")));
    parts.uri = Uri::from_parts(uri_parts).ok()?;
    strip_hop_by_hop_headers(&mut parts.headers);
    let protocol = &context.node.protocol;
    protocol.rewrite_request_headers(&mut parts.headers, metadata);
    Some((Request::from_parts(parts, body), recovery))
}

/// Reads the fingerprint from the headers. Requests without one share a fingerprint of zeros.
fn read_fingerprint(headers: &HeaderMap) -> Fingerprint {
    let hash =
        header_text(headers, &FINGERPRINT).and_then(|text| blake3::Hash::from_hex(text).ok());
    let bytes = hash.map_or([0; 32], |hash| *hash.as_bytes());
    Fingerprint::from_slice(&bytes).unwrap_or_else(|| unreachable!("a hash has 32 bytes"))
}

/// Counts a refusal and returns its answer. Nothing of the call was sent to the target.
fn refuse(context: &InboundContext, reason: StopReason) -> Response {
    let count = CountEvent::TargetRefused(reason);
    // The actor is stopped only when the node is stopping.
    let _ = context.latency_actor.tell(count).try_send();
    local_answer_for_peer(CallOutcome::NotRun, reason)
}

/// Holds the slot of a call until its answer has ended. If it is dropped before, the caller's node
/// has disconnected, and the connection to the target is closed together with the answer body.
struct InboundCall {
    context: Arc<InboundContext>,
    lease: Option<SlotLease>,
    fingerprint: Fingerprint,
    /// Keeps the call in the tracker of open calls until this value is dropped.
    _open_token: TaskTrackerToken,
}

impl InboundCall {
    fn complete(&mut self, completion: CallCompletion) {
        if let Some(lease) = self.lease.take() {
            lease.complete(completion);
        }
    }
}

impl AnswerObserver for InboundCall {
    fn on_complete(&mut self) {
        self.complete(CallCompletion::Answered);
        if self.context.crash_view.borrow().has_reports {
            let completion = RecordCompletion(self.fingerprint);
            let _ = self.context.crash_actor.tell(completion).try_send();
        }
    }

    fn on_truncated(&mut self, _: &hyper::Error) {
        self.complete(CallCompletion::ConnectionLost);
    }

    fn on_deadline_passed(&mut self) {
        self.complete(CallCompletion::Cancelled);
    }
}
