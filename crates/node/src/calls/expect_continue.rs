//! Large bodies that are sent only once the target's node has asked for them.
//!
//! A body that crosses a link and is then refused takes the place of one that would have been
//! served. The request states `expect: 100-continue`, and its body waits for the answer to that.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use axum::body::{Body, HttpBody};
use axum::http::{HeaderMap, HeaderValue, Request, StatusCode, header};
use bytes::Bytes;
use derive_more::{Display, Error};
use futures::future::BoxFuture;
use hyper::body::{Frame, SizeHint};
use tokio::sync::watch;

/// Value of the header `expect` with which a client waits before it sends a body.
const CONTINUE: HeaderValue = HeaderValue::from_static("100-continue");

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum GateState {
    Waiting,
    Open,
    /// The request has ended and its body was not asked for.
    Shut,
}

/// The body was not asked for.
#[derive(Debug, Display, Error)]
#[display("the body of the request was not asked for")]
struct BodyNotAsked;

/// Lets the body of one request pass. Dropped before the body was asked for, it ends the request.
#[derive(Debug)]
pub(super) struct BodyGate(Arc<watch::Sender<GateState>>);

impl Drop for BodyGate {
    fn drop(&mut self) {
        leave_waiting(&self.0, GateState::Shut);
    }
}

fn leave_waiting(gate: &watch::Sender<GateState>, next: GateState) {
    gate.send_if_modified(|state| {
        let waiting = *state == GateState::Waiting;
        if waiting {
            *state = next;
        }
        waiting
    });
}

/// Whether the sender of a request waits before it sends the body.
pub(super) fn expects_continue(headers: &HeaderMap) -> bool {
    let stated = headers.get(header::EXPECT);
    stated.is_some_and(|stated| stated.as_bytes().eq_ignore_ascii_case(CONTINUE.as_bytes()))
}

/// Holds the body of `request` back until the other side asks for it, if it has `threshold` bytes or
/// more or does not state how many.
pub(super) fn defer_body(request: &mut Request<Body>, threshold: u64) -> Option<BodyGate> {
    let size = request.body().size_hint().exact();
    if size.is_some_and(|size| size < threshold) {
        return None;
    }
    let (sender, mut receiver) = watch::channel(GateState::Waiting);
    let sender = Arc::new(sender);
    let opener = Arc::clone(&sender);
    hyper::ext::on_informational(request, move |answer| {
        if answer.status() == StatusCode::CONTINUE {
            leave_waiting(&opener, GateState::Open);
        }
    });
    request.headers_mut().insert(header::EXPECT, CONTINUE);
    let body = std::mem::take(request.body_mut());
    let passed = async move {
        let state = receiver
            .wait_for(|state| *state != GateState::Waiting)
            .await;
        state.is_ok_and(|state| *state == GateState::Open)
    };
    *request.body_mut() = Body::new(GatedBody {
        passed: Some(Box::pin(passed)),
        body,
    });
    Some(BodyGate(sender))
}

/// A body behind a gate.
struct GatedBody {
    /// Resolves to whether the body may be sent; `None` once it may.
    passed: Option<BoxFuture<'static, bool>>,
    body: Body,
}

impl HttpBody for GatedBody {
    type Data = Bytes;
    type Error = axum::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, axum::Error>>> {
        if let Some(passed) = &mut self.passed {
            match passed.as_mut().poll(context) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(false) => {
                    return Poll::Ready(Some(Err(axum::Error::new(BodyNotAsked))));
                }
                Poll::Ready(true) => self.passed = None,
            }
        }
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
