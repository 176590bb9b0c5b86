//! A call at the local target: forwards the request and streams the answer back.

use std::sync::Arc;

use agatedeck_calls::{CallOutcome, Fingerprint};
use agatedeck_clock::Instant;
use axum::body::Body;
use axum::extract::Request;
use axum::http::{HeaderMap, StatusCode, Version, header};
use axum::response::Response;
use bytes::Bytes;
use hyper::body::{Body as _, Incoming};
use tokio::time::timeout_at;
use tokio_util::task::task_tracker::TaskTrackerToken;

use super::answer_body::{AnswerBody, AnswerObserver};
use super::crash_actor::RecordCompletion;
use super::drain_body::{BodyRecovery, make_recoverable, respond_after_drain};
use super::headers::{
    CALLER_SERVICE, HAS_KEY, LOAD, OUTCOME, REASON, SLOWDOWN, WORKSPACE, header_text,
    local_answer_for_peer, outcome_value, strip_hop_by_hop_headers,
};
use super::http_client::{forwarded_uri, is_body_or_parse_error};
use super::inbound::{InboundContext, fits_in_memory, refuse};
use super::latency_actor::RecordTargetCall;
use super::reason::StopReason;
use super::slots::{CallCompletion, SlotLease};
use super::target_client::TargetConnection;
use crate::adapters::{AnswerKind, TargetMetadata};

/// Upper bound of the reported load, which is the number of calls at the target divided by its
/// slots.
const MAX_REPORTED_LOAD: f64 = 8.0;

/// Forwards a call that holds a slot to the target.
pub(super) async fn forward_to_target(request: Request, mut call: TargetCall) -> Response {
    let context = Arc::clone(&call.context);
    let runtime_deadline = context.node.clock.runtime_instant(call.deadline);
    let load = call.lease.as_ref().map_or(0.0, |lease| lease.load);
    let caller = context.node.protocol.caller_metadata(request.headers());
    call.request_id = caller.request_id.map(str::to_owned);
    let Some((request, recovery)) = build_target_request(request, &call) else {
        return refuse(&context, StopReason::Unreachable);
    };
    let (connection, answer) = context.client.send(request);
    call.dispatch = Some(TargetDispatch {
        sent_at: context.node.clock.now(),
        connection,
    });
    let answer = match timeout_at(runtime_deadline, answer).await {
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
            call.record_unusable_answer();
            let completion = if is_body_or_parse_error(&error) {
                CallCompletion::Cancelled
            } else {
                CallCompletion::ConnectionLost
            };
            return call.end_as_unknown(completion, StopReason::NoAnswer);
        }
        // Dropping the request future closes the connection, which cancels the call at the target.
        Err(_) => {
            return call.end_as_unknown(CallCompletion::Cancelled, StopReason::Deadline);
        }
    };
    let (status, headers) = (answer.status(), answer.headers());
    let request_id = call.request_id.as_deref();
    let protocol = &context.node.protocol;
    let kind = if is_final_status(status) {
        protocol.classify_answer(request_id, status, headers)
    } else {
        AnswerKind::Unusable
    };
    if matches!(kind, AnswerKind::Answered | AnswerKind::Declined) {
        call.record_statements(headers);
    } else {
        call.record_unusable_answer();
    }
    if let Some((outcome, reason)) = unanswered_outcome(&context, kind, &answer) {
        if outcome == CallOutcome::NotRun {
            call.end(CallCompletion::NotRun, reason);
            return refuse(&context, reason);
        }
        return call.end_as_unknown(CallCompletion::Cancelled, reason);
    }
    call.is_success = status.is_success();
    let target_load = protocol.target_load(headers);
    let slowdown_percent = target_load.and_then(|load| load.slowdown_percent);
    let (mut parts, body) = answer.into_parts();
    // Between nodes every body has a length or is chunked. A server answers in the version of the
    // response, and HTTP/1.0 would end the body with the connection, however that ends.
    parts.version = Version::HTTP_11;
    let headers = &mut parts.headers;
    strip_hop_by_hop_headers(headers);
    headers.remove(REASON);
    headers.insert(OUTCOME, outcome_value(CallOutcome::Answered));
    headers.insert(LOAD, load_in_thousandths(load).into());
    headers.remove(SLOWDOWN);
    if let Some(slowdown_percent) = slowdown_percent {
        headers.insert(SLOWDOWN, slowdown_percent.into());
    }
    if body.is_end_stream() {
        call.on_complete();
        return Response::from_parts(parts, Body::empty());
    }
    let body = AnswerBody::new(Bytes::new(), body, runtime_deadline, call);
    Response::from_parts(parts, Body::new(body))
}

/// Whether a status is one with which a target may answer. The parser also accepts 600 to 999, which HTTP
/// does not define, and an upgrade of the connection, which no node requests.
fn is_final_status(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Outcome and reason if an answer of this kind does not answer the request; `None` if it does.
fn unanswered_outcome(
    context: &InboundContext,
    kind: AnswerKind,
    answer: &hyper::Response<Incoming>,
) -> Option<(CallOutcome, StopReason)> {
    let protocol = &context.node.protocol;
    let headers = answer.headers();
    match kind {
        AnswerKind::Answered => {}
        AnswerKind::Declined => return Some((CallOutcome::NotRun, StopReason::Declined)),
        AnswerKind::WrongTarget => return Some((CallOutcome::NotRun, StopReason::WrongTarget)),
        AnswerKind::Unusable => return Some((CallOutcome::Unknown, StopReason::AnswerUnusable)),
    }
    let is_delimited =
        protocol.allows_close_delimited_answers() || is_self_delimited(headers, answer.body());
    (!is_delimited).then_some((CallOutcome::Unknown, StopReason::AnswerUnbounded))
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
/// Value of the header [`LOAD`].
pub(super) fn load_in_thousandths(load: f64) -> u16 {
    (load.clamp(0.0, MAX_REPORTED_LOAD) * 1000.0) as u16
}

/// Builds the request to the target. For a body that does not fit in memory, also returns the
/// handle that recovers its unsent rest.
fn build_target_request(
    request: Request,
    call: &TargetCall,
) -> Option<(Request, Option<BodyRecovery>)> {
    let context = &call.context;
    let target_authority = &context.target.as_ref()?.authority;
    let (mut parts, body) = request.into_parts();
    let (body, recovery) = if fits_in_memory(context, &body) {
        (body, None)
    } else {
        let (body, recovery) = make_recoverable(body);
        (body, Some(recovery))
    };
    parts.uri = forwarded_uri(&parts.uri, target_authority.clone())?;
    let caller = header_text(&parts.headers, &CALLER_SERVICE);
    let caller = caller.unwrap_or_default().to_owned();
    let has_key = parts.headers.contains_key(HAS_KEY);
    let workspace = header_text(&parts.headers, &WORKSPACE).filter(|_| has_key);
    let workspace = workspace.map(str::to_owned);
    strip_hop_by_hop_headers(&mut parts.headers);
    let metadata = TargetMetadata {
        remaining: call.deadline.since(context.node.clock.now()),
        target_id: call.lease.as_ref().map_or("", |lease| &lease.target_id),
        caller_service: &caller,
        workspace: workspace.as_deref(),
    };
    let protocol = &context.node.protocol;
    protocol.rewrite_request_headers(&mut parts.headers, &metadata);
    Some((Request::from_parts(parts, body), recovery))
}

/// A call that holds a slot of the target.
pub(super) struct AdmittedCall {
    pub(super) lease: SlotLease,
    pub(super) fingerprint: Fingerprint,
    /// When the request arrived at this node.
    pub(super) arrived_at: Instant,
    pub(super) deadline: Instant,
}

/// When a request was sent to the target, and on which connection.
struct TargetDispatch {
    sent_at: Instant,
    connection: TargetConnection,
}

/// Holds the slot of a call until its answer has ended. If it is dropped before, the caller's node
/// has disconnected, and the connection to the target is closed together with the answer body.
pub(super) struct TargetCall {
    context: Arc<InboundContext>,
    lease: Option<SlotLease>,
    fingerprint: Fingerprint,
    request_id: Option<String>,
    arrived_at: Instant,
    deadline: Instant,
    /// Whether the request was delayed in transit from the caller's node.
    delayed: bool,
    /// `None` until the request is sent.
    dispatch: Option<TargetDispatch>,
    /// Whether the target answers that it has run the call to its end.
    is_success: bool,
    /// Keeps the call in the tracker of open calls until this value is dropped.
    _open_token: TaskTrackerToken,
}

impl TargetCall {
    pub(super) fn new(
        context: Arc<InboundContext>,
        admitted: AdmittedCall,
        open_token: TaskTrackerToken,
    ) -> Self {
        Self {
            context,
            delayed: admitted.lease.delayed,
            lease: Some(admitted.lease),
            fingerprint: admitted.fingerprint,
            request_id: None,
            arrived_at: admitted.arrived_at,
            deadline: admitted.deadline,
            dispatch: None,
            is_success: false,
            _open_token: open_token,
        }
    }

    /// Passes on that the target gave no usable answer.
    fn record_unusable_answer(&self) {
        if let Some(lease) = &self.lease {
            lease.record_unusable_answer();
        }
    }

    /// Passes on what an answer of the target states about the calls that it accepts.
    fn record_statements(&self, headers: &HeaderMap) {
        let protocol = &self.context.node.protocol;
        if let Some(lease) = &self.lease {
            lease.record_rate_limit(protocol.target_rate_limit(headers));
            if protocol.is_target_leaving(headers) {
                lease.mark_target_leaving();
            }
        }
    }

    fn complete(&mut self, completion: CallCompletion) {
        if let Some(lease) = self.lease.take() {
            lease.complete(completion);
        }
    }

    /// Completes a call that the target did not answer, and logs it.
    fn end(&mut self, completion: CallCompletion, reason: StopReason) {
        self.complete(completion);
        let Some(dispatch) = self.dispatch.take() else {
            return;
        };
        // The answer to this call, or the rest of it, may still arrive.
        dispatch.connection.forbid_reuse();
        let now = self.context.node.clock.now();
        let record = RecordTargetCall {
            request_id: self.request_id.take().unwrap_or_default(),
            reason,
            queue_wait: dispatch.sent_at.since(self.arrived_at),
            target_time: now.since(dispatch.sent_at),
            delayed: self.delayed,
            connection: dispatch.connection.local_port().unwrap_or_default(),
        };
        // The actor is stopped only when the node is stopping.
        let _ = self.context.latency_actor.tell(record).try_send();
    }

    /// As [`Self::end`], for a call that may have run.
    fn end_as_unknown(&mut self, completion: CallCompletion, reason: StopReason) -> Response {
        self.end(completion, reason);
        local_answer_for_peer(CallOutcome::Unknown, reason)
    }
}

impl Drop for TargetCall {
    fn drop(&mut self) {
        if self.lease.is_some() {
            let completion = match self.dispatch {
                Some(_) => CallCompletion::Cancelled,
                None => CallCompletion::NotRun,
            };
            self.end(completion, StopReason::Cancelled);
        }
    }
}

impl AnswerObserver for TargetCall {
    fn on_complete(&mut self) {
        self.complete(CallCompletion::Answered);
        if self.is_success && self.context.crash_view.borrow().has_reports {
            let completion = RecordCompletion(self.fingerprint);
            let _ = self.context.crash_actor.tell(completion).try_send();
        }
    }

    fn on_truncated(&mut self, _: &hyper::Error) {
        self.end(CallCompletion::ConnectionLost, StopReason::AnswerTruncated);
    }

    fn on_deadline_passed(&mut self) {
        self.end(CallCompletion::Cancelled, StopReason::Deadline);
    }
}
