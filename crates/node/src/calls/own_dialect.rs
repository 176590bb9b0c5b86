//! The headers of this project between nodes, callers and targets.

use agatedeck_calls::CallOutcome;
use axum::http::{HeaderMap, HeaderValue, StatusCode};

use super::headers::{
    ATTEMPT, CALLER, DEADLINE, DEPTH, FINGERPRINT, IDEMPOTENCY_KEY, OUTCOME, PRIORITY, REASON,
    SENT, SERVICE, TENANT, USEFUL, number, outcome_value, stated_timeout, text,
};
use crate::borders::{
    CallDialect, CallerTerms, NodeAnswer, TargetLoad, TargetTerms, TargetVerdict,
};

/// What callers and targets speak that use this project's own headers.
#[derive(Clone, Copy, Debug, Default)]
pub struct OwnDialect;

impl CallDialect for OwnDialect {
    fn caller_terms<'a>(&self, headers: &'a HeaderMap) -> CallerTerms<'a> {
        // A call that carries the number of an attempt is an inner call even if its target did not
        // pass the depth on.
        let stated = number(headers, &DEPTH).unwrap_or_default();
        let stated = u32::try_from(stated).unwrap_or(u32::MAX);
        CallerTerms {
            timeout: stated_timeout(headers),
            tenant: text(headers, &TENANT),
            depth: stated.max(u32::from(headers.contains_key(&ATTEMPT))),
            idempotency_key: text(headers, &IDEMPOTENCY_KEY),
            request_id: None,
        }
    }

    fn node_answer(&self, answer: &NodeAnswer) -> (StatusCode, HeaderMap) {
        let mut headers = HeaderMap::new();
        headers.insert(OUTCOME, outcome_value(answer.outcome));
        if let Ok(reason) = HeaderValue::from_str(&answer.reason.to_string()) {
            headers.insert(REASON, reason);
        }
        (answer.reason.status(), headers)
    }

    fn complete_answer(&self, headers: &mut HeaderMap) {
        headers.insert(OUTCOME, outcome_value(CallOutcome::Answered));
    }

    fn complete_request(&self, headers: &mut HeaderMap, terms: &TargetTerms<'_>) {
        for name in [FINGERPRINT, CALLER, PRIORITY, SENT, SERVICE, USEFUL] {
            headers.remove(name);
        }
        let remaining = u64::try_from(terms.remaining.as_millis()).unwrap_or(u64::MAX);
        headers.insert(DEADLINE, remaining.max(1).into());
    }

    fn target_verdict(&self, _: Option<&str>, _: StatusCode, _: &HeaderMap) -> TargetVerdict {
        TargetVerdict::Answered
    }

    fn ends_with_connection(&self) -> bool {
        false
    }

    fn target_identity<'a>(&self, _: &'a HeaderMap) -> Option<&'a str> {
        None
    }

    fn target_load(&self, _: &HeaderMap) -> Option<TargetLoad> {
        None
    }
}
