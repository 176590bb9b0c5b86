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
    Broken(#[error(source)] hyper::Error),
    /// The deadline of the call has passed.
    #[display("the deadline of the call has passed")]
    Expired,
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
    head: Bytes,
    rest: Incoming,
    deadline: Pin<Box<Sleep>>,
    /// `None` once the end of the answer was told.
    watch: Option<W>,
}

impl<W: AnswerObserver> AnswerBody<W> {
    pub(super) fn new(head: Bytes, rest: Incoming, deadline: Instant, watch: W) -> Self {
        Self {
            head,
            rest,
            deadline: Box::pin(sleep_until(deadline)),
            watch: Some(watch),
        }
    }

    fn tell(&mut self, tell: impl FnOnce(&mut W)) {
        if let Some(mut watch) = self.watch.take() {
            tell(&mut watch);
        }
    }

    /// Tells the end as soon as it is known: the server does not ask for more after the last byte
    /// of an answer of stated length.
    fn note_end(&mut self) {
        if self.rest.is_end_stream() {
            self.tell(AnswerObserver::on_complete);
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
        if !self.head.is_empty() {
            let head = std::mem::take(&mut self.head);
            self.note_end();
            return Poll::Ready(Some(Ok(Frame::data(head))));
        }
        // Before the rest, so that an answer that never pauses ends at the deadline as well.
        if self.watch.is_some() && self.deadline.as_mut().poll(context).is_ready() {
            self.tell(AnswerObserver::on_deadline_passed);
            return Poll::Ready(Some(Err(AnswerError::Expired)));
        }
        match Pin::new(&mut self.rest).poll_frame(context) {
            Poll::Ready(None) => {
                self.tell(AnswerObserver::on_complete);
                Poll::Ready(None)
            }
            Poll::Ready(Some(Ok(frame))) => {
                self.note_end();
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(error))) => {
                self.tell(|watch| watch.on_truncated(&error));
                Poll::Ready(Some(Err(AnswerError::Broken(error))))
            }
            Poll::Pending => Poll::Pending,
        }
    }

    fn is_end_stream(&self) -> bool {
        self.watch.is_none() && self.head.is_empty() && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let (head, rest) = (self.head.len() as u64, self.rest.size_hint());
        let mut hint = SizeHint::new();
        hint.set_lower(head + rest.lower());
        if let Some(upper) = rest.upper() {
            hint.set_upper(head + upper);
        }
        hint
    }
}
