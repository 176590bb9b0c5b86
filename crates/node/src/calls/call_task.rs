//! The task of a call at its caller's node: carries out what the life of the call decides.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use agatedeck_calls::{
    AttemptEvent, AttemptResult, CallEffect, CallEvent, CallMachine, CallOptions, CallOutcome,
    ClaimAnswer, ClaimVerdict, Fingerprint, RefusedCall, RetryContext, RetryDecision, RetryRefusal,
    UnansweredCall,
};
use agatedeck_clock::Instant;
use axum::body::Body;
use axum::http::response::Parts;
use axum::http::uri::{PathAndQuery, Scheme};
use axum::http::{HeaderValue, Request, StatusCode, Uri, header, request, uri};
use axum::response::Response;
use bytes::Bytes;
use hyper::body::Incoming;
use tokio::time::{sleep_until, timeout_at};
use tokio_util::task::task_tracker::TaskTrackerToken;

use super::answer_body::{AnswerBody, AnswerWatch};
use super::attempt::{AttemptEnd, AttemptTerms, send_attempt};
use super::claim_keeper::{ClaimEnd, ClaimLease, ClaimReply, claim_call};
use super::crash_keeper::CompleteRequest;
use super::drain_body::after_request;
use super::gateway::GatewayContext;
use super::headers::{
    ATTEMPT, CALLER, CLASS, DEADLINE, DEPTH, FINGERPRINT, LOAD, OUTCOME, PRIORITY, REASON, SENT,
    SERVICE, TENANT, USEFUL, caller_refusal, number, strip_hop_headers,
};
use super::latency_keeper::RecordCall;
use super::plan::CallPlan;
use super::reason::StopReason;
use super::request_body::RequestBody;
use super::router::{DecideRetry, NoteUnanswered, PickTarget, TargetLease};
use crate::borders::CallDialect;

/// The request of a call, as it is sent with each attempt.
#[derive(Debug)]
pub(super) struct CallRequest {
    pub(super) parts: request::Parts,
    pub(super) body: RequestBody,
    /// Digest of the method, the path and the body.
    pub(super) digest: [u8; 32],
}

/// An answer that is at hand and not yet passed on.
enum ReadyAnswer {
    Whole(Response),
    Long(Parts, Bytes, Incoming),
}

/// What is stored of an answer with a claim.
#[derive(Debug)]
struct AnswerRecord {
    status: u16,
    content_type: String,
    body: Option<Bytes>,
}

/// One call. It is owned by the task of the call and then, while a long answer is passed on, by the
/// body of that answer. Dropped before the end, the caller has gone and the call is cancelled.
#[derive(Debug)]
pub(super) struct CallTask {
    shared: Arc<GatewayContext>,
    plan: CallPlan,
    life: CallMachine,
    fingerprint: Fingerprint,
    target: Option<TargetLease>,
    claim: Option<ClaimLease>,
    answer: Option<AnswerRecord>,
    /// Load that the target reported with its answer.
    load: Option<f64>,
    /// Whether the target answered with a status of 500 or above. The caller receives the answer,
    /// but on the board it counts as a failure: a target that fails at once looks fast and idle and
    /// would draw calls away from healthy ones.
    server_error: bool,
    /// Why the last attempt has no answer.
    reason: StopReason,
    /// Shortest time after which a target that refused the call expects to have room.
    room_after: Option<Duration>,
    /// Node of the last target that was tried.
    last_target: String,
    started_at: Instant,
    recorded: bool,
    /// Counts the call as open until the task is dropped.
    _open: TaskTrackerToken,
}

impl CallTask {
    pub(super) fn new(
        shared: Arc<GatewayContext>,
        plan: CallPlan,
        request: &CallRequest,
        fingerprint: Fingerprint,
        open: TaskTrackerToken,
    ) -> Self {
        let life = CallMachine::new(CallOptions {
            idempotent: plan.idempotent,
            claimed: plan.claim_key.is_some(),
            replayable: request.body.is_kept(),
            depth: plan.depth,
            deadline: plan.deadline,
        });
        Self {
            started_at: shared.context.clock.now(),
            shared,
            plan,
            life,
            fingerprint,
            target: None,
            claim: None,
            answer: None,
            load: None,
            server_error: false,
            reason: StopReason::Cancelled,
            room_after: None,
            last_target: String::new(),
            recorded: false,
            _open: open,
        }
    }

    fn raise(&mut self, event: CallEvent) -> Vec<CallEffect> {
        self.life.handle(event, self.shared.context.clock.now())
    }

    fn raise_attempt(&mut self, event: AttemptEvent) -> Vec<CallEffect> {
        self.raise(CallEvent::Attempt(self.life.attempts(), event))
    }

    fn deadline(&self) -> tokio::time::Instant {
        self.shared
            .context
            .clock
            .runtime_instant(self.plan.deadline)
    }

    /// Drives the call until its caller is answered.
    pub(super) async fn run(mut self, mut request: CallRequest) -> Response {
        let mut answer = None;
        let mut effects = VecDeque::from(self.raise(CallEvent::Started));
        while let Some(effect) = effects.pop_front() {
            match effect {
                CallEffect::AcquireClaim => {
                    effects.extend(self.claim(request.digest, &mut answer).await);
                }
                CallEffect::PickTarget => effects.extend(self.pick().await),
                CallEffect::SendAttempt(..) => {
                    let more = self.send(&mut request, &mut answer).await;
                    effects.extend(more);
                }
                CallEffect::DecideRetry(question) => effects.extend(self.ask_retry(question).await),
                CallEffect::WakeAt(at) => effects.extend(self.wait(at).await),
                CallEffect::ForwardAnswer(_) => {
                    if let Some(ReadyAnswer::Long(parts, head, rest)) = answer.take_if(is_long) {
                        return self.pass_on(parts, head, rest);
                    }
                }
                CallEffect::ReportOutcome(outcome) => {
                    self.carry_out(&[effect]);
                    return match answer {
                        // The last answer of a target, also one that says that it failed.
                        Some(ReadyAnswer::Whole(response)) if outcome != CallOutcome::NotRun => {
                            response
                        }
                        _ => {
                            let response = self.node_answer(outcome);
                            after_request(response, request.body.unread().await).await
                        }
                    };
                }
                other => self.carry_out(&[other]),
            }
        }
        // The chart tells the caller in every case; this keeps an unsound one from hanging.
        self.node_answer(self.life.outcome())
    }

    /// The answer of this node to a call that no target answered.
    fn node_answer(&self, outcome: CallOutcome) -> Response {
        let question = RefusedCall {
            priority: self.plan.priority,
            expected_wait: self.room_after,
        };
        let dialect = &*self.shared.context.dialect;
        caller_refusal(dialect, outcome, self.reason, &question)
    }

    /// Carries out effects that do not wait.
    fn carry_out(&mut self, effects: &[CallEffect]) {
        for effect in effects {
            match *effect {
                CallEffect::RecordResult { result, .. } => {
                    if let Some(target) = self.target.take() {
                        let failed = self.server_error && result == AttemptResult::Answered;
                        let result = if failed {
                            AttemptResult::Failed
                        } else {
                            result
                        };
                        target.settle(result, self.load.take());
                    }
                }
                CallEffect::FinishClaim(outcome) => self.settle_claim(outcome),
                CallEffect::ReportOutcome(outcome) => self.record(outcome),
                // An attempt is stopped by dropping its future or its answer, and an answer is cut
                // by the error that its body returns. The other effects wait.
                _ => {}
            }
        }
    }

    async fn claim(
        &mut self,
        digest: [u8; 32],
        answer: &mut Option<ReadyAnswer>,
    ) -> Vec<CallEffect> {
        let Some(key) = &self.plan.claim_key else {
            return self.raise(CallEvent::ClaimRefused);
        };
        let (service, call_deadline) = (&self.plan.service, self.plan.deadline);
        let claimed = claim_call(&self.shared.claims, service, key, digest, call_deadline);
        let Ok(reply) = timeout_at(self.deadline(), claimed).await else {
            return self.expire();
        };
        let (event, reason) = match reply {
            ClaimReply::Granted(lease) => {
                self.claim = Some(lease);
                (CallEvent::ClaimGranted, StopReason::Cancelled)
            }
            ClaimReply::Decided(ClaimVerdict::Stored(stored)) => {
                match stored_answer(&*self.shared.context.dialect, stored) {
                    Some(response) => {
                        *answer = Some(ReadyAnswer::Whole(response));
                        (CallEvent::ClaimReplayed, StopReason::Cancelled)
                    }
                    None => (CallEvent::ClaimUnknown, StopReason::AnswerNotKept),
                }
            }
            ClaimReply::Decided(ClaimVerdict::InProgress) => {
                (CallEvent::ClaimUnknown, StopReason::InProgress)
            }
            ClaimReply::Decided(ClaimVerdict::Refused(refusal)) => {
                (CallEvent::ClaimRefused, refusal.into())
            }
            ClaimReply::Decided(ClaimVerdict::Unknown | ClaimVerdict::Granted) => {
                (CallEvent::ClaimUnknown, StopReason::UnknownEarlier)
            }
        };
        self.reason = reason;
        self.raise(event)
    }

    async fn pick(&mut self) -> Vec<CallEffect> {
        let pick = PickTarget {
            service: self.plan.service.clone(),
            first: self.life.attempts() == 1,
            avoid: self.life.tried_targets().to_vec(),
            idempotent: self.plan.idempotent,
            fingerprint: self.fingerprint,
        };
        let picked = self.shared.router.ask(pick).await.ok();
        if let Some(first_at) = picked.as_ref().and_then(|reply| reply.first_at) {
            self.plan.count_from(first_at);
        }
        let Some(lease) = picked.and_then(|reply| reply.lease.ok()) else {
            // The reason of an earlier attempt says more.
            if self.life.attempts() == 1 {
                self.reason = StopReason::NoTarget;
            }
            return self.raise(CallEvent::NoTarget);
        };
        let target = lease.target;
        self.last_target = lease.authority.to_string();
        self.target = Some(lease);
        self.raise(CallEvent::TargetPicked(target))
    }

    async fn send(
        &mut self,
        request: &mut CallRequest,
        answer: &mut Option<ReadyAnswer>,
    ) -> Vec<CallEffect> {
        if let Some(claim) = &mut self.claim
            && let Err(refusal) = claim.start().await
        {
            self.reason = refusal.into();
            return self.raise(CallEvent::DeadlinePassed);
        }
        let Some(message) = self.message(request) else {
            self.reason = StopReason::Unreachable;
            return self.raise_attempt(AttemptEvent::ConnectFailed);
        };
        let settings = &self.shared.context.settings.calls;
        let terms = AttemptTerms {
            keep: settings.kept_answer_bytes,
            ask_first: settings.ask_first_bytes as u64,
            deadline: self.deadline(),
        };
        let end = send_attempt(&self.shared.client, message, terms).await;
        let event = match end {
            AttemptEnd::NotSent => {
                self.reason = StopReason::Unreachable;
                return self.raise_attempt(AttemptEvent::ConnectFailed);
            }
            AttemptEnd::Expired { sent: false } => return self.expire(),
            AttemptEnd::Expired { sent: true } => {
                self.raise_attempt(AttemptEvent::SendStarted);
                return self.expire();
            }
            AttemptEnd::Refused(reason, room) => {
                self.reason = reason;
                self.room_after = self.room_after.into_iter().chain(room).min();
                reason.attempt_event()
            }
            AttemptEnd::Lost(reason) => {
                self.reason = reason;
                AttemptEvent::ConnectionLost
            }
            AttemptEnd::Truncated => {
                self.reason = StopReason::AnswerTruncated;
                AttemptEvent::AnswerTruncated
            }
            AttemptEnd::Whole(parts, body) => {
                self.note_answer(&parts, Some(&body));
                let dialect = &*self.shared.context.dialect;
                *answer = Some(ReadyAnswer::Whole(response(
                    dialect,
                    parts,
                    Body::from(body),
                )));
                if self.server_error && self.plan.idempotent {
                    self.reason = StopReason::TargetFailed;
                    let mut effects = self.raise_attempt(AttemptEvent::SendStarted);
                    effects.extend(self.raise_attempt(AttemptEvent::AnsweredFailure));
                    return effects;
                }
                let mut effects = self.raise_attempt(AttemptEvent::SendStarted);
                effects.extend(self.raise_attempt(AttemptEvent::AnswerStarted));
                effects.extend(self.raise_attempt(AttemptEvent::AnswerEnded));
                return effects;
            }
            AttemptEnd::Long(parts, head, rest) => {
                self.note_answer(&parts, None);
                *answer = Some(ReadyAnswer::Long(parts, head, rest));
                AttemptEvent::AnswerStarted
            }
        };
        let mut effects = self.raise_attempt(AttemptEvent::SendStarted);
        effects.extend(self.raise_attempt(event));
        effects
    }

    /// The message of the current attempt; `None` if the body was sent before.
    fn message(&self, request: &mut CallRequest) -> Option<Request<Body>> {
        let authority = self.target.as_ref()?.authority.clone();
        let mut message = Request::new(request.body.for_attempt()?);
        let parts = &request.parts;
        let mut uri = uri::Parts::default();
        uri.scheme = Some(Scheme::HTTP);
        uri.authority = Some(authority);
        let path = parts.uri.path_and_query().cloned();
        uri.path_and_query = Some(path.unwrap_or_else(|| PathAndQuery::from_static("/")));
        *message.uri_mut() = Uri::from_parts(uri).ok()?;
        *message.method_mut() = parts.method.clone();
        let mut headers = parts.headers.clone();
        strip_hop_headers(&mut headers);
        let now = self.shared.context.clock.now();
        let remaining = self.plan.deadline.since(now);
        headers.insert(DEADLINE, millis_rounded_up(remaining).into());
        headers.insert(DEPTH, (self.plan.depth + 1).into());
        headers.insert(ATTEMPT, self.life.attempts().into());
        headers.insert(PRIORITY, self.plan.priority.into());
        let sent = format!(
            "{}/{}",
            self.shared.context.local_member.node,
            now.as_micros()
        );
        headers.insert(SENT, HeaderValue::from_str(&sent).ok()?);
        if let Some(useful_until) = self.plan.useful_until {
            headers.insert(USEFUL, whole_millis(useful_until.since(now)).into());
        }
        headers.insert(SERVICE, HeaderValue::from_str(&self.plan.service).ok()?);
        let caller = self.shared.context.settings.service_name();
        headers.insert(CALLER, HeaderValue::from_str(caller).ok()?);
        headers.insert(TENANT, HeaderValue::from_str(&self.plan.tenant).ok()?);
        if let Ok(class) = HeaderValue::from_str(&self.plan.class) {
            headers.insert(CLASS, class);
        }
        let fingerprint = self.fingerprint.to_string();
        headers.insert(FINGERPRINT, HeaderValue::from_str(&fingerprint).ok()?);
        *message.headers_mut() = headers;
        Some(message)
    }

    /// Notes what the board and the claim need of an answer.
    fn note_answer(&mut self, parts: &Parts, body: Option<&Bytes>) {
        let load = number(&parts.headers, &LOAD).and_then(|load| u32::try_from(load).ok());
        self.load = load.map(|load| f64::from(load) / 1000.0);
        self.server_error = parts.status.is_server_error();
        if self.claim.is_some() {
            let content_type = super::headers::text(&parts.headers, &header::CONTENT_TYPE);
            self.answer = Some(AnswerRecord {
                status: parts.status.as_u16(),
                content_type: content_type.unwrap_or_default().to_owned(),
                body: body.cloned(),
            });
        }
    }

    async fn ask_retry(&mut self, question: RetryContext) -> Vec<CallEffect> {
        let ask = DecideRetry {
            question,
            service: self.plan.service.clone(),
            max_attempts: self.plan.max_attempts,
        };
        let decision = self.shared.router.ask(ask).await;
        // The router is gone only when the node is stopping.
        let decision = decision.map_or(
            RetryDecision::Deny(RetryRefusal::BudgetExhausted),
            |reply| reply.0,
        );
        self.raise(CallEvent::RetryDecided(decision))
    }

    async fn wait(&mut self, at: Instant) -> Vec<CallEffect> {
        let clock = self.shared.context.clock;
        sleep_until(clock.runtime_instant(at.min(self.plan.deadline))).await;
        if self.plan.deadline.is_past(clock.now()) {
            return self.expire();
        }
        self.raise(CallEvent::BackoffEnded)
    }

    fn expire(&mut self) -> Vec<CallEffect> {
        self.reason = StopReason::Deadline;
        self.raise(CallEvent::DeadlinePassed)
    }

    /// Hands the call over to the body of its answer.
    fn pass_on(self, parts: Parts, head: Bytes, rest: Incoming) -> Response {
        let deadline = self.deadline();
        let dialect = Arc::clone(&self.shared.context.dialect);
        let body = AnswerBody::new(head, rest, deadline, self);
        response(&*dialect, parts, Body::new(body))
    }

    fn settle_claim(&mut self, outcome: CallOutcome) {
        let Some(claim) = self.claim.take() else {
            return;
        };
        claim.end(match (outcome, self.answer.take()) {
            (CallOutcome::Answered, Some(answer)) => ClaimEnd::Answered {
                status: answer.status,
                content_type: answer.content_type,
                body: answer.body,
            },
            (CallOutcome::NotRun, _) => ClaimEnd::NotRun,
            _ => ClaimEnd::Unknown,
        });
    }

    fn record(&mut self, outcome: CallOutcome) {
        if std::mem::replace(&mut self.recorded, true) {
            return;
        }
        let answered = outcome == CallOutcome::Answered;
        if answered && self.shared.crashes.borrow().watching {
            let complete = CompleteRequest(self.fingerprint);
            let _ = self.shared.crash_keeper.tell(complete).try_send();
        }
        if !answered {
            let call = UnansweredCall {
                fingerprint: self.fingerprint,
                arrived_at: self.plan.arrived_at,
                deadline: self.plan.deadline,
            };
            let _ = self.shared.router.tell(NoteUnanswered(call)).try_send();
        }
        let now = self.shared.context.clock.now();
        let record = RecordCall {
            tenant: std::mem::take(&mut self.plan.tenant),
            class: std::mem::take(&mut self.plan.class),
            request_id: std::mem::take(&mut self.plan.request_id),
            target: std::mem::take(&mut self.last_target),
            outcome,
            attempts: self.life.attempts(),
            reason: (!answered).then_some(self.reason),
            latency: now.since(self.started_at),
        };
        // The keeper is gone only when the node is stopping.
        let _ = self.shared.latency.tell(record).try_send();
    }
}

impl AnswerWatch for CallTask {
    fn ended(&mut self) {
        let effects = self.raise_attempt(AttemptEvent::AnswerEnded);
        self.carry_out(&effects);
    }

    fn broken(&mut self, _: &hyper::Error) {
        self.reason = StopReason::AnswerTruncated;
        let effects = self.raise_attempt(AttemptEvent::AnswerTruncated);
        self.carry_out(&effects);
    }

    fn expired(&mut self) {
        let effects = self.expire();
        self.carry_out(&effects);
    }
}

impl Drop for CallTask {
    fn drop(&mut self) {
        // Without effect on a call that has ended.
        let dispatched = self.target.is_some() && !self.recorded;
        if dispatched {
            // The attempt was under way; whether a byte was sent is not known here.
            self.raise_attempt(AttemptEvent::SendStarted);
        }
        let effects = self.raise(CallEvent::Cancelled);
        self.carry_out(&effects);
    }
}

fn is_long(answer: &mut ReadyAnswer) -> bool {
    matches!(answer, ReadyAnswer::Long(..))
}

fn whole_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Whole milliseconds, rounded up so that a call that is still open never reads as expired.
fn millis_rounded_up(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros().div_ceil(1_000)).unwrap_or(u64::MAX)
}

/// An answer of a target as its caller receives it.
fn response(dialect: &dyn CallDialect, mut parts: Parts, body: Body) -> Response {
    strip_hop_headers(&mut parts.headers);
    for name in [LOAD, REASON, FINGERPRINT, OUTCOME] {
        parts.headers.remove(name);
    }
    dialect.complete_answer(&mut parts.headers);
    Response::from_parts(parts, body)
}

/// The stored answer of an earlier call with the same key; `None` if its body was not kept.
fn stored_answer(dialect: &dyn CallDialect, stored: ClaimAnswer) -> Option<Response> {
    let mut response = Response::new(Body::from(stored.body?));
    *response.status_mut() = StatusCode::from_u16(stored.status).ok()?;
    let headers = response.headers_mut();
    if let Ok(content_type) = HeaderValue::from_str(&stored.content_type)
        && !stored.content_type.is_empty()
    {
        headers.insert(header::CONTENT_TYPE, content_type);
    }
    dialect.complete_answer(headers);
    Some(response)
}
