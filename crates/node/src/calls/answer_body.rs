//! The body of an answer that is passed on while it arrives.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use derive_more::{Display, Error};
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};
use tokio::time::{Instant, Sleep, sleep_until};

/// Why an answer is broken off. The connection to the receiver is closed before the end of the
/// body, so that a truncated answer is never taken for a whole one.
#[derive(Debug, Display, Error)]
pub(super) enum AnswerError {
    /// The connection on which the answer arrived was lost.
    #[display("the answer broke off: {_0}")]
    Truncated(#[error(source)] hyper::Error),
    /// The deadline of the call has passed.
    #[display("the deadline of the call has passed")]
    DeadlinePassed,
}

/// Learns how the answer ended. Dropped before that, the receiver has gone.
pub(super) trait AnswerObserver: Send + Unpin + 'static {
    /// The answer is complete.
    fn on_complete(&mut self);
    /// The answer broke off.
    fn on_truncated(&mut self, error: &hyper::Error);
    /// The deadline passed before the end of the answer.
    fn on_deadline_passed(&mut self);
}

/// Passes an answer on: first what was read ahead, then the rest as it arrives.
#[derive(Debug)]
pub(super) struct AnswerBody<W> {
    prefix: Bytes,
    remainder: Incoming,
    deadline: Pin<Box<Sleep>>,
    /// `None` once the end of the answer was told.
    observer: Option<W>,
}

impl<W: AnswerObserver> AnswerBody<W> {
    pub(super) fn new(prefix: Bytes, remainder: Incoming, deadline: Instant, observer: W) -> Self {
        Self {
            prefix,
            remainder,
            deadline: Box::pin(sleep_until(deadline)),
            observer: Some(observer),
        }
    }

    fn notify(&mut self, notification: impl FnOnce(&mut W)) {
        if let Some(mut observer) = self.observer.take() {
            notification(&mut observer);
        }
    }

    /// Tells the end as soon as it is known: the server does not ask for more after the last byte
    /// of an answer of stated length.
    fn notify_if_complete(&mut self) {
        if self.remainder.is_end_stream() {
            self.notify(AnswerObserver::on_complete);
        }
    }
}

impl<W: AnswerObserver> HttpBody for AnswerBody<W> {
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
        // Before the rest, so that an answer that never pauses ends at the deadline as well.
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
