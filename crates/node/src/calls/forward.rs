//! Sends a call on over HTTP and streams the answer back.

use std::net::SocketAddr;

use axum::body::Body;
use axum::http::request::Parts;
use axum::response::Response;
use reqwest::Client;
use tokio::time::{Instant, timeout_at};

use super::headers::{DEADLINE, strip_hop_headers};

/// Why a call that was sent on has no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ForwardError {
    /// No connection could be opened, so that no byte of the call was sent.
    NotSent,
    /// The call was sent, in part at least, and no whole answer came.
    Unanswered,
}

/// Sends a call to `address` and returns the head of the answer with its body as a stream.
pub(super) async fn forward(
    client: &Client,
    address: SocketAddr,
    parts: &Parts,
    body: Body,
    deadline: Instant,
) -> Result<Response, ForwardError> {
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let mut headers = parts.headers.clone();
    strip_hop_headers(&mut headers);
    let remaining = deadline.saturating_duration_since(Instant::now());
    let remaining = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
    headers.insert(DEADLINE, remaining.into());
    let request = client
        .request(parts.method.clone(), format!("http://{address}{path}"))
        .headers(headers)
        .body(reqwest::Body::wrap_stream(body.into_data_stream()));
    let sent = timeout_at(deadline, request.send()).await;
    let answer = match sent {
        Ok(Err(error)) if error.is_connect() => return Err(ForwardError::NotSent),
        Err(_) | Ok(Err(_)) => return Err(ForwardError::Unanswered),
        Ok(Ok(answer)) => answer,
    };
    let mut response = Response::new(Body::empty());
    *response.status_mut() = answer.status();
    *response.headers_mut() = answer.headers().clone();
    strip_hop_headers(response.headers_mut());
    // An answer that breaks off breaks this stream, which closes the caller's connection before
    // the end of the body, so that a truncated answer is never taken for a whole one.
    *response.body_mut() = Body::from_stream(answer.bytes_stream());
    Ok(response)
}
