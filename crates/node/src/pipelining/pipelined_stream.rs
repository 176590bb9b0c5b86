//! The stream of a connection on which requests are begun as soon as their heads have arrived.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::fmt;
use std::future::poll_fn;
use std::io::{self, IoSlice};
use std::pin::{Pin, pin};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use axum::body::Body;
use axum::http::{HeaderValue, Request, StatusCode, header, request};
use axum::response::Response;
use bytes::{Buf, BytesMut};
use futures::future::BoxFuture;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Sleep, sleep};
use tokio_util::task::AbortOnDropHandle;

use super::head_scanner::HeadScanner;
use crate::memory::{MemoryAccount, MemoryReservation};

/// Maximum number of requests of one connection that are begun before their turn.
const MAX_REQUESTS_AHEAD: usize = 8;

/// Maximum number of bytes of one connection that are read before the HTTP server asks for them.
const MAX_BYTES_AHEAD: usize = 64 * 1024;

/// Time for which requests are read and discarded after the last answer. Closing a connection with unread
/// bytes resets it, and drops what the client has not taken of the answer yet.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Size of one read ahead.
const READ_BYTES: usize = 4 * 1024;

/// Decides which requests need not wait for their turn.
pub(crate) trait RunAheadPolicy: fmt::Debug + Send + Sync {
    /// Whether a request may be begun before the earlier ones of its connection are answered. It may then be
    /// cancelled and sent again by its client.
    fn may_run_ahead(&self, head: &request::Parts) -> bool;
}

/// Answers the requests of a connection.
pub(crate) trait RequestHandler: Send + Sync {
    /// Answers a request.
    fn answer(&self, request: Request<Body>) -> BoxFuture<'static, Response>;
}

/// A request that was begun before its turn. Dropping it cancels the request.
#[derive(Debug)]
struct RequestAhead {
    number: u64,
    head: Request<()>,
    answer: AbortOnDropHandle<Response>,
}

/// State of a connection, shared by its stream and its service. Both are polled by the task of the
/// connection, so that the lock is never contended.
struct PipelineState<S> {
    stream: S,
    handler: Arc<dyn RequestHandler>,
    policy: Arc<dyn RunAheadPolicy>,
    scanner: HeadScanner,
    /// Bytes that were read ahead and not passed to the HTTP server yet.
    unread: BytesMut,
    account: MemoryAccount,
    /// What the bytes that were read ahead take of the account.
    reservation: MemoryReservation,
    /// Whether the client has closed its side.
    is_ended: bool,
    /// Number of requests whose heads have arrived.
    arrived: u64,
    /// Number of requests that the HTTP server has begun.
    begun: u64,
    /// Number of requests that were answered.
    answered: u64,
    ahead: VecDeque<RequestAhead>,
    /// Ends the time in which requests are discarded; `None` unless some were unread after the last answer.
    discard_timer: Option<Pin<Box<Sleep>>>,
}

impl<S> PipelineState<S> {
    /// Scans bytes that have arrived, and begins the requests among them that need not wait for their turn.
    fn scan(&mut self, bytes: &[u8]) {
        for request in self.scanner.scan(bytes) {
            self.arrived += 1;
            let is_next = self.arrived == self.begun + 1 && self.begun == self.answered;
            if let Some(head) = request.head
                && !is_next
                && self.ahead.len() < MAX_REQUESTS_AHEAD
            {
                self.begin_ahead(head);
            }
        }
    }

    fn begin_ahead(&mut self, head: Request<()>) {
        let (parts, ()) = head.clone().into_parts();
        if !self.policy.may_run_ahead(&parts) {
            return;
        }
        let answer = self
            .handler
            .answer(Request::from_parts(parts, Body::empty()));
        self.ahead.push_back(RequestAhead {
            number: self.arrived,
            head,
            answer: AbortOnDropHandle::new(tokio::spawn(answer)),
        });
    }

    /// Returns the answer of the request that the HTTP server begins now, if it was begun ahead.
    fn begin_next(&mut self, request: &request::Parts) -> Option<AbortOnDropHandle<Response>> {
        self.begun += 1;
        let number = self.begun;
        let ahead = self.ahead.pop_front_if(|ahead| ahead.number <= number)?;
        let head = &ahead.head;
        let is_same = ahead.number == number
            && head.method() == request.method
            && *head.uri() == request.uri
            && *head.headers() == request.headers;
        if !is_same {
            // The scanner and the HTTP server disagree about the requests of this connection.
            self.ahead.clear();
            return None;
        }
        Some(ahead.answer)
    }

    /// Records that the request that was begun last is answered. Requests behind an answer that closes the
    /// connection count as not read.
    fn finish(&mut self, response: &Response) {
        self.answered = self.begun;
        let connection = response.headers().get(header::CONNECTION);
        if connection.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close")) {
            self.ahead.clear();
        }
        if self.unread.is_empty() {
            self.reservation = self.account.reservation();
        }
    }
}

impl<S: AsyncRead + Unpin> PipelineState<S> {
    /// Reads requests ahead of the HTTP server. Ready once the client has closed the connection.
    fn poll_disconnect(&mut self, context: &mut Context<'_>) -> Poll<()> {
        while !self.is_ended {
            let bytes_ahead = self.unread.len() + READ_BYTES;
            let may_read = self.scanner.is_outside_body() && bytes_ahead <= MAX_BYTES_AHEAD;
            // Without memory, the bytes wait in the socket until the HTTP server reads them.
            if !may_read || !self.reservation.try_grow_to(bytes_ahead) {
                return Poll::Pending;
            }
            let mut bytes = [0; READ_BYTES];
            let mut buffer = ReadBuf::new(&mut bytes);
            match ready!(Pin::new(&mut self.stream).poll_read(context, &mut buffer)) {
                Ok(()) if !buffer.filled().is_empty() => {
                    self.unread.extend_from_slice(buffer.filled());
                    self.scan(buffer.filled());
                }
                Ok(()) | Err(_) => self.is_ended = true,
            }
        }
        self.ahead.clear();
        Poll::Ready(())
    }

    /// If requests are unread, discards what the client sends until it closes the connection too, or for a
    /// limited time.
    fn poll_discard(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let mut bytes = [0; READ_BYTES];
        if !std::mem::take(&mut self.unread).is_empty() {
            self.discard_timer = Some(Box::pin(sleep(DISCARD_TIMEOUT)));
        }
        while !self.is_ended {
            let timer = self.discard_timer.as_mut();
            if timer.is_some_and(|timer| timer.as_mut().poll(context).is_ready()) {
                break;
            }
            let mut buffer = ReadBuf::new(&mut bytes);
            match Pin::new(&mut self.stream).poll_read(context, &mut buffer) {
                Poll::Pending if self.discard_timer.is_some() => return Poll::Pending,
                Poll::Ready(Ok(())) if !buffer.filled().is_empty() => {
                    let timer = || Box::pin(sleep(DISCARD_TIMEOUT));
                    self.discard_timer.get_or_insert_with(timer);
                }
                Poll::Pending | Poll::Ready(_) => break,
            }
        }
        Poll::Ready(())
    }

    fn poll_read(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if !self.unread.is_empty() {
            let count = self.unread.len().min(buffer.remaining());
            buffer.put_slice(&self.unread[..count]);
            self.unread.advance(count);
            if self.unread.is_empty() {
                self.unread = BytesMut::new();
                self.reservation = self.account.reservation();
            }
            return Poll::Ready(Ok(()));
        }
        if self.is_ended {
            return Poll::Ready(Ok(()));
        }
        let filled_before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        self.scan(&buffer.filled()[filled_before..]);
        Poll::Ready(Ok(()))
    }
}

type SharedState<S> = Arc<Mutex<PipelineState<S>>>;

fn lock<S>(state: &SharedState<S>) -> MutexGuard<'_, PipelineState<S>> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The stream that the HTTP server reads from and writes to.
pub(crate) struct PipelinedStream<S>(SharedState<S>);

/// The service that the HTTP server calls for each request of the stream.
pub(crate) struct PipelinedService<S>(SharedState<S>);

impl<S> PipelinedStream<S> {
    /// Wraps the stream of a new connection.
    pub(crate) fn new(
        stream: S,
        handler: Arc<dyn RequestHandler>,
        policy: Arc<dyn RunAheadPolicy>,
        account: MemoryAccount,
        max_head_bytes: usize,
    ) -> (Self, PipelinedService<S>) {
        let state = Arc::new(Mutex::new(PipelineState {
            stream,
            handler,
            policy,
            scanner: HeadScanner::new(max_head_bytes),
            unread: BytesMut::new(),
            reservation: account.reservation(),
            account,
            is_ended: false,
            arrived: 0,
            begun: 0,
            answered: 0,
            ahead: VecDeque::new(),
            discard_timer: None,
        }));
        (Self(Arc::clone(&state)), PipelinedService(state))
    }
}

impl<S: AsyncRead + Unpin + Send + 'static> PipelinedService<S> {
    /// Answers a request, or hands over the answer of one that was begun ahead. Cancels it, and those ahead of
    /// their turn, if the client disconnects.
    pub(crate) async fn answer(&self, request: Request<Body>) -> Result<Response, Infallible> {
        let state = Arc::clone(&self.0);
        let (parts, body) = request.into_parts();
        let ahead = lock(&state).begin_next(&parts);
        let answer: BoxFuture<'static, Response> = match ahead {
            // The task is cancelled only together with the connection.
            Some(ahead) => Box::pin(async { ahead.await.unwrap_or_else(|_| closing_response()) }),
            None => lock(&state)
                .handler
                .answer(Request::from_parts(parts, body)),
        };
        let mut answer = pin!(answer);
        let response = poll_fn(|context| {
            if let Poll::Ready(response) = answer.as_mut().poll(context) {
                return Poll::Ready(response);
            }
            lock(&state)
                .poll_disconnect(context)
                .map(|()| closing_response())
        })
        .await;
        lock(&state).finish(&response);
        Ok(response)
    }
}

/// Ends a connection whose client is gone.
fn closing_response() -> Response {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = StatusCode::BAD_GATEWAY;
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(header::CONNECTION, close);
    response
}

impl<S: AsyncRead + Unpin> AsyncRead for PipelinedStream<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        lock(&self.0).poll_read(context, buffer)
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncWrite for PipelinedStream<S> {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut lock(&self.0).stream).poll_write(context, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut lock(&self.0).stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut state = lock(&self.0);
        ready!(Pin::new(&mut state.stream).poll_shutdown(context))?;
        state.poll_discard(context).map(Ok)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut lock(&self.0).stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        lock(&self.0).stream.is_write_vectored()
    }
}
