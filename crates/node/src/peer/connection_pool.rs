//! Keeps one link for each peer in use.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use agatedeck_wire::{ByteMeter, ControlPlaneRequest, ControlPlaneResponse};
use futures::future::BoxFuture;
use kameo::Actor;
use kameo::actor::{ActorRef, Spawn};
use kameo::message::{Context, Message};
use tokio::time::{Instant, timeout_at};

use super::connection::{CloseUnused, PeerLink, SendRequest};
use super::transport::{PeerAddress, PeerError, PeerTransport};

/// A connection that is unused for this long is closed, so that random probes do not leave a
/// connection to every node of the failure domain.
const UNUSED_TIMEOUT: Duration = Duration::from_secs(30);

/// Bytes of the control protocol on connections that this node opened.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConnectionMeters {
    /// All connections.
    pub(crate) all: Arc<ByteMeter>,
    /// Connections to other regions.
    pub(crate) cross_region: Arc<ByteMeter>,
}

/// Owns the links.
#[derive(Actor)]
struct LinkKeeper {
    region: String,
    meters: ConnectionMeters,
    links: HashMap<SocketAddr, ActorRef<PeerLink>>,
}

struct LinkTo(PeerAddress);

impl Message<LinkTo> for LinkKeeper {
    type Reply = Option<ActorRef<PeerLink>>;

    async fn handle(
        &mut self,
        LinkTo(peer): LinkTo,
        _: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        if let Some(link) = self.links.get(&peer.address) {
            return Some(link.clone());
        }
        let mut meters = vec![Arc::clone(&self.meters.all)];
        if peer.region != self.region {
            meters.push(Arc::clone(&self.meters.cross_region));
        }
        // The chart was checked when the node started.
        let link = PeerLink::spawn(PeerLink::new(peer.address, meters).ok()?);
        self.links.insert(peer.address, link.clone());
        Some(link)
    }
}

struct CloseUnusedLinks;

impl Message<CloseUnusedLinks> for LinkKeeper {
    type Reply = ();

    async fn handle(&mut self, _: CloseUnusedLinks, _: &mut Context<Self, ()>) {
        let Some(unused_since) = Instant::now().checked_sub(UNUSED_TIMEOUT) else {
            return;
        };
        let mut unused = Vec::new();
        for (address, link) in &self.links {
            // A link that is gone counts as unused.
            if link.ask(CloseUnused { unused_since }).await.unwrap_or(true) {
                unused.push(*address);
            }
        }
        // Dropped from the map, or links to addresses that are gone would add up.
        for address in unused {
            self.links.remove(&address);
        }
    }
}

/// Sends requests over links.
#[derive(Clone, Debug)]
pub(crate) struct LinkTransport {
    keeper: ActorRef<LinkKeeper>,
}

impl LinkTransport {
    pub(crate) fn start(region: &str, meters: ConnectionMeters) -> Self {
        let region = region.to_owned();
        let keeper = LinkKeeper::spawn(LinkKeeper {
            region,
            meters,
            links: HashMap::new(),
        });
        let transport = Self {
            keeper: keeper.clone(),
        };
        tokio::spawn(async move {
            let mut interval = tokio::time::interval(UNUSED_TIMEOUT / 3);
            loop {
                interval.tick().await;
                if keeper.tell(CloseUnusedLinks).await.is_err() {
                    break;
                }
            }
        });
        transport
    }
}

impl PeerTransport for LinkTransport {
    fn send<'a>(
        &'a self,
        peer: &'a PeerAddress,
        request: ControlPlaneRequest,
        deadline: Instant,
    ) -> BoxFuture<'a, Result<ControlPlaneResponse, PeerError>> {
        Box::pin(async move {
            let link = self.keeper.ask(LinkTo(peer.clone())).await;
            let link = link.ok().flatten().ok_or(PeerError::Unreachable)?;
            let answer = link.ask(SendRequest { request, deadline });
            match timeout_at(deadline, answer.into_future()).await {
                Err(_) => Err(PeerError::Deadline),
                Ok(Ok(response)) => Ok(response),
                Ok(Err(kameo::error::SendError::HandlerError(error))) => Err(error),
                Ok(Err(_)) => Err(PeerError::Lost),
            }
        })
    }
}
