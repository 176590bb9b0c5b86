//! A transport that counts requests.

use std::sync::Arc;

use agatedeck_wire::{ControlPlaneRequest, ControlPlaneResponse};
use futures::future::BoxFuture;
use tokio::time::Instant;

use super::transport::{PeerAddress, PeerError, PeerTransport};
use crate::metrics::{NodeMetrics, RequestKind, RequestResult};

/// Counts the requests of another transport by kind and result.
#[derive(Debug)]
pub(crate) struct MeteredTransport {
    inner: Arc<dyn PeerTransport>,
    metrics: NodeMetrics,
}

impl MeteredTransport {
    pub(crate) fn new(inner: Arc<dyn PeerTransport>, metrics: NodeMetrics) -> Self {
        Self { inner, metrics }
    }
}

impl PeerTransport for MeteredTransport {
    fn send<'a>(
        &'a self,
        peer: &'a PeerAddress,
        request: ControlPlaneRequest,
        deadline: Instant,
    ) -> BoxFuture<'a, Result<ControlPlaneResponse, PeerError>> {
        let kind = RequestKind::from(&request);
        Box::pin(async move {
            let answer = self.inner.send(peer, request, deadline).await;
            let result = match &answer {
                Ok(_) => RequestResult::Answered,
                Err(error) => RequestResult::from(error),
            };
            self.metrics.count_peer_request(kind, result);
            answer
        })
    }
}
