//! `Expect: 100-continue` for requests with large bodies.
//!
//! A body that is sent over a link and then refused uses bandwidth that an admitted body needs. The
//! request therefore states `expect: 100-continue`, and its body is sent only after the target's
//! node answers `100 Continue`.

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

/// Value of the `expect` header with which a client waits for `100 Continue` before it sends the
/// body.
const EXPECT_CONTINUE: HeaderValue = HeaderValue::from_static("100-continue");

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ContinueState {
    Waiting,
    Received,
    /// The request ended without `100 Continue`.
    Cancelled,
}

/// The request ended before the receiver requested its body.
#[derive(Debug, Display, Error)]
#[display("the request ended before the receiver requested its body")]
struct BodyNotRequested;

/// Cancels the deferred body of a request if it is dropped before `100 Continue` arrives.
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

/// Whether the sender of a request waits for `100 Continue` before it sends the body.
pub(super) fn expects_continue(headers: &HeaderMap) -> bool {
    let expectation = headers.get(header::EXPECT);
    expectation.is_some_and(|value| {
        value
            .as_bytes()
            .eq_ignore_ascii_case(EXPECT_CONTINUE.as_bytes())
    })
}

/// Defers the body of `request` until `100 Continue` arrives, if the body has at least
/// `threshold_bytes` bytes or an unknown length. Returns `None` if the body is sent at once.
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

/// A body that is sent only after `100 Continue`.
struct DeferredBody {
    /// Resolves to whether `100 Continue` arrived; `None` once it has.
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
