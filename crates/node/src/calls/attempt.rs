//! One attempt of a call: from the caller's node to the node of a target.

use std::time::Duration;

use agatedeck_calls::CallOutcome;
use axum::body::Body;
use axum::http::Request;
use axum::http::response::Parts;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper_util::client::legacy::connect::capture_connection;
use tokio::time::{Instant, timeout_at};

use super::ask_first::ask_first;
use super::headers::{EXPECTED_WAIT_MS, OUTCOME, REASON, header_number, header_text};
use super::http_client::CallClient;
use super::reason::StopReason;

/// What became of an attempt.
#[derive(Debug)]
pub(super) enum AttemptOutcome {
    /// No connection could be opened, so that no byte was sent.
    ConnectFailed,
    /// The target's node says that the call was not run, and when it expects to have room.
    Refused(StopReason, Option<Duration>),
    /// The call was sent and no answer came.
    NoAnswer(StopReason),
    /// The answer broke off before anything of it was passed on.
    Truncated,
    /// The whole answer.
    Complete(Parts, Bytes),
    /// The head of an answer that is too large to be kept, its start, and the rest as it arrives.
    Streaming(Parts, Bytes, Incoming),
    /// The deadline passed; whether a byte may have been sent.
    DeadlinePassed { sent: bool },
}

/// How an attempt is sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptOptions {
    /// Bytes up to which an answer is read to its end.
    pub(super) max_buffered_bytes: usize,
    /// Size of a body from which it is sent only once the target's node has asked for it.
    pub(super) expect_continue_bytes: u64,
    pub(super) deadline: Instant,
}

/// Sends a request and reads its answer until it ends or exceeds the bytes to be kept.
pub(super) async fn send_attempt(
    client: &CallClient,
    mut request: Request<Body>,
    options: AttemptOptions,
) -> AttemptOutcome {
    // A lost connection says nothing, also before the body was asked for: the node of the target may
    // have sent the head of a large request on, and its answer to that may have been lost.
    let _body_sender = ask_first(&mut request, options.expect_continue_bytes);
    // Known once a connection is at hand, which is before the first byte is written.
    let connection = capture_connection(&mut request);
    let answered = timeout_at(
        options.deadline,
        exchange(client, request, options.max_buffered_bytes),
    )
    .await;
    answered.unwrap_or_else(|_| AttemptOutcome::DeadlinePassed {
        sent: connection.connection_metadata().is_some(),
    })
}

async fn exchange(
    client: &CallClient,
    request: Request<Body>,
    max_buffered_bytes: usize,
) -> AttemptOutcome {
    let answer = match client.request(request).await {
        Ok(answer) => answer,
        Err(error) if error.is_connect() => return AttemptOutcome::ConnectFailed,
        Err(error) => {
            log::debug!("a call was sent and not answered: {error}");
            return AttemptOutcome::NoAnswer(StopReason::NoAnswer);
        }
    };
    let (parts, mut body) = answer.into_parts();
    let outcome = header_text(&parts.headers, &OUTCOME).and_then(|text| text.parse().ok());
    let reason = header_text(&parts.headers, &REASON).and_then(|text| text.parse().ok());
    match outcome {
        Some(CallOutcome::Answered) => {}
        Some(CallOutcome::NotRun) => {
            let expected_wait =
                header_number(&parts.headers, &EXPECTED_WAIT_MS).map(Duration::from_millis);
            return AttemptOutcome::Refused(
                reason.unwrap_or(StopReason::Unreachable),
                expected_wait,
            );
        }
        // Without the header, the answer is not from a node, and nothing is certain.
        Some(CallOutcome::Unknown) | None => {
            return AttemptOutcome::NoAnswer(reason.unwrap_or(StopReason::NoAnswer));
        }
    }
    let mut prefix = BytesMut::new();
    loop {
        if prefix.len() > max_buffered_bytes {
            return AttemptOutcome::Streaming(parts, prefix.freeze(), body);
        }
        match body.frame().await {
            None => return AttemptOutcome::Complete(parts, prefix.freeze()),
            Some(Err(_)) => return AttemptOutcome::Truncated,
            Some(Ok(frame)) => {
                // Trailers are not passed on.
                if let Ok(data) = frame.into_data() {
                    prefix.extend_from_slice(&data);
                }
            }
        }
    }
}
