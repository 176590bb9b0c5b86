//! Headers of calls.

use axum::body::Body;
use axum::http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use axum::response::{IntoResponse, Response};

/// What became of a call: `answered`, `not-run` or `unknown`.
pub(crate) const OUTCOME: HeaderName = HeaderName::from_static("agatedeck-outcome");

/// Milliseconds that remain for the call. A remaining time, since clocks differ between hosts.
pub(crate) const DEADLINE: HeaderName = HeaderName::from_static("agatedeck-deadline-ms");

/// Headers that belong to one connection and are not passed on.
const HOP_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// What a caller is told of its call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ToldOutcome {
    Answered,
    NotRun,
    Unknown,
}

impl ToldOutcome {
    pub(crate) fn header(self) -> HeaderValue {
        HeaderValue::from_static(match self {
            Self::Answered => "answered",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        })
    }
}

/// Removes the headers that belong to one connection.
pub(crate) fn strip_hop_headers(headers: &mut HeaderMap) {
    for name in HOP_HEADERS {
        headers.remove(name);
    }
    headers.remove(axum::http::header::HOST);
}

/// An answer that the node gives itself.
pub(crate) fn refusal(status: StatusCode, outcome: ToldOutcome, reason: &str) -> Response {
    let mut response = (status, Body::from(format!("{reason}\n"))).into_response();
    response.headers_mut().insert(OUTCOME, outcome.header());
    response
}
