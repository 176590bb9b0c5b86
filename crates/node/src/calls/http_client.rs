//! The HTTP client for calls.
//!
//! Calls are forwarded unchanged, so hyper's client is used directly. `reqwest` would parse a URL
//! for each request, follow redirects and decode bodies.

use std::error::Error;
use std::time::Duration;

use axum::body::Body;
use axum::http::uri::{Authority, PathAndQuery, Scheme};
use axum::http::{Request, Uri, uri};
use hyper::body::Body as _;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use tokio::net::TcpStream;
use tower::util::MapResponse;

use super::call_stream::CallStream;

/// HTTP client for calls to other nodes and to the local target.
pub(super) type CallClient = Client<CallConnector, Body>;

type CallConnector = MapResponse<HttpConnector, fn(TokioIo<TcpStream>) -> TokioIo<CallStream>>;

/// Size of the buffers of a connection, and with it of the largest head of an answer. hyper's default of
/// 408 KiB is more than a small host has for each of its connections.
const BUFFER_BYTES: usize = 64 * 1_024;

/// Connection limits of a [`CallClient`].
#[derive(Clone, Copy, Debug)]
pub(super) struct ClientLimits {
    /// Time allowed for opening a connection.
    pub(super) connect_timeout: Duration,
    /// Time without a TCP acknowledgement, or with a shut receive window, after which a connection is
    /// closed (`TCP_USER_TIMEOUT`); `None` for no such limit.
    pub(super) user_timeout: Option<Duration>,
    /// Maximum number of idle connections to each address.
    pub(super) idle_connections: usize,
    /// Time after which an idle connection is closed.
    pub(super) idle_timeout: Duration,
}

/// Builds a client with these limits.
fn new_call_client(limits: &ClientLimits) -> CallClient {
    let mut connector = HttpConnector::new();
    // Otherwise the last packet of a small request waits up to 40 ms for an acknowledgement.
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(limits.connect_timeout));
    connector.set_tcp_user_timeout(limits.user_timeout);
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .http1_max_buf_size(BUFFER_BYTES)
        .pool_idle_timeout(limits.idle_timeout)
        .pool_max_idle_per_host(limits.idle_connections)
        .build(MapResponse::new(connector, wrap_stream))
}

/// Clients for requests with small and with large bodies. A receiver may work before it reads a large body,
/// and its receive window is shut meanwhile: `TCP_USER_TIMEOUT` would take that for a lost host.
#[derive(Clone, Debug)]
pub(super) struct CallClients {
    small_bodies: CallClient,
    large_bodies: CallClient,
    min_large_bytes: u64,
}

impl CallClients {
    /// Creates clients with these limits. Bodies of `min_large_bytes` or more are large.
    pub(super) fn new(limits: &ClientLimits, min_large_bytes: u64) -> Self {
        Self {
            small_bodies: new_call_client(limits),
            large_bodies: new_call_client(&ClientLimits {
                user_timeout: None,
                ..*limits
            }),
            min_large_bytes,
        }
    }

    /// Whether the body is large, or its size is not known.
    pub(super) fn has_large_body(&self, request: &Request<Body>) -> bool {
        let size = request.body().size_hint().exact();
        size.is_none_or(|size| size >= self.min_large_bytes)
    }

    /// The client for the request.
    pub(super) fn for_request(&self, request: &Request<Body>) -> &CallClient {
        if self.has_large_body(request) {
            &self.large_bodies
        } else {
            &self.small_bodies
        }
    }
}

fn wrap_stream(stream: TokioIo<TcpStream>) -> TokioIo<CallStream> {
    TokioIo::new(CallStream::new(stream.into_inner()))
}

/// URI of a request at the next hop `authority`, with the path and query of `uri`.
pub(super) fn forwarded_uri(uri: &Uri, authority: Authority) -> Option<Uri> {
    let mut parts = uri::Parts::default();
    parts.scheme = Some(Scheme::HTTP);
    parts.authority = Some(authority);
    let path = uri.path_and_query().cloned();
    parts.path_and_query = Some(path.unwrap_or_else(|| PathAndQuery::from_static("/")));
    Uri::from_parts(parts).ok()
}

/// Whether a client error was caused by the request's body or by an answer that is not valid HTTP.
/// Such an error does not mean that the connection was lost.
pub(super) fn is_body_or_parse_error(error: &(dyn Error + 'static)) -> bool {
    let mut source = Some(error);
    while let Some(error) = source {
        if let Some(error) = error.downcast_ref::<hyper::Error>() {
            return error.is_user() || error.is_parse();
        }
        source = error.source();
    }
    false
}
