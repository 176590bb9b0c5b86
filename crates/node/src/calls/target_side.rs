//! The target's side: takes calls of other nodes and sends them to the local target.

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
use super::ask_first::asks_first;
use super::crash_actor::{CrashActor, CrashView, RecordCompletion};
use super::drain_body::{BodyReturn, after_request, lend};
use super::headers::{
    CALLER_SERVICE, CLASS, EXPECTED_WAIT_MS, FINGERPRINT, LOAD, OUTCOME, PRIORITY, REASON, SENT_AT,
    SERVICE, USEFUL_MS, WORKSPACE, header_number, header_text, local_answer_for_peer,
    outcome_value, requested_timeout, strip_hop_by_hop_headers,
};
use super::http_client::{CallClient, is_body_or_parse_error};
use super::latency_actor::{CountEvent, LatencyActor};
use super::reason::StopReason;
use super::slots::{BodyGateway, RunEnd, SlotGate, SlotLease, SlotRefusal, SlotRequest};
use crate::adapters::{AnswerKind, TargetMetadata};
use crate::context::NodeContext;

/// Time for a call from a node that states none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest load that is reported: calls at the target over its slots.
const MAX_LOAD: f64 = 8.0;

/// What the handler works with.
pub(super) struct TargetContext {
    pub(super) context: NodeContext,
    pub(super) client: CallClient,
    /// `None` if there is no target beside this node.
    pub(super) target: Option<LocalTarget>,
    pub(super) crash_actor: ActorRef<CrashActor>,
    pub(super) latency: ActorRef<LatencyActor>,
    pub(super) crashes: watch::Receiver<Arc<CrashView>>,
    /// Calls that have not ended.
    pub(super) open: TaskTracker,
}

/// The local target and the ways to it.
pub(super) struct LocalTarget {
    pub(super) authority: Authority,
    pub(super) slots: SlotGate,
    pub(super) bodies: BodyGateway,
}

/// Takes every call.
pub(super) fn target_router(shared: Arc<TargetContext>) -> Router {
    Router::new().fallback(take_call).with_state(shared)
}

async fn take_call(State(shared): State<Arc<TargetContext>>, request: Request) -> Response {
    let open = shared.open.token();
    let asks_first = asks_first(request.headers());
    let (parts, mut body) = request.into_parts();
    match admit(&shared, &parts.headers, &mut body).await {
        Ok(admitted) => {
            let request = Request::from_parts(parts, body);
            let watch = RunWatch {
                shared: Arc::clone(&shared),
                lease: Some(admitted.lease),
                fingerprint: admitted.fingerprint,
                _open: open,
            };
            run(request, watch, admitted.deadline).await
        }
        Err(SlotRefusal { reason, room_after }) => {
            let mut response = refuse(&shared, reason);
            let room = u64::try_from(room_after.as_millis()).unwrap_or(u64::MAX);
            response.headers_mut().insert(EXPECTED_WAIT_MS, room.into());
            // To read the body of a sender that waits would ask for it.
            let unread = (!asks_first).then_some(body);
            after_request(response, unread).await
        }
    }
}

/// A call that has a slot.
struct AdmittedCall {
    lease: SlotLease,
    fingerprint: Fingerprint,
    deadline: Instant,
}

/// Waits for a slot, after the body if its sender waits to be asked for it.
async fn admit(
    shared: &TargetContext,
    headers: &HeaderMap,
    body: &mut Body,
) -> Result<AdmittedCall, SlotRefusal> {
    let refusal = SlotRefusal::at_once;
    let target = shared.target.as_ref();
    let target = target.ok_or_else(|| refusal(StopReason::NoTarget))?;
    let own = shared.context.settings.service_name();
    if header_text(headers, &SERVICE).is_some_and(|service| service != own) {
        return Err(refusal(StopReason::Displaced));
    }
    let clock = shared.context.clock;
    let timeout = requested_timeout(headers).unwrap_or(DEFAULT_TIMEOUT);
    let timeout = timeout.min(shared.context.settings.calls.max_timeout);
    let now = clock.now();
    let deadline = now.after(timeout);
    let fingerprint = stated_fingerprint(headers);
    if shared.crashes.borrow().is_refused(fingerprint, now) {
        return Err(refusal(StopReason::CrashedTargets));
    }
    let priority = header_number(headers, &PRIORITY).unwrap_or_default();
    let useful = header_number(headers, &USEFUL_MS);
    let request = SlotRequest {
        tenant: header_text(headers, &WORKSPACE).unwrap_or_default(),
        priority: u32::try_from(priority).unwrap_or(u32::MAX),
        class: header_text(headers, &CLASS).unwrap_or_default(),
        sent: header_text(headers, &SENT_AT).and_then(|sent| sent.rsplit_once('/')),
        useful_until: useful.map(|left| now.after(Duration::from_millis(left))),
        deadline,
        fingerprint,
    };
    if asks_first(headers) && is_kept(shared, body) {
        let asked = std::mem::take(body);
        *body = target.bodies.receive(&request, asked).await?;
    }
    let lease = target.slots.admit(&request, clock.now()).await?;
    if lease.held_up {
        // If the caller's node has gone, its close is right behind, and ends this task.
        sleep(shared.context.settings.calls.close_pause).await;
    }
    Ok(AdmittedCall {
        lease,
        fingerprint,
        deadline,
    })
}

/// Sends a call that has a slot to the target.
async fn run(request: Request, mut watch: RunWatch, deadline: Instant) -> Response {
    let shared = Arc::clone(&watch.shared);
    let until = shared.context.clock.runtime_instant(deadline);
    let load = watch.lease.as_ref().map_or(0.0, |lease| lease.load);
    let protocol = Arc::clone(&shared.context.protocol);
    let request_id = protocol.caller_metadata(request.headers()).request_id;
    let request_id = request_id.map(str::to_owned);
    let target_id = watch
        .lease
        .as_ref()
        .map(|lease| Arc::clone(&lease.target_id));
    let caller = header_text(request.headers(), &CALLER_SERVICE)
        .unwrap_or_default()
        .to_owned();
    let metadata = TargetMetadata {
        remaining: deadline.since(shared.context.clock.now()),
        target_id: target_id.as_deref().unwrap_or_default(),
        caller_service: &caller,
    };
    let Some((request, back)) = to_target(request, &shared, &metadata) else {
        return refuse(&shared, StopReason::Unreachable);
    };
    let answer = match timeout_at(until, shared.client.request(request)).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(error)) if error.is_connect() => {
            watch.end(RunEnd::NotSent);
            let response = refuse(&shared, StopReason::Unreachable);
            let rest = match back {
                Some(back) => back.rest().await,
                None => None,
            };
            return after_request(response, rest).await;
        }
        Ok(Err(error)) => {
            watch.end(if is_body_or_parse_error(&error) {
                RunEnd::Stopped
            } else {
                RunEnd::ConnectionLost
            });
            return local_answer_for_peer(CallOutcome::Unknown, StopReason::NoAnswer);
        }
        // Dropping the request closes its connection, which cancels the call at the target.
        Err(_) => {
            watch.end(RunEnd::Stopped);
            return local_answer_for_peer(CallOutcome::Unknown, StopReason::Deadline);
        }
    };
    let (mut parts, body) = answer.into_parts();
    match protocol.classify_answer(request_id.as_deref(), parts.status, &parts.headers) {
        AnswerKind::Answered => {}
        AnswerKind::Declined => {
            watch.end(RunEnd::Stopped);
            return refuse(&shared, StopReason::Declined);
        }
        AnswerKind::WrongTarget => {
            watch.end(RunEnd::Stopped);
            return refuse(&shared, StopReason::Displaced);
        }
        AnswerKind::Unusable => {
            watch.end(RunEnd::Stopped);
            return local_answer_for_peer(CallOutcome::Unknown, StopReason::AnswerUnusable);
        }
    }
    if !protocol.allows_close_delimited_answers() && !ends_for_certain(&parts.headers, &body) {
        watch.end(RunEnd::Stopped);
        return local_answer_for_peer(CallOutcome::Unknown, StopReason::AnswerUnbounded);
    }
    let headers = &mut parts.headers;
    strip_hop_by_hop_headers(headers);
    headers.remove(REASON);
    headers.insert(OUTCOME, outcome_value(CallOutcome::Answered));
    headers.insert(LOAD, thousandths(load).into());
    if body.is_end_stream() {
        watch.on_complete();
        return Response::from_parts(parts, Body::empty());
    }
    let body = AnswerBody::new(Bytes::new(), body, until, watch);
    Response::from_parts(parts, Body::new(body))
}

/// Whether the end of the answer can be told from a lost connection: it states its length, or it is
/// sent in chunks.
fn ends_for_certain(headers: &HeaderMap, body: &Incoming) -> bool {
    body.size_hint().exact().is_some() || headers.contains_key(header::TRANSFER_ENCODING)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped to 0 to 8000"
)]
fn thousandths(load: f64) -> u16 {
    (load.clamp(0.0, MAX_LOAD) * 1000.0) as u16
}

/// Whether a body is small enough to be kept.
fn is_kept(shared: &TargetContext, body: &Body) -> bool {
    let kept = shared.context.settings.calls.kept_request_bytes as u64;
    body.size_hint().exact().is_some_and(|size| size <= kept)
}

/// The request as the target receives it, and the way back of a large body.
fn to_target(
    request: Request,
    shared: &TargetContext,
    metadata: &TargetMetadata<'_>,
) -> Option<(Request, Option<BodyReturn>)> {
    let target_authority = &shared.target.as_ref()?.authority;
    let (mut parts, body) = request.into_parts();
    let (body, back) = if is_kept(shared, &body) {
        (body, None)
    } else {
        let (body, back) = lend(body);
        (body, Some(back))
    };
    let mut target = uri::Parts::default();
    target.scheme = Some(Scheme::HTTP);
    target.authority = Some(target_authority.clone());
    let path = parts.uri.path_and_query().cloned();
    target.path_and_query = Some(path.unwrap_or_else(|| PathAndQuery::from_static("/")));
    parts.uri = Uri::from_parts(target).ok()?;
    strip_hop_by_hop_headers(&mut parts.headers);
    let protocol = &shared.context.protocol;
    protocol.rewrite_request_headers(&mut parts.headers, metadata);
    Some((Request::from_parts(parts, body), back))
}

/// The fingerprint that the caller's node states. Requests without one share a fingerprint of zeros.
fn stated_fingerprint(headers: &HeaderMap) -> Fingerprint {
    let stated =
        header_text(headers, &FINGERPRINT).and_then(|text| blake3::Hash::from_hex(text).ok());
    let bytes = stated.map_or([0; 32], |hash| *hash.as_bytes());
    Fingerprint::from_slice(&bytes).unwrap_or_else(|| unreachable!("a hash has 32 bytes"))
}

/// Answers a call of which nothing was sent to the target.
fn refuse(shared: &TargetContext, reason: StopReason) -> Response {
    let count = CountEvent::TargetRefused(reason);
    // The keeper is gone only when the node is stopping.
    let _ = shared.latency.tell(count).try_send();
    local_answer_for_peer(CallOutcome::NotRun, reason)
}

/// Holds the slot of a call until its answer has ended. Dropped before, the caller's node has gone,
/// and the connection to the target is closed with the answer.
struct RunWatch {
    shared: Arc<TargetContext>,
    lease: Option<SlotLease>,
    fingerprint: Fingerprint,
    /// Counts the call as open until the watch is dropped.
    _open: TaskTrackerToken,
}

impl RunWatch {
    fn end(&mut self, end: RunEnd) {
        if let Some(lease) = self.lease.take() {
            lease.end(end);
        }
    }
}

impl AnswerObserver for RunWatch {
    fn on_complete(&mut self) {
        self.end(RunEnd::Answered);
        if self.shared.crashes.borrow().has_reports {
            let complete = RecordCompletion(self.fingerprint);
            let _ = self.shared.crash_actor.tell(complete).try_send();
        }
    }

    fn on_truncated(&mut self, _: &hyper::Error) {
        self.end(RunEnd::ConnectionLost);
    }

    fn on_deadline_passed(&mut self) {
        self.end(RunEnd::Stopped);
    }
}
