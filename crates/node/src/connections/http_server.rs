//! Serves HTTP on the connections of a listener.

use std::convert::Infallible;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use axum::Router;
use axum::body::{Body, HttpBody};
use axum::response::Response;
use bytes::Bytes;
use futures::future::BoxFuture;
use http::Request;
use hyper::body::{Frame, Incoming, SizeHint};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::sync::watch;
use tokio::time::timeout;
use tower::Service;

use super::client_connection::{ClientConnection, ServedRequest};
use super::client_stream::ClientStream;
use super::listener_server::ConnectionHandler;
use crate::memory::{MemoryAccount, MemoryReservation, MemoryShort};
use crate::pipelining::{PipelinedStream, RequestHandler, RunAheadPolicy};

/// Size of the read buffer of a connection. hyper's default of 408 KiB let the bodies of a few hundred
/// connections take the memory of a small host.
const READ_BUFFER_BYTES: usize = 32 * 1_024;

/// Time in which a connection that is closed can still send the refusal of its request.
const CLOSE_GRACE: Duration = Duration::from_secs(1);

/// Limits of the requests on a listener.
#[derive(Clone, Debug)]
pub(crate) struct HttpLimits {
    /// Maximum size of a head.
    pub(crate) head_bytes: usize,
    /// Maximum number of headers; `None` for hyper's default of 100.
    pub(crate) headers: Option<usize>,
    /// Time within which a connection must have sent the head of its next request.
    pub(crate) idle_timeout: Duration,
    /// Account from which the bodies of requests are reserved as they are read; `None` if the handlers of
    /// the requests reserve them.
    pub(crate) bodies: Option<MemoryAccount>,
}

/// Serves requests with a router.
pub(crate) struct HttpHandler {
    router: Router,
    limits: HttpLimits,
    /// Whether the listener is stopped.
    stop: watch::Receiver<bool>,
    /// Decides which pipelined requests run side by side; `None` if none do.
    run_ahead: Option<RunAheadOptions>,
}

/// How pipelined requests run side by side.
#[derive(Clone, Debug)]
pub(crate) struct RunAheadOptions {
    pub(crate) policy: Arc<dyn RunAheadPolicy>,
    /// Account from which the requests are reserved that are read before their turn.
    pub(crate) account: MemoryAccount,
}

impl HttpHandler {
    pub(crate) fn new(router: Router, limits: HttpLimits, stop: watch::Receiver<bool>) -> Self {
        Self {
            router,
            limits,
            stop,
            run_ahead: None,
        }
    }

    /// Lets pipelined requests run side by side.
    pub(crate) fn pipelined(self, run_ahead: RunAheadOptions) -> Self {
        Self {
            run_ahead: Some(run_ahead),
            ..self
        }
    }

    fn builder(&self) -> http1::Builder {
        let limits = &self.limits;
        let mut builder = http1::Builder::new();
        builder
            .timer(TokioTimer::new())
            .header_read_timeout(limits.idle_timeout)
            .max_header_size(limits.head_bytes + 1)
            .max_buf_size(READ_BUFFER_BYTES.max(limits.head_bytes + 1));
        if let Some(headers) = limits.headers {
            builder.max_headers(headers);
        }
        builder
    }
}

impl ConnectionHandler for HttpHandler {
    fn serve(&self, stream: ClientStream) -> BoxFuture<'static, ()> {
        let builder = self.builder();
        let connection = stream.connection().clone();
        let requests = Arc::new(ConnectionRequests {
            router: self.router.clone(),
            connection: connection.clone(),
            bodies: self.limits.bodies.clone(),
        });
        let stop = self.stop.clone();
        match self.run_ahead.clone() {
            None => {
                let service = service_fn(move |request: Request<Incoming>| {
                    let answer = requests.answer(request.map(Body::new));
                    async { Ok::<_, Infallible>(answer.await) }
                });
                let served = builder.serve_connection(TokioIo::new(stream), service);
                Box::pin(run_connection(served, connection, stop))
            }
            Some(RunAheadOptions { policy, account }) => {
                let head_bytes = self.limits.head_bytes;
                let (stream, service) =
                    PipelinedStream::new(stream, requests, policy, account, head_bytes);
                let service = Arc::new(service);
                let service = service_fn(move |request: Request<Incoming>| {
                    let service = Arc::clone(&service);
                    async move { service.answer(request.map(Body::new)).await }
                });
                let served = builder.serve_connection(TokioIo::new(stream), service);
                Box::pin(run_connection(served, connection, stop))
            }
        }
    }
}

/// Serves a connection until it ends, the listener stops or a limit closes it.
async fn run_connection<I, S>(
    served: http1::Connection<I, S>,
    connection: ClientConnection,
    mut stop: watch::Receiver<bool>,
) where
    I: hyper::rt::Read + hyper::rt::Write + Unpin,
    S: hyper::service::HttpService<Incoming, ResBody = Body>,
    S::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let mut served = pin!(served);
    let stopped = async {
        // An error means that the sender was dropped with the node.
        let _ = stop.wait_for(|stop| *stop).await;
    };
    // Errors end the connection, and its client learns of them by that.
    tokio::select! {
        _ = served.as_mut() => return,
        () = connection.wait_for_close() => {}
        () = stopped => {
            served.as_mut().graceful_shutdown();
            tokio::select! {
                _ = served.as_mut() => return,
                () = connection.wait_for_close() => {}
            }
        }
    }
    if connection.serves_request() {
        served.as_mut().graceful_shutdown();
        let _ = timeout(CLOSE_GRACE, served).await;
    }
}

/// Answers the requests of one connection.
struct ConnectionRequests {
    router: Router,
    connection: ClientConnection,
    bodies: Option<MemoryAccount>,
}

impl RequestHandler for ConnectionRequests {
    fn answer(&self, request: Request<Body>) -> BoxFuture<'static, Response> {
        let (router, connection) = (self.router.clone(), self.connection.clone());
        Box::pin(answer_request(
            router,
            request,
            connection,
            self.bodies.clone(),
        ))
    }
}

async fn answer_request(
    mut router: Router,
    mut request: Request<Body>,
    connection: ClientConnection,
    bodies: Option<MemoryAccount>,
) -> Response {
    let served = connection.begin_request();
    request.extensions_mut().insert(connection.clone());
    let request = match bodies {
        Some(account) => request.map(|body| {
            Body::new(ReservingBody {
                body,
                connection,
                reservation: account.reservation(),
                read_bytes: 0,
            })
        }),
        None => request,
    };
    let Ok(response) = router.call(request).await;
    response.map(|body| {
        Body::new(ServedBody {
            body,
            _served: served,
        })
    })
}

/// The body of an answer. The request is served until it is dropped.
struct ServedBody {
    body: Body,
    _served: ServedRequest,
}

impl HttpBody for ServedBody {
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

/// The body of a request whose handler reads all of it. It ends with an error when the account is short.
struct ReservingBody {
    body: Body,
    connection: ClientConnection,
    reservation: MemoryReservation,
    read_bytes: usize,
}

impl HttpBody for ReservingBody {
    type Data = Bytes;
    type Error = axum::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, axum::Error>>> {
        let frame = Pin::new(&mut self.body).poll_frame(context);
        self.connection.set_reading(frame.is_pending());
        if let Poll::Ready(Some(Ok(frame))) = &frame
            && let Some(data) = frame.data_ref()
        {
            let read_bytes = self.read_bytes + data.len();
            self.read_bytes = read_bytes;
            // The handler collects the body in a buffer that grows by doubling.
            if !self.reservation.try_grow_to(read_bytes * 2) {
                return Poll::Ready(Some(Err(axum::Error::new(MemoryShort))));
            }
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for ReservingBody {
    fn drop(&mut self) {
        self.connection.set_reading(false);
    }
}
