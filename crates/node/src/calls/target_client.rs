//! The HTTP client for requests to the local target.

use std::future::Future;

use axum::body::Body;
use axum::http::{Extensions, Request, Response};
use hyper::body::Incoming;
use hyper_util::client::legacy::Error;
use hyper_util::client::legacy::connect::{CaptureConnection, HttpInfo, capture_connection};

use super::http_client::{CallClient, ClientLimits, new_call_client};

/// HTTP client for requests to the local target.
#[derive(Clone, Debug)]
pub(super) struct TargetClient(CallClient);

impl TargetClient {
    pub(super) fn new(limits: &ClientLimits) -> Self {
        Self(new_call_client(limits))
    }

    /// Returns the connection of a request and the future of its answer. Dropping the future before
    /// the answer closes the connection.
    pub(super) fn send(
        &self,
        mut request: Request<Body>,
    ) -> (
        TargetConnection,
        impl Future<Output = Result<Response<Incoming>, Error>> + use<>,
    ) {
        let connection = TargetConnection(capture_connection(&mut request));
        (connection, self.0.request(request))
    }
}

/// The connection to the target on which a request is sent, once there is one.
#[derive(Clone, Debug)]
pub(super) struct TargetConnection(CaptureConnection);

impl TargetConnection {
    /// Local port of the connection, which identifies it in the log; `None` if the request was not
    /// sent.
    pub(super) fn local_port(&self) -> Option<u16> {
        let mut extensions = Extensions::new();
        let connected = self.0.connection_metadata();
        connected.as_ref()?.get_extras(&mut extensions);
        let info: &HttpInfo = extensions.get()?;
        Some(info.local_addr().port())
    }
}
