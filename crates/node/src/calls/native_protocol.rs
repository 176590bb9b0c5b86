//! This project's own HTTP headers between nodes, callers and targets.

use agatedeck_calls::CallOutcome;
use axum::http::{HeaderMap, HeaderValue, StatusCode};

use super::headers::{
    ATTEMPT, CALLER_SERVICE, DEADLINE_MS, DEPTH, FINGERPRINT, HAS_KEY, IDEMPOTENCY_KEY, LEAVING,
    OUTCOME, PRIORITY, RATE_LIMIT, REASON, SENT_AT, SERVICE, USEFUL_MS, WORKSPACE, header_number,
    header_text, outcome_value, parse_rate_limit, requested_timeout,
};
use crate::adapters::{
    AnswerKind, CallProtocol, CallerMetadata, LocalAnswer, TargetLoad, TargetMetadata,
};

/// Adapter for callers and targets that use this project's own headers.
#[derive(Clone, Copy, Debug, Default)]
pub struct NativeProtocol;

impl CallProtocol for NativeProtocol {
    fn caller_metadata<'a>(&self, headers: &'a HeaderMap) -> CallerMetadata<'a> {
        // A request with an attempt number is made on behalf of another call, even if the target
        // that sent it did not forward the depth.
        let depth = header_number(headers, &DEPTH).unwrap_or_default();
        let depth = u32::try_from(depth).unwrap_or(u32::MAX);
        CallerMetadata {
            timeout: requested_timeout(headers),
            workspace: header_text(headers, &WORKSPACE),
            depth: depth.max(u32::from(headers.contains_key(&ATTEMPT))),
            idempotency_key: header_text(headers, &IDEMPOTENCY_KEY),
            workspace_key: None,
            request_id: None,
        }
    }

    fn encode_local_answer(&self, answer: &LocalAnswer) -> (StatusCode, HeaderMap) {
        let mut headers = HeaderMap::new();
        headers.insert(OUTCOME, outcome_value(answer.outcome));
        if let Ok(reason) = HeaderValue::from_str(&answer.reason.to_string()) {
            headers.insert(REASON, reason);
        }
        (answer.reason.status(), headers)
    }

    fn remove_credentials(&self, _: &mut HeaderMap) {}

    fn rewrite_answer_headers(&self, headers: &mut HeaderMap) {
        headers.insert(OUTCOME, outcome_value(CallOutcome::Answered));
    }

    fn rewrite_request_headers(&self, headers: &mut HeaderMap, metadata: &TargetMetadata<'_>) {
        for name in [
            FINGERPRINT,
            HAS_KEY,
            CALLER_SERVICE,
            PRIORITY,
            SENT_AT,
            SERVICE,
            USEFUL_MS,
        ] {
            headers.remove(name);
        }
        let remaining = u64::try_from(metadata.remaining.as_millis()).unwrap_or(u64::MAX);
        headers.insert(DEADLINE_MS, remaining.max(1).into());
    }

    fn classify_answer(&self, _: Option<&str>, _: StatusCode, _: &HeaderMap) -> AnswerKind {
        AnswerKind::Answered
    }

    fn allows_close_delimited_answers(&self) -> bool {
        false
    }

    fn target_identity<'a>(&self, _: &'a HeaderMap) -> Option<&'a str> {
        None
    }

    fn target_load(&self, _: &HeaderMap) -> Option<TargetLoad> {
        None
    }
    fn target_rate_limit(&self, headers: &HeaderMap) -> Option<f64> {
        parse_rate_limit(header_text(headers, &RATE_LIMIT)?)
    }

    fn is_target_leaving(&self, headers: &HeaderMap) -> bool {
        header_text(headers, &LEAVING).is_some_and(|value| value.trim() == "1")
    }
}
