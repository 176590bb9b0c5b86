//! The HTTP client for requests to the local target.
//!
//! A connection is used for another request only after a successful answer. A target that refuses
//! a request may not have read its body yet, and reads a later request only after that body, even
//! if the caller has left by then. A faulty target may also repeat a refusal, which would be taken
//! for the answer to the later request.

use std::future::Future;

use axum::body::Body;
use axum::http::{Extensions, Request, Response};
use hyper::body::Incoming;
use hyper_util::client::legacy::Error;
use hyper_util::client::legacy::connect::{CaptureConnection, HttpInfo, capture_connection};

use super::http_client::{CallClients, ClientLimits};

/// HTTP client for requests to the local target.
#[derive(Clone, Debug)]
pub(super) struct TargetClient(CallClients);

impl TargetClient {
    /// Creates a client with these limits. Bodies of `min_large_bytes` or more are large.
    pub(super) fn new(limits: &ClientLimits, min_large_bytes: u64) -> Self {
        Self(CallClients::new(limits, min_large_bytes))
    }

    /// Returns the future of the answer to a request.
    pub(super) fn request(
        &self,
        request: Request<Body>,
    ) -> impl Future<Output = Result<Response<Incoming>, Error>> + use<> {
        self.send(request).1
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
        let answer = self.0.for_request(&request).request(request);
        let answer_connection = connection.clone();
        let answer = async move {
            let answer = answer.await?;
            if !answer.status().is_success() {
                answer_connection.forbid_reuse();
            }
            Ok(answer)
        };
        (connection, answer)
    }
}

/// The connection to the target on which a request is sent, once there is one.
#[derive(Clone, Debug)]
pub(super) struct TargetConnection(CaptureConnection);

impl TargetConnection {
    /// Closes the connection once the current request has ended. On a runtime with several worker
    /// threads, another request may take it from the pool just before this call.
    pub(super) fn forbid_reuse(&self) {
        if let Some(connected) = self.0.connection_metadata().as_ref() {
            connected.poison();
        }
    }

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
