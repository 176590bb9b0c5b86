//! A transport that adds network delays between failure domains and regions, for measurements on
//! one host.

use std::sync::Arc;
use std::time::Duration;

use agatedeck_wire::{ControlPlaneRequest, ControlPlaneResponse};
use futures::future::BoxFuture;
use tokio::time::{Instant, sleep, timeout_at};

use super::transport::{PeerAddress, PeerError, PeerTransport};
use crate::settings::EmulationSettings;

/// Delays each request before it is sent and each answer before it is returned.
#[derive(Debug)]
pub(crate) struct DelayedTransport {
    inner: Arc<dyn PeerTransport>,
    region: String,
    domain: String,
    settings: EmulationSettings,
}

impl DelayedTransport {
    pub(crate) fn new(
        inner: Arc<dyn PeerTransport>,
        region: &str,
        domain: &str,
        settings: EmulationSettings,
    ) -> Self {
        Self {
            inner,
            region: region.to_owned(),
            domain: domain.to_owned(),
            settings,
        }
    }

    fn delay_to(&self, peer: &PeerAddress) -> Duration {
        if peer.region != self.region {
            self.settings.region_delay
        } else if peer.domain != self.domain {
            self.settings.domain_delay
        } else {
            Duration::ZERO
        }
    }
}

impl PeerTransport for DelayedTransport {
    fn send<'a>(
        &'a self,
        peer: &'a PeerAddress,
        request: ControlPlaneRequest,
        deadline: Instant,
    ) -> BoxFuture<'a, Result<ControlPlaneResponse, PeerError>> {
        let delay = self.delay_to(peer);
        Box::pin(async move {
            let exchange = async {
                sleep(delay).await;
                let answer = self.inner.send(peer, request, deadline).await;
                sleep(delay).await;
                answer
            };
            timeout_at(deadline, exchange)
                .await
                .unwrap_or(Err(PeerError::Deadline))
        })
    }
}
