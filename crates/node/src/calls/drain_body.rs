//! Drains the request body before a refusal ends.
//!
//! If a server answers and closes the connection while the client is still sending, the connection
//! is reset and the client may lose the answer, which turns a refusal into an `unknown` outcome.
//! The unread body is therefore read and discarded before the refusal ends. The head of the refusal
//! is sent at once, so that a client that checks for early answers can stop sending.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use axum::body::{Body, HttpBody};
use axum::response::Response;
use bytes::Bytes;
use hyper::body::{Frame, SizeHint};
use tokio::sync::oneshot;
use tokio::time::{Sleep, sleep, timeout};

/// Maximum time for which the unread body is drained. A slower caller may lose the refusal.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(5);

/// Timeout for recovering the unsent rest of a body from the HTTP client.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(1);

/// The body of a refusal, which is sent after the request body is drained.
struct DrainingBody {
    unread: Option<Body>,
    text: Bytes,
    timer: Pin<Box<Sleep>>,
}

impl HttpBody for DrainingBody {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        // Checked first, since the budget of the task is used up by a body that arrives without a pause.
        if self.unread.is_some() && self.timer.as_mut().poll(context).is_ready() {
            self.unread = None;
        }
        while let Some(unread) = &mut self.unread {
            match Pin::new(unread).poll_frame(context) {
                Poll::Ready(Some(Ok(_))) => {}
                Poll::Ready(None | Some(Err(_))) => self.unread = None,
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

/// Delays the end of `response` until `unread`, the unread rest of the request body, is drained.
pub(super) async fn respond_after_drain(response: Response, unread: Option<Body>) -> Response {
    let Some(unread) = unread.filter(|unread| !unread.is_end_stream()) else {
        return response;
    };
    let (parts, text) = response.into_parts();
    let text = axum::body::to_bytes(text, usize::MAX).await;
    let body = DrainingBody {
        unread: Some(unread),
        text: text.unwrap_or_default(),
        timer: Box::pin(sleep(DRAIN_TIMEOUT)),
    };
    Response::from_parts(parts, Body::new(body))
}

/// A body that is sent to its `BodyRecovery` when dropped.
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
            // The receiver is gone unless the call was refused.
            let _ = sender.send(std::mem::take(&mut self.body));
        }
    }
}

/// Recovers the unsent rest of a body from the HTTP client.
#[derive(Debug)]
pub(super) struct BodyRecovery(oneshot::Receiver<Body>);

impl BodyRecovery {
    /// Returns the unsent rest; `None` if the client does not drop the body in time.
    pub(super) async fn recover(self) -> Option<Body> {
        timeout(RECOVERY_TIMEOUT, self.0).await.ok()?.ok()
    }
}

/// Wraps a body so that its unsent rest can be recovered once the HTTP client drops it.
pub(super) fn make_recoverable(body: Body) -> (Body, BodyRecovery) {
    let (sender, receiver) = oneshot::channel();
    let recoverable = RecoverableBody {
        body,
        sender: Some(sender),
    };
    (Body::new(recoverable), BodyRecovery(receiver))
}
