//! One attempt of a call: the request from the caller's node to the node of a target.

use std::net::SocketAddr;
use std::time::Duration;

use agatedeck_calls::{CallOutcome, LoadReport};
use axum::body::Body;
use axum::http::response::Parts;
use axum::http::{HeaderMap, HeaderName, Request};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use hyper_util::client::legacy::connect::capture_connection;
use tokio::time::{Instant, timeout_at};

use super::expect_continue::defer_body;
use super::headers::{
    EXPECTED_WAIT_MS, LOAD, OUTCOME, REASON, SLOWDOWN, header_number, header_text,
};
use super::host_watch::wait_until_lost;
use super::http_client::{CallClient, CallClients};
use super::reason::StopReason;
use crate::memory::{MemoryAccount, MemoryReservation, grown_capacity};

/// Outcome of an attempt.
#[derive(Debug)]
pub(super) enum AttemptOutcome {
    /// No connection could be opened, so nothing was sent.
    ConnectFailed,
    /// The target's node refused the call, which was not run.
    Refused(AttemptRefusal),
    /// The request was sent and no answer arrived.
    NoAnswer(StopReason),
    /// The answer was truncated before any of it was forwarded.
    Truncated,
    /// The complete answer.
    Complete(Parts, Bytes),
    /// The head of an answer that is too large to buffer, the start of its body, and the remainder
    /// as it arrives.
    Streaming(Parts, Bytes, Incoming),
    /// The deadline passed. `sent` is whether bytes may have been sent.
    DeadlinePassed { sent: bool },
}

/// What the target's node states with a refusal.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptRefusal {
    pub(super) reason: StopReason,
    /// Expected wait until a slot is free.
    pub(super) expected_wait: Option<Duration>,
    /// Load of the target, if its node states it.
    pub(super) load: Option<LoadReport>,
}

/// Limits of an attempt.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptOptions {
    /// Size up to which an answer is read completely before it is forwarded.
    pub(super) max_buffered_bytes: usize,
    /// Size from which a request body is sent only after the target's node has asked for it with
    /// `100 Continue`.
    pub(super) expect_continue_bytes: u64,
    pub(super) deadline: Instant,
}

/// Sends a request and reads its answer until it ends or exceeds `max_buffered_bytes`.
pub(super) async fn send_attempt(
    clients: &CallClients,
    mut request: Request<Body>,
    account: &MemoryAccount,
    options: AttemptOptions,
) -> AttemptOutcome {
    let client = clients.for_request(&request);
    // The connection itself does not tell that the receiver of a large body is lost.
    let watched_host = clients
        .has_large_body(&request)
        .then(|| host_address(&request));
    // Losing the connection leaves the outcome unknown even before the body was asked for: the
    // target's node may have forwarded the head of the request to the target, and lost the answer.
    let _continue_guard = defer_body(&mut request, options.expect_continue_bytes);
    // Set once a connection is established, which is before the first byte is written.
    let connection = capture_connection(&mut request);
    let exchange = exchange(client, request, account, options.max_buffered_bytes);
    let answered = timeout_at(options.deadline, async {
        tokio::select! {
            outcome = exchange => outcome,
            () = host_lost(watched_host.flatten()) => {
                log::debug!("the host of the target does not answer");
                AttemptOutcome::NoAnswer(StopReason::NoAnswer)
            }
        }
    })
    .await;
    answered.unwrap_or_else(|_| AttemptOutcome::DeadlinePassed {
        sent: connection.connection_metadata().is_some(),
    })
}

fn host_address(request: &Request<Body>) -> Option<SocketAddr> {
    request.uri().authority()?.as_str().parse().ok()
}

/// Waits until the host is lost; forever if there is none to watch.
async fn host_lost(host: Option<SocketAddr>) {
    match host {
        Some(address) => wait_until_lost(address).await,
        None => std::future::pending().await,
    }
}

/// Load of the target that its node states.
pub(super) fn stated_load(headers: &HeaderMap) -> Option<LoadReport> {
    let number = |name: &HeaderName| u32::try_from(header_number(headers, name)?).ok();
    let slowdown_percent = number(&SLOWDOWN);
    Some(LoadReport {
        load: f64::from(number(&LOAD)?) / 1_000.0,
        slowdown: slowdown_percent.map(|percent| f64::from(percent) / 100.0),
    })
}

async fn exchange(
    client: &CallClient,
    request: Request<Body>,
    account: &MemoryAccount,
    max_buffered_bytes: usize,
) -> AttemptOutcome {
    let answer = match client.request(request).await {
        Ok(answer) => answer,
        Err(error) if error.is_connect() => return AttemptOutcome::ConnectFailed,
        Err(error) => {
            log::debug!("request was sent but not answered: {error}");
            return AttemptOutcome::NoAnswer(StopReason::NoAnswer);
        }
    };
    let (parts, mut body) = answer.into_parts();
    let outcome = header_text(&parts.headers, &OUTCOME).and_then(|text| text.parse().ok());
    let reason = header_text(&parts.headers, &REASON).and_then(|text| text.parse().ok());
    match outcome {
        Some(CallOutcome::Answered) => {}
        Some(CallOutcome::NotRun) => {
            let expected_wait_ms = header_number(&parts.headers, &EXPECTED_WAIT_MS);
            return AttemptOutcome::Refused(AttemptRefusal {
                reason: reason.unwrap_or(StopReason::Unreachable),
                expected_wait: expected_wait_ms.map(Duration::from_millis),
                load: stated_load(&parts.headers),
            });
        }
        // An answer without the header does not come from a node, so the outcome is unknown.
        Some(CallOutcome::Unknown) | None => {
            return AttemptOutcome::NoAnswer(reason.unwrap_or(StopReason::NoAnswer));
        }
    }
    let mut prefix = AnswerPrefix {
        bytes: Vec::new(),
        max_bytes: max_buffered_bytes,
        reservation: account.reservation(),
    };
    // Without memory to read the answer ahead, it is streamed as fast as the caller takes it.
    let mut is_short = false;
    loop {
        if is_short || prefix.bytes.len() > max_buffered_bytes {
            return AttemptOutcome::Streaming(parts, prefix.into_bytes(), body);
        }
        match body.frame().await {
            None => return AttemptOutcome::Complete(parts, prefix.into_bytes()),
            Some(Err(_)) => return AttemptOutcome::Truncated,
            Some(Ok(frame)) => {
                // Trailers are not forwarded.
                if let Ok(data) = frame.into_data() {
                    is_short = !prefix.append(&data, body.size_hint().lower());
                }
            }
        }
    }
}

/// The part of an answer that is read ahead.
struct AnswerPrefix {
    bytes: Vec<u8>,
    max_bytes: usize,
    reservation: MemoryReservation,
}

impl AnswerPrefix {
    /// Appends bytes of an answer of which at least `remaining` more are to come. Returns whether there was
    /// memory for them.
    fn append(&mut self, data: &[u8], remaining: u64) -> bool {
        let length = self.bytes.len() + data.len();
        let mut is_granted = true;
        if length > self.bytes.capacity() {
            let remaining = usize::try_from(remaining).unwrap_or(usize::MAX);
            let whole = length.saturating_add(remaining).min(self.max_bytes);
            let capacity = self.bytes.capacity();
            let capacity = grown_capacity(capacity, length.max(whole), self.max_bytes);
            is_granted = self.reservation.try_grow_to(capacity);
            let capacity = if is_granted { capacity } else { length };
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(data);
        is_granted
    }

    fn into_bytes(self) -> Bytes {
        self.reservation.into_bytes(self.bytes)
    }
}
