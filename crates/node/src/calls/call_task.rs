//! The task that runs one call on the caller's node. It executes the effects of the call's state
//! machine.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use agatedeck_calls::{
    AttemptEvent, AttemptResult, CallEffect, CallEvent, CallMachine, CallOptions, CallOutcome,
    ClaimAnswer, ClaimVerdict, Fingerprint, LoadReport, RefusedCall, RetryContext, RetryDecision,
    RetryRefusal, UnansweredCall,
};
use agatedeck_clock::Instant;
use axum::body::Body;
use axum::http::response::Parts;
use axum::http::{HeaderValue, Request, StatusCode, header};
use axum::response::Response;
use bytes::Bytes;
use hyper::body::Incoming;
use tokio::time::{sleep_until, timeout_at};
use tokio_util::task::task_tracker::TaskTrackerToken;

use super::answer_body::{AnswerBody, AnswerObserver};
use super::attempt::{AttemptOptions, AttemptOutcome, send_attempt, stated_load};
use super::attempt_request::{AttemptMetadata, CallRequest};
use super::claim_actor::{ClaimLease, ClaimReply, ClaimResult, acquire_claim};
use super::crash_actor::RecordCompletion;
use super::drain_body::respond_after_drain;
use super::gateway::GatewayContext;
use super::headers::{
    FINGERPRINT, LOAD, OUTCOME, REASON, local_answer_for_caller, strip_hop_by_hop_headers,
};
use super::latency_actor::RecordCall;
use super::plan::CallPlan;
use super::reason::StopReason;
use super::refusal_trail::RefusalTrail;
use super::router::{DecideRetry, PickTarget, RecordUnanswered, TargetLease};
use crate::adapters::CallProtocol;
use crate::rollout::{CallVerdict, CountedResult};

/// An answer that has arrived and is not forwarded yet.
enum ReadyAnswer {
    Complete(Response),
    Streaming(Parts, Bytes, Incoming),
}

/// The parts of an answer that are stored with its claim.
#[derive(Debug)]
struct AnswerRecord {
    status: u16,
    content_type: String,
    body: Option<Bytes>,
}

/// One call. It is owned by the task of the call, and by the body of the answer while that is
/// streamed to the caller. Dropping it before the call has ended means that the caller has
/// disconnected, and cancels the call.
#[derive(Debug)]
pub(super) struct CallTask {
    gateway: Arc<GatewayContext>,
    plan: CallPlan,
    machine: CallMachine,
    fingerprint: Fingerprint,
    target_lease: Option<TargetLease>,
    claim_lease: Option<ClaimLease>,
    answer_record: Option<AnswerRecord>,
    /// Load that the target's node stated with its answer or refusal.
    reported_load: Option<LoadReport>,
    /// Status of the target's answer, if one has arrived.
    answer_status: Option<StatusCode>,
    /// Why the last attempt was not answered.
    reason: StopReason,
    /// Shortest queue wait that a refusing target's node expects.
    expected_wait: Option<Duration>,
    /// Peer address of the node of the last target tried.
    last_target_address: String,
    refusals: RefusalTrail,
    started_at: Instant,
    is_recorded: bool,
    /// Keeps the call in the tracker of open calls until the task is dropped.
    _open_token: TaskTrackerToken,
}

impl CallTask {
    pub(super) fn new(
        gateway: Arc<GatewayContext>,
        plan: CallPlan,
        request: &CallRequest,
        fingerprint: Fingerprint,
        open_token: TaskTrackerToken,
    ) -> Self {
        let machine = CallMachine::new(CallOptions {
            idempotent: plan.idempotent,
            claimed: plan.claim_key.is_some(),
            replayable: request.body.is_buffered(),
            depth: plan.depth,
            deadline: plan.deadline,
        });
        Self {
            started_at: gateway.context.clock.now(),
            gateway,
            plan,
            machine,
            fingerprint,
            target_lease: None,
            claim_lease: None,
            answer_record: None,
            reported_load: None,
            answer_status: None,
            reason: StopReason::Cancelled,
            expected_wait: None,
            last_target_address: String::new(),
            refusals: RefusalTrail::default(),
            is_recorded: false,
            _open_token: open_token,
        }
    }

    fn handle_event(&mut self, event: CallEvent) -> Vec<CallEffect> {
        self.machine.handle(event, self.gateway.context.clock.now())
    }

    fn handle_attempt_event(&mut self, event: AttemptEvent) -> Vec<CallEffect> {
        self.handle_event(CallEvent::Attempt(self.machine.attempts(), event))
    }

    fn runtime_deadline(&self) -> tokio::time::Instant {
        self.gateway
            .context
            .clock
            .runtime_instant(self.plan.deadline)
    }

    /// Runs the call until the answer to its caller is known.
    pub(super) async fn run(mut self, mut request: CallRequest) -> Response {
        let mut answer = None;
        let mut effects = VecDeque::from(self.handle_event(CallEvent::Started));
        while let Some(effect) = effects.pop_front() {
            match effect {
                CallEffect::AcquireClaim => {
                    effects.extend(
                        self.acquire_claim(request.claim_digest(), &mut answer)
                            .await,
                    );
                }
                CallEffect::PickTarget => effects.extend(self.pick_target().await),
                CallEffect::SendAttempt(..) => {
                    let attempt_effects = self.run_attempt(&mut request, &mut answer).await;
                    effects.extend(attempt_effects);
                }
                CallEffect::DecideRetry(context) => {
                    effects.extend(self.decide_retry(context).await);
                }
                CallEffect::WakeAt(at) => effects.extend(self.wait_until(at).await),
                CallEffect::ForwardAnswer(_) => {
                    if let Some(ReadyAnswer::Streaming(parts, prefix, body)) =
                        answer.take_if(is_streaming)
                    {
                        return self.forward_answer(parts, prefix, body);
                    }
                }
                CallEffect::ReportOutcome(outcome) => {
                    self.apply_effects(&[effect]);
                    return match answer {
                        // A target's last answer is forwarded even if its status is an error.
                        Some(ReadyAnswer::Complete(response)) if outcome != CallOutcome::NotRun => {
                            response
                        }
                        _ => {
                            let response = self.local_answer(outcome);
                            respond_after_drain(response, request.body.into_unread().await).await
                        }
                    };
                }
                other => self.apply_effects(&[other]),
            }
        }
        // The state chart always reports an outcome. This answers the caller if a faulty one does
        // not.
        self.local_answer(self.machine.outcome())
    }

    /// Builds this node's answer to a call that no target answered.
    fn local_answer(&self, outcome: CallOutcome) -> Response {
        let refused_call = RefusedCall {
            priority: self.plan.priority,
            expected_wait: self.expected_wait,
        };
        let protocol = &*self.gateway.context.protocol;
        local_answer_for_caller(protocol, outcome, self.reason, &refused_call)
    }

    /// Applies the effects that need no waiting.
    fn apply_effects(&mut self, effects: &[CallEffect]) {
        for effect in effects {
            match *effect {
                CallEffect::RecordResult { result, .. } => {
                    if let Some(target) = self.target_lease.take() {
                        let failed = self.is_server_error() && result == AttemptResult::Answered;
                        let result = if failed {
                            AttemptResult::Failed
                        } else {
                            result
                        };
                        let counted = self.counted_result(&target, result);
                        target.report_result(result, self.reported_load.take(), counted);
                    }
                }
                CallEffect::FinishClaim(outcome) => self.finish_claim(outcome),
                CallEffect::ReportOutcome(outcome) => self.record_outcome(outcome),
                // Dropping the future or the answer of an attempt cancels it, and the error that
                // the body returns aborts an answer. `run` handles the effects that need waiting.
                _ => {}
            }
        }
    }

    /// The result of the attempt for the comparison of versions; `None` if it tells nothing about the target.
    fn counted_result(&self, target: &TargetLease, result: AttemptResult) -> Option<CountedResult> {
        if !target.is_counted() {
            return None;
        }
        let verdict = match result {
            AttemptResult::Answered => CallVerdict::Answered,
            // The target's host could not be reached, or has another target.
            AttemptResult::Failed
                if matches!(self.reason, StopReason::Unreachable | StopReason::Displaced)
                    && !self.is_server_error() =>
            {
                return None;
            }
            AttemptResult::Failed => CallVerdict::Failed,
            AttemptResult::TimedOut => {
                // An attempt that began late in the call says little about its target.
                let now = self.gateway.context.clock.now();
                let timeout = self.plan.deadline.since(self.plan.arrived_at);
                if now.since(target.picked_at) * 2 < timeout {
                    return None;
                }
                CallVerdict::Failed
            }
            AttemptResult::Full | AttemptResult::Refused | AttemptResult::Cancelled => return None,
        };
        Some(CountedResult {
            class: self.plan.class.clone(),
            verdict,
        })
    }

    async fn acquire_claim(
        &mut self,
        digest: [u8; 32],
        answer: &mut Option<ReadyAnswer>,
    ) -> Vec<CallEffect> {
        let Some(key) = &self.plan.claim_key else {
            return self.handle_event(CallEvent::ClaimRefused);
        };
        let (service, deadline) = (&self.plan.service, self.plan.deadline);
        let reply = acquire_claim(&self.gateway.claim_actor, service, key, digest, deadline);
        let Ok(reply) = timeout_at(self.runtime_deadline(), reply).await else {
            return self.handle_deadline();
        };
        let (event, reason) = match reply {
            ClaimReply::Granted(lease) => {
                self.claim_lease = Some(lease);
                (CallEvent::ClaimGranted, StopReason::Cancelled)
            }
            ClaimReply::NotGranted(ClaimVerdict::Stored(stored)) => {
                match stored_answer(&*self.gateway.context.protocol, stored) {
                    Some(response) => {
                        *answer = Some(ReadyAnswer::Complete(response));
                        (CallEvent::ClaimReplayed, StopReason::Cancelled)
                    }
                    None => (CallEvent::ClaimUnknown, StopReason::AnswerNotKept),
                }
            }
            ClaimReply::NotGranted(ClaimVerdict::InProgress) => {
                (CallEvent::ClaimUnknown, StopReason::InProgress)
            }
            ClaimReply::NotGranted(ClaimVerdict::Refused(refusal)) => {
                (CallEvent::ClaimRefused, refusal.into())
            }
            ClaimReply::NotGranted(ClaimVerdict::Unknown | ClaimVerdict::Granted) => {
                (CallEvent::ClaimUnknown, StopReason::UnknownEarlier)
            }
        };
        self.reason = reason;
        self.handle_event(event)
    }

    async fn pick_target(&mut self) -> Vec<CallEffect> {
        let request = PickTarget {
            service: self.plan.service.clone(),
            is_first_attempt: self.machine.attempts() == 1,
            useful_until: self.plan.useful_until,
            tried_targets: self.machine.tried_targets().to_vec(),
            idempotent: self.plan.idempotent,
            fingerprint: self.fingerprint,
        };
        let picked = self.gateway.router.ask(request).await.ok();
        if let Some(first_arrival_at) = picked.as_ref().and_then(|reply| reply.first_arrival_at) {
            self.plan.set_first_arrival(first_arrival_at);
        }
        let Some(lease) = picked.and_then(|reply| reply.lease.ok()) else {
            // The reason from an earlier attempt is more specific.
            if self.machine.attempts() == 1 {
                self.reason = StopReason::NoTarget;
            }
            return self.handle_event(CallEvent::NoTarget);
        };
        let target = lease.target;
        self.last_target_address = lease.authority.to_string();
        self.target_lease = Some(lease);
        self.handle_event(CallEvent::TargetPicked(target))
    }

    async fn run_attempt(
        &mut self,
        request: &mut CallRequest,
        answer: &mut Option<ReadyAnswer>,
    ) -> Vec<CallEffect> {
        if let Some(claim) = &mut self.claim_lease
            && let Err(refusal) = claim.start_call().await
        {
            self.reason = refusal.into();
            return self.handle_event(CallEvent::DeadlinePassed);
        }
        let Some(attempt_request) = self.build_attempt(request) else {
            self.reason = StopReason::Unreachable;
            return self.handle_attempt_event(AttemptEvent::ConnectFailed);
        };
        let settings = &self.gateway.context.settings.calls;
        let options = AttemptOptions {
            max_buffered_bytes: settings.kept_answer_bytes,
            expect_continue_bytes: settings.ask_first_bytes as u64,
            deadline: self.runtime_deadline(),
        };
        let (clients, account) = (&self.gateway.clients, &self.gateway.context.memory);
        let outcome = send_attempt(clients, attempt_request, account, options).await;
        let event = match outcome {
            AttemptOutcome::ConnectFailed => {
                self.reason = StopReason::Unreachable;
                return self.handle_attempt_event(AttemptEvent::ConnectFailed);
            }
            AttemptOutcome::DeadlinePassed { sent: false } => return self.handle_deadline(),
            AttemptOutcome::DeadlinePassed { sent: true } => {
                self.handle_attempt_event(AttemptEvent::SendStarted);
                return self.handle_deadline();
            }
            AttemptOutcome::Refused(refusal) => {
                self.reason = refusal.reason;
                let expected_waits = self.expected_wait.into_iter().chain(refusal.expected_wait);
                self.expected_wait = expected_waits.min();
                self.reported_load = refusal.load;
                if let Some(lease) = &self.target_lease {
                    self.refusals.record(&lease.target, &refusal);
                }
                refusal.reason.attempt_event()
            }
            AttemptOutcome::NoAnswer(reason) => {
                self.reason = reason;
                AttemptEvent::ConnectionLost
            }
            AttemptOutcome::Truncated => {
                self.reason = StopReason::AnswerTruncated;
                AttemptEvent::AnswerTruncated
            }
            AttemptOutcome::Complete(parts, body) => {
                self.record_answer(&parts, Some(&body));
                let protocol = &*self.gateway.context.protocol;
                *answer = Some(ReadyAnswer::Complete(forwarded_response(
                    protocol,
                    parts,
                    Body::from(body),
                )));
                if self.is_server_error() && self.plan.idempotent {
                    self.reason = StopReason::TargetFailed;
                    let mut effects = self.handle_attempt_event(AttemptEvent::SendStarted);
                    effects.extend(self.handle_attempt_event(AttemptEvent::AnsweredFailure));
                    return effects;
                }
                let mut effects = self.handle_attempt_event(AttemptEvent::SendStarted);
                effects.extend(self.handle_attempt_event(AttemptEvent::AnswerStarted));
                effects.extend(self.handle_attempt_event(AttemptEvent::AnswerEnded));
                return effects;
            }
            AttemptOutcome::Streaming(parts, prefix, body) => {
                self.record_answer(&parts, None);
                *answer = Some(ReadyAnswer::Streaming(parts, prefix, body));
                AttemptEvent::AnswerStarted
            }
        };
        let mut effects = self.handle_attempt_event(AttemptEvent::SendStarted);
        effects.extend(self.handle_attempt_event(event));
        effects
    }

    /// Builds the request of the current attempt; `None` if the body was already consumed.
    fn build_attempt(&self, request: &mut CallRequest) -> Option<Request<Body>> {
        let authority = self.target_lease.as_ref()?.authority.clone();
        let metadata = AttemptMetadata {
            context: &self.gateway.context,
            plan: &self.plan,
            fingerprint: &self.fingerprint,
            attempt: self.machine.attempts(),
        };
        request.build_attempt(&metadata, authority)
    }

    /// Whether the target answered with a status of 500 or above. The caller receives the answer,
    /// but the load balancer counts it as a failure: a target that fails immediately looks fast and
    /// idle and would attract calls from healthy ones.
    fn is_server_error(&self) -> bool {
        self.answer_status
            .is_some_and(|status| status.is_server_error())
    }

    /// Records what the load balancer and the claim need from an answer.
    fn record_answer(&mut self, parts: &Parts, body: Option<&Bytes>) {
        self.reported_load = stated_load(&parts.headers);
        self.answer_status = Some(parts.status);
        if self.claim_lease.is_some() {
            let content_type = super::headers::header_text(&parts.headers, &header::CONTENT_TYPE);
            self.answer_record = Some(AnswerRecord {
                status: parts.status.as_u16(),
                content_type: content_type.unwrap_or_default().to_owned(),
                body: body.cloned(),
            });
        }
    }

    async fn decide_retry(&mut self, context: RetryContext) -> Vec<CallEffect> {
        let request = DecideRetry {
            context,
            service: self.plan.service.clone(),
            max_attempts: self.plan.max_attempts,
        };
        let decision = self.gateway.router.ask(request).await;
        // The router stops only when the node stops.
        let decision = decision.map_or(
            RetryDecision::Deny(RetryRefusal::BudgetExhausted),
            |reply| reply.0,
        );
        self.handle_event(CallEvent::RetryDecided(decision))
    }

    async fn wait_until(&mut self, at: Instant) -> Vec<CallEffect> {
        let clock = self.gateway.context.clock;
        sleep_until(clock.runtime_instant(at.min(self.plan.deadline))).await;
        if self.plan.deadline.is_past(clock.now()) {
            return self.handle_deadline();
        }
        self.handle_event(CallEvent::BackoffEnded)
    }

    fn handle_deadline(&mut self) -> Vec<CallEffect> {
        self.reason = StopReason::Deadline;
        self.handle_event(CallEvent::DeadlinePassed)
    }

    /// Streams the answer to the caller. The body of the answer takes ownership of the call.
    fn forward_answer(self, parts: Parts, prefix: Bytes, body: Incoming) -> Response {
        let runtime_deadline = self.runtime_deadline();
        let protocol = Arc::clone(&self.gateway.context.protocol);
        let body = AnswerBody::new(prefix, body, runtime_deadline, self);
        forwarded_response(&*protocol, parts, Body::new(body))
    }

    fn finish_claim(&mut self, outcome: CallOutcome) {
        let Some(claim) = self.claim_lease.take() else {
            return;
        };
        claim.finish(match (outcome, self.answer_record.take()) {
            (CallOutcome::Answered, Some(answer)) => ClaimResult::Answered {
                status: answer.status,
                content_type: answer.content_type,
                body: answer.body,
            },
            (CallOutcome::NotRun, _) => ClaimResult::NotRun,
            _ => ClaimResult::Unknown,
        });
    }

    fn record_outcome(&mut self, outcome: CallOutcome) {
        if std::mem::replace(&mut self.is_recorded, true) {
            return;
        }
        let answered = outcome == CallOutcome::Answered;
        if let Some(token) = self.plan.quota_token.take()
            && outcome == CallOutcome::NotRun
        {
            token.give_back();
        }
        // Only a success shows that a target ran the request to its end.
        let has_run = answered && self.answer_status.is_some_and(|status| status.is_success());
        if has_run && self.gateway.crash_view.borrow().has_reports {
            let completion = RecordCompletion(self.fingerprint);
            let _ = self.gateway.crash_actor.tell(completion).try_send();
        }
        if !answered {
            let call = UnansweredCall {
                fingerprint: self.fingerprint,
                arrived_at: self.plan.arrived_at,
                deadline: self.plan.deadline,
            };
            let _ = self.gateway.router.tell(RecordUnanswered(call)).try_send();
        }
        let now = self.gateway.context.clock.now();
        let record = RecordCall {
            workspace: std::mem::take(&mut self.plan.workspace),
            class: std::mem::take(&mut self.plan.class),
            request_id: std::mem::take(&mut self.plan.request_id),
            target: std::mem::take(&mut self.last_target_address),
            outcome,
            attempts: self.machine.attempts(),
            refusals: std::mem::take(&mut self.refusals),
            reason: (!answered).then_some(self.reason),
            latency: now.since(self.started_at),
        };
        // The actor stops only when the node stops.
        let _ = self.gateway.latency_actor.tell(record).try_send();
    }
}

impl AnswerObserver for CallTask {
    fn on_complete(&mut self) {
        let effects = self.handle_attempt_event(AttemptEvent::AnswerEnded);
        self.apply_effects(&effects);
    }

    fn on_truncated(&mut self, _: &hyper::Error) {
        self.reason = StopReason::AnswerTruncated;
        let effects = self.handle_attempt_event(AttemptEvent::AnswerTruncated);
        self.apply_effects(&effects);
    }

    fn on_deadline_passed(&mut self) {
        let effects = self.handle_deadline();
        self.apply_effects(&effects);
    }
}

impl Drop for CallTask {
    fn drop(&mut self) {
        // The events have no effect on a call that has ended.
        let dispatched = self.target_lease.is_some() && !self.is_recorded;
        if dispatched {
            // An attempt was in progress, and bytes of it may have been sent.
            self.handle_attempt_event(AttemptEvent::SendStarted);
        }
        let effects = self.handle_event(CallEvent::Cancelled);
        self.apply_effects(&effects);
    }
}

fn is_streaming(answer: &mut ReadyAnswer) -> bool {
    matches!(answer, ReadyAnswer::Streaming(..))
}

/// Builds the response to the caller from a target's answer.
fn forwarded_response(protocol: &dyn CallProtocol, mut parts: Parts, body: Body) -> Response {
    strip_hop_by_hop_headers(&mut parts.headers);
    for name in [LOAD, REASON, FINGERPRINT, OUTCOME] {
        parts.headers.remove(name);
    }
    protocol.rewrite_answer_headers(&mut parts.headers);
    Response::from_parts(parts, body)
}

/// Builds the response from the stored answer of an earlier call with the same key; `None` if its
/// body was not stored.
fn stored_answer(protocol: &dyn CallProtocol, stored: ClaimAnswer) -> Option<Response> {
    let mut response = Response::new(Body::from(stored.body?));
    *response.status_mut() = StatusCode::from_u16(stored.status).ok()?;
    let headers = response.headers_mut();
    if let Ok(content_type) = HeaderValue::from_str(&stored.content_type)
        && !stored.content_type.is_empty()
    {
        headers.insert(header::CONTENT_TYPE, content_type);
    }
    protocol.rewrite_answer_headers(headers);
    Some(response)
}
