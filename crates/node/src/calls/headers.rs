//! HTTP headers of calls, and the answers that nodes generate.

use std::time::Duration;

use agatedeck_calls::{CallOutcome, RefusedCall, RetryAfterSettings, draw_retry_after};
use axum::body::Body;
use axum::http::{HeaderMap, HeaderName, HeaderValue, header};
use axum::response::Response;

use super::native_protocol::NativeProtocol;
use super::reason::StopReason;
use crate::adapters::{CallProtocol, LocalAnswer};

/// Outcome of a call: `answered`, `not-run` or `unknown`.
pub(super) const OUTCOME: HeaderName = HeaderName::from_static("agatedeck-outcome");

/// Why no target answered a call; see [`StopReason`].
pub(super) const REASON: HeaderName = HeaderName::from_static("agatedeck-reason");

/// Milliseconds that remain until the deadline of the call. The header carries no absolute time
/// because clocks differ between hosts.
pub(super) const DEADLINE_MS: HeaderName = HeaderName::from_static("agatedeck-deadline-ms");

/// Number of hops before this one.
pub(super) const DEPTH: HeaderName = HeaderName::from_static("agatedeck-depth");

/// Number of the attempt. A call with this header is made on behalf of another call, and only the
/// outermost caller's node retries it.
pub(super) const ATTEMPT: HeaderName = HeaderName::from_static("agatedeck-attempt");

/// Workspace that the call is counted and limited for.
pub(super) const WORKSPACE: HeaderName = HeaderName::from_static("agatedeck-tenant");

/// `1` if the workspace of the call is known by its key. Only between nodes.
pub(super) const HAS_KEY: HeaderName = HeaderName::from_static("agatedeck-has-key");

/// Class of the route, by which latencies are recorded.
pub(super) const CLASS: HeaderName = HeaderName::from_static("agatedeck-class");

/// Fingerprint of the request in hexadecimal. Only between nodes.
pub(super) const FINGERPRINT: HeaderName = HeaderName::from_static("agatedeck-fingerprint");

/// Load of the target in thousandths of its slots. Only between nodes.
pub(super) const LOAD: HeaderName = HeaderName::from_static("agatedeck-load");

/// How long work takes on the target's host, in percent of the usual time. Only between nodes, and only for
/// targets that state it.
pub(super) const SLOWDOWN: HeaderName = HeaderName::from_static("agatedeck-slowdown");

/// Service on the host that the call originates from. Only between nodes.
pub(super) const CALLER_SERVICE: HeaderName = HeaderName::from_static("agatedeck-caller");

/// Priority of the call; 0 is the most urgent. Only between nodes.
pub(super) const PRIORITY: HeaderName = HeaderName::from_static("agatedeck-priority");

/// Milliseconds until the target-latency deadline, after which an answer is worth less to the
/// caller. Only between nodes.
pub(super) const USEFUL_MS: HeaderName = HeaderName::from_static("agatedeck-useful-ms");

/// Calls per second that the target accepts from all nodes together, a decimal number. A target sends
/// it in its answers for as long as the limit applies.
pub(super) const RATE_LIMIT: HeaderName = HeaderName::from_static("agatedeck-rate-limit");

/// `1` in the answers of a target that announces itself and is leaving: it gets no new calls.
pub(super) const LEAVING: HeaderName = HeaderName::from_static("agatedeck-leaving");

/// Node that sent the request and the time by its clock, as `NAME/MICROSECONDS`. Only between
/// nodes.
pub(super) const SENT_AT: HeaderName = HeaderName::from_static("agatedeck-sent");

/// Service that the call is for. The target's node checks it because addresses are reused. Only
/// between nodes.
pub(super) const SERVICE: HeaderName = HeaderName::from_static("agatedeck-service");

/// Queue wait in milliseconds that the target's node expects. Only in refusals between nodes.
pub(super) const EXPECTED_WAIT_MS: HeaderName = HeaderName::from_static("agatedeck-room-ms");

/// Idempotency key; calls with the same key run at most once.
pub(super) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Hop-by-hop headers, which are not forwarded. `expect` is among them because each hop answers it
/// itself.
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

/// Value of a header as text; `None` if it is absent or not visible ASCII.
pub(super) fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Value of a header as an unsigned integer; `None` if it is absent or not a number.
pub(super) fn header_number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    header_text(headers, name)?.parse().ok()
}

/// Remaining time of a call according to the header [`DEADLINE_MS`].
pub(super) fn requested_timeout(headers: &HeaderMap) -> Option<Duration> {
    header_number(headers, &DEADLINE_MS).map(Duration::from_millis)
}

/// Removes the hop-by-hop headers, including those that the header `connection` names.
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

/// Builds the response for an answer that the node generates.
fn local_response(protocol: &dyn CallProtocol, answer: &LocalAnswer) -> Response {
    let (status, headers) = protocol.encode_local_answer(answer);
    let mut response = Response::new(Body::from(format!("{}\n", answer.reason.message())));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// Builds the answer to a local caller whose call no target answered, with the time after which the
/// caller may retry.
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

/// Builds the answer to another node whose call the target did not answer.
pub(super) fn local_answer_for_peer(outcome: CallOutcome, reason: StopReason) -> Response {
    let answer = LocalAnswer {
        outcome,
        reason,
        retry_after: None,
    };
    local_response(&NativeProtocol, &answer)
}

/// Parses a rate limit; `None` if it is not a finite number of at least 0.
pub fn parse_rate_limit(text: &str) -> Option<f64> {
    let rate: f64 = text.trim().parse().ok()?;
    (rate.is_finite() && rate >= 0.0).then_some(rate)
}

/// Value of the header [`OUTCOME`].
pub(super) fn outcome_value(outcome: CallOutcome) -> HeaderValue {
    HeaderValue::from_static(outcome.header_text())
}
