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
const EXPECT_CONTINUE: HeaderValue = HeaderValue::from_static("100-continue");

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ContinueState {
    Waiting,
    Received,
    /// The request has ended and its body was not asked for.
    Cancelled,
}

/// The body was not asked for.
#[derive(Debug, Display, Error)]
#[display("the body of the request was not asked for")]
struct BodyNotRequested;

/// Lets the body of one request pass. Dropped before the body was asked for, it ends the request.
#[derive(Debug)]
pub(super) struct ContinueGuard(Arc<watch::Sender<ContinueState>>);

impl Drop for ContinueGuard {
    fn drop(&mut self) {
        resolve_waiting(&self.0, ContinueState::Cancelled);
    }
}

fn resolve_waiting(sender: &watch::Sender<ContinueState>, next: ContinueState) {
    sender.send_if_modified(|state| {
        let waiting = *state == ContinueState::Waiting;
        if waiting {
            *state = next;
        }
        waiting
    });
}

/// Whether the sender of a request waits before it sends the body.
pub(super) fn expects_continue(headers: &HeaderMap) -> bool {
    let expectation = headers.get(header::EXPECT);
    expectation.is_some_and(|value| {
        value
            .as_bytes()
            .eq_ignore_ascii_case(EXPECT_CONTINUE.as_bytes())
    })
}

/// Holds the body of `request` back until the other side asks for it, if it has `threshold` bytes or
/// more or does not state how many.
pub(super) fn defer_body(
    request: &mut Request<Body>,
    threshold_bytes: u64,
) -> Option<ContinueGuard> {
    let size = request.body().size_hint().exact();
    if size.is_some_and(|size| size < threshold_bytes) {
        return None;
    }
    let (sender, mut receiver) = watch::channel(ContinueState::Waiting);
    let sender = Arc::new(sender);
    let continue_sender = Arc::clone(&sender);
    hyper::ext::on_informational(request, move |answer| {
        if answer.status() == StatusCode::CONTINUE {
            resolve_waiting(&continue_sender, ContinueState::Received);
        }
    });
    request
        .headers_mut()
        .insert(header::EXPECT, EXPECT_CONTINUE);
    let body = std::mem::take(request.body_mut());
    let continued = async move {
        let state = receiver
            .wait_for(|state| *state != ContinueState::Waiting)
            .await;
        state.is_ok_and(|state| *state == ContinueState::Received)
    };
    *request.body_mut() = Body::new(DeferredBody {
        continued: Some(Box::pin(continued)),
        body,
    });
    Some(ContinueGuard(sender))
}

/// A body behind a gate.
struct DeferredBody {
    /// Resolves to whether the body may be sent; `None` once it may.
    continued: Option<BoxFuture<'static, bool>>,
    body: Body,
}

impl HttpBody for DeferredBody {
    type Data = Bytes;
    type Error = axum::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, axum::Error>>> {
        if let Some(continued) = &mut self.continued {
            match continued.as_mut().poll(context) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(false) => {
                    return Poll::Ready(Some(Err(axum::Error::new(BodyNotRequested))));
                }
                Poll::Ready(true) => self.continued = None,
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
