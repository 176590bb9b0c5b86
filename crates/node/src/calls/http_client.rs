//! The HTTP client for calls.
//!
//! hyper's client is used without the layers of `reqwest`, which parse a URL for each request,
//! follow redirects and decode bodies; a call is passed on as it is.

use std::error::Error;
use std::time::Duration;

use axum::body::Body;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

/// Client for calls to nodes and to the local target.
pub(super) type CallClient = Client<HttpConnector, Body>;

/// Limits of a client for calls.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClientLimits {
    /// Time allowed for opening a connection.
    pub(super) connect_timeout: Duration,
    /// Time without an acknowledgement after which a connection is given up.
    pub(super) user_timeout: Duration,
    /// Idle connections kept to each address.
    pub(super) idle_connections: usize,
    /// Time for which an idle connection is kept.
    pub(super) idle_timeout: Duration,
}

/// A client within these limits.
pub(super) fn new_call_client(limits: &ClientLimits) -> CallClient {
    let mut connector = HttpConnector::new();
    // Without it, the last packet of a small request waits for an acknowledgement of up to 40 ms.
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(limits.connect_timeout));
    connector.set_tcp_user_timeout(Some(limits.user_timeout));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(limits.idle_timeout)
        .pool_max_idle_per_host(limits.idle_connections)
        .build(connector)
}

/// Whether an error of the client comes from the body of the request or from an answer that is not
/// HTTP, and so does not say that the other side lost the connection.
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
