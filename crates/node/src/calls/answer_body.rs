//! Streaming of an answer's body to its receiver.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use derive_more::{Display, Error};
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};
use tokio::time::{Instant, Sleep, sleep_until};

/// Why streaming an answer was aborted. The connection to the receiver is then closed before the
/// end of the body, so that a truncated answer is never taken for a complete one.
#[derive(Debug, Display, Error)]
pub(super) enum AnswerError {
    /// The connection on which the answer arrived was lost.
    #[display("the answer was truncated: {_0}")]
    Truncated(#[error(source)] hyper::Error),
    /// The deadline of the call has passed.
    #[display("the deadline of the call has passed")]
    DeadlinePassed,
}

/// Receives the result of streaming an answer. If it is dropped without a call to any of the
/// methods, the receiver has disconnected.
pub(super) trait AnswerObserver: Send + Unpin + 'static {
    /// The answer was received completely.
    fn on_complete(&mut self);
    /// The connection on which the answer arrived was lost before its end.
    fn on_truncated(&mut self, error: &hyper::Error);
    /// The deadline passed before the end of the answer.
    fn on_deadline_passed(&mut self);
}

/// Streams an answer: first the prefix that was already read, then the remainder as it arrives.
#[derive(Debug)]
pub(super) struct AnswerBody<O> {
    prefix: Bytes,
    remainder: Incoming,
    deadline: Pin<Box<Sleep>>,
    /// `None` once the observer was notified.
    observer: Option<O>,
}

impl<O: AnswerObserver> AnswerBody<O> {
    pub(super) fn new(prefix: Bytes, remainder: Incoming, deadline: Instant, observer: O) -> Self {
        Self {
            prefix,
            remainder,
            deadline: Box::pin(sleep_until(deadline)),
            observer: Some(observer),
        }
    }

    fn notify(&mut self, notification: impl FnOnce(&mut O)) {
        if let Some(mut observer) = self.observer.take() {
            notification(&mut observer);
        }
    }

    /// Notifies the observer as soon as the end is known: the server does not poll again after the
    /// last byte of an answer with `content-length`.
    fn notify_if_complete(&mut self) {
        if self.remainder.is_end_stream() {
            self.notify(AnswerObserver::on_complete);
        }
    }
}

impl<O: AnswerObserver> HttpBody for AnswerBody<O> {
    type Data = Bytes;
    type Error = AnswerError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerError>>> {
        if !self.prefix.is_empty() {
            let prefix = std::mem::take(&mut self.prefix);
            self.notify_if_complete();
            return Poll::Ready(Some(Ok(Frame::data(prefix))));
        }
        // Checked before the remainder, so that an answer that never pauses ends at the deadline
        // too.
        if self.observer.is_some() && self.deadline.as_mut().poll(context).is_ready() {
            self.notify(AnswerObserver::on_deadline_passed);
            return Poll::Ready(Some(Err(AnswerError::DeadlinePassed)));
        }
        match Pin::new(&mut self.remainder).poll_frame(context) {
            Poll::Ready(None) => {
                self.notify(AnswerObserver::on_complete);
                Poll::Ready(None)
            }
            Poll::Ready(Some(Ok(frame))) => {
                self.notify_if_complete();
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(error))) => {
                self.notify(|observer| observer.on_truncated(&error));
                Poll::Ready(Some(Err(AnswerError::Truncated(error))))
            }
            Poll::Pending => Poll::Pending,
        }
    }

    fn is_end_stream(&self) -> bool {
        self.observer.is_none() && self.prefix.is_empty() && self.remainder.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let (prefix, remainder) = (self.prefix.len() as u64, self.remainder.size_hint());
        let mut hint = SizeHint::new();
        hint.set_lower(prefix + remainder.lower());
        if let Some(upper) = remainder.upper() {
            hint.set_upper(prefix + upper);
        }
        hint
    }
}
