//! Refusals of requests whose body is still on its way.
//!
//! A server that answers and closes the connection while the client still sends resets it, and the
//! client may lose the answer. A refusal would then read as `unknown`. The rest of the body is
//! therefore read and discarded before the refusal ends; its head is sent at once, so that a client
//! that looks for an early answer can stop.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use axum::body::{Body, HttpBody};
use axum::response::Response;
use bytes::Bytes;
use hyper::body::{Frame, SizeHint};
use tokio::sync::oneshot;
use tokio::time::{Sleep, sleep, timeout};

/// Longest time for which the rest of a body is read. A caller that is slower may lose the refusal.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(5);

/// Time within which the client gives back a body that it has not sent to its end.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(1);

/// The text of a refusal, after the rest of the request.
struct DrainingBody {
    unread: Option<Body>,
    text: Bytes,
    limit: Pin<Box<Sleep>>,
}

impl HttpBody for DrainingBody {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        while let Some(unread) = &mut self.unread {
            match Pin::new(unread).poll_frame(context) {
                Poll::Ready(Some(Ok(_))) => {}
                Poll::Ready(None | Some(Err(_))) => self.unread = None,
                Poll::Pending if self.limit.as_mut().poll(context).is_ready() => self.unread = None,
                Poll::Pending => return Poll::Pending,
            }
        }
        let text = std::mem::take(&mut self.text);
        Poll::Ready((!text.is_empty()).then(|| Ok(Frame::data(text))))
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.text.len() as u64)
    }
}

/// Makes `response` end only after `rest`, the unread part of its request, was read.
pub(super) async fn respond_after_drain(response: Response, unread: Option<Body>) -> Response {
    let Some(unread) = unread.filter(|unread| !unread.is_end_stream()) else {
        return response;
    };
    let (parts, text) = response.into_parts();
    let text = axum::body::to_bytes(text, usize::MAX).await;
    let body = DrainingBody {
        unread: Some(unread),
        text: text.unwrap_or_default(),
        limit: Box::pin(sleep(DRAIN_TIMEOUT)),
    };
    Response::from_parts(parts, Body::new(body))
}

/// A body that is given back when dropped.
struct RecoverableBody {
    body: Body,
    sender: Option<oneshot::Sender<Body>>,
}

impl HttpBody for RecoverableBody {
    type Data = Bytes;
    type Error = axum::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, axum::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for RecoverableBody {
    fn drop(&mut self) {
        if let Some(sender) = self.sender.take() {
            // Nobody waits for it unless the call was refused.
            let _ = sender.send(std::mem::take(&mut self.body));
        }
    }
}

/// The unsent rest of a body that was lent to the client.
#[derive(Debug)]
pub(super) struct BodyRecovery(oneshot::Receiver<Body>);

impl BodyRecovery {
    /// The rest, if the client gives it back in time.
    pub(super) async fn recover(self) -> Option<Body> {
        timeout(RECOVERY_TIMEOUT, self.0).await.ok()?.ok()
    }
}

/// Lends a body to the client.
pub(super) fn make_recoverable(body: Body) -> (Body, BodyRecovery) {
    let (sender, receiver) = oneshot::channel();
    let recoverable = RecoverableBody {
        body,
        sender: Some(sender),
    };
    (Body::new(recoverable), BodyRecovery(receiver))
}
