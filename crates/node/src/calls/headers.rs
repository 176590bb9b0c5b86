//! Headers of calls.

use std::time::Duration;

use agatedeck_calls::{CallOutcome, RefusedCall, RetryAfterSettings, draw_retry_after};
use axum::body::Body;
use axum::http::{HeaderMap, HeaderName, HeaderValue, header};
use axum::response::Response;

use super::native_protocol::NativeProtocol;
use super::reason::StopReason;
use crate::adapters::{CallProtocol, LocalAnswer};

/// What became of a call: `answered`, `not-run` or `unknown`.
pub(super) const OUTCOME: HeaderName = HeaderName::from_static("agatedeck-outcome");

/// Why a call was not answered by a target; see [`StopReason`].
pub(super) const REASON: HeaderName = HeaderName::from_static("agatedeck-reason");

/// Milliseconds that remain for the call. A remaining time, since clocks differ between hosts.
pub(super) const DEADLINE_MS: HeaderName = HeaderName::from_static("agatedeck-deadline-ms");

/// Hops that the call has behind it.
pub(super) const DEPTH: HeaderName = HeaderName::from_static("agatedeck-depth");

/// Number of the attempt. A call that carries it is an inner call, whose retries belong to the
/// outermost caller's node.
pub(super) const ATTEMPT: HeaderName = HeaderName::from_static("agatedeck-attempt");

/// Tenant that the call is counted for.
pub(super) const WORKSPACE: HeaderName = HeaderName::from_static("agatedeck-tenant");

/// Class of the route.
pub(super) const CLASS: HeaderName = HeaderName::from_static("agatedeck-class");

/// Fingerprint of the request in hexadecimal. Sent between nodes only.
pub(super) const FINGERPRINT: HeaderName = HeaderName::from_static("agatedeck-fingerprint");

/// Load of the target in thousandths of its slots. Sent between nodes only.
pub(super) const LOAD: HeaderName = HeaderName::from_static("agatedeck-load");

/// Service beside which the call began. Sent between nodes only.
pub(super) const CALLER_SERVICE: HeaderName = HeaderName::from_static("agatedeck-caller");

/// Rank of the call; 0 is the most urgent. Sent between nodes only.
pub(super) const PRIORITY: HeaderName = HeaderName::from_static("agatedeck-priority");

/// Milliseconds for which an answer is still of full use to the caller. Sent between nodes only.
pub(super) const USEFUL_MS: HeaderName = HeaderName::from_static("agatedeck-useful-ms");

/// Node that sent a request, and when by its clock, as `NAME/MICROSECONDS`. Sent between nodes only.
pub(super) const SENT_AT: HeaderName = HeaderName::from_static("agatedeck-sent");

/// Service that the call is for. Addresses are used again, so the target's node compares it. Sent
/// between nodes only.
pub(super) const SERVICE: HeaderName = HeaderName::from_static("agatedeck-service");

/// Milliseconds after which the target's node expects to have room again. Sent with refusals
/// between nodes only.
pub(super) const EXPECTED_WAIT_MS: HeaderName = HeaderName::from_static("agatedeck-room-ms");

/// Key under which a call runs at most once.
pub(super) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Headers that belong to one connection and are not passed on. `expect` is among them because each
/// hop answers it itself.
const HOP_BY_HOP_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
];

/// Text of a header; `None` if it is absent or not visible ASCII.
pub(super) fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Whole number in a header; `None` if it is absent or none.
pub(super) fn header_number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    header_text(headers, name)?.parse().ok()
}

/// The stated remaining time of a call.
pub(super) fn requested_timeout(headers: &HeaderMap) -> Option<Duration> {
    header_number(headers, &DEADLINE_MS).map(Duration::from_millis)
}

/// Removes the headers that belong to one connection, also those that `connection` names.
pub(super) fn strip_hop_by_hop_headers(headers: &mut HeaderMap) {
    let connection_headers: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in connection_headers.iter().chain(&HOP_BY_HOP_HEADERS) {
        headers.remove(name);
    }
}

/// An answer that a node gives itself, as `dialect` states it.
fn local_response(protocol: &dyn CallProtocol, answer: &LocalAnswer) -> Response {
    let (status, headers) = protocol.encode_local_answer(answer);
    let mut response = Response::new(Body::from(format!("{}\n", answer.reason.message())));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// The answer to a caller whose call no target answered, with the time after which it may come back.
pub(super) fn local_answer_for_caller(
    protocol: &dyn CallProtocol,
    outcome: CallOutcome,
    reason: StopReason,
    refused_call: &RefusedCall,
) -> Response {
    let settings = RetryAfterSettings::default();
    let answer = LocalAnswer {
        outcome,
        reason,
        retry_after: Some(draw_retry_after(refused_call, &settings, &mut rand::rng())),
    };
    local_response(protocol, &answer)
}

/// An answer that a node gives to another node.
pub(super) fn local_answer_for_peer(outcome: CallOutcome, reason: StopReason) -> Response {
    let answer = LocalAnswer {
        outcome,
        reason,
        retry_after: None,
    };
    local_response(&NativeProtocol, &answer)
}

/// Value of the header [`OUTCOME`].
pub(super) fn outcome_value(outcome: CallOutcome) -> HeaderValue {
    HeaderValue::from_static(outcome.header_text())
}
