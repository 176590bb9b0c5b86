//! The connection pool: one connection actor per peer in use.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use agatedeck_wire::{ByteMeter, ControlPlaneRequest, ControlPlaneResponse};
use futures::future::BoxFuture;
use kameo::Actor;
use kameo::actor::{ActorRef, Spawn};
use kameo::message::{Context, Message};
use tokio::time::{Instant, timeout_at};

use super::connection::{CloseIfIdle, PeerConnection, SendRequest};
use super::transport::{PeerAddress, PeerError, PeerTransport};

/// Time after which an idle connection is closed, so that random probes do not leave a connection
/// open to every node of the failure domain.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Byte counts of the control protocol on connections that this node opened.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConnectionMeters {
    /// All connections.
    pub(crate) all: Arc<ByteMeter>,
    /// Connections to other regions.
    pub(crate) cross_region: Arc<ByteMeter>,
    /// Number of connections that were opened, or could not be.
    pub(crate) opened: Arc<AtomicU64>,
}

/// Owns the connection actors, by the address of the peer.
#[derive(Actor)]
struct ConnectionPool {
    region: String,
    meters: ConnectionMeters,
    connections: HashMap<SocketAddr, ActorRef<PeerConnection>>,
}

struct GetConnection(PeerAddress);

impl Message<GetConnection> for ConnectionPool {
    type Reply = Option<ActorRef<PeerConnection>>;

    async fn handle(
        &mut self,
        GetConnection(peer): GetConnection,
        _: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        if let Some(connection) = self.connections.get(&peer.address) {
            return Some(connection.clone());
        }
        let mut meters = vec![Arc::clone(&self.meters.all)];
        if peer.region != self.region {
            meters.push(Arc::clone(&self.meters.cross_region));
        }
        // Fails only on an invalid chart, which `check_connection_chart` rules out.
        let connection = PeerConnection::new(peer.address, meters, Arc::clone(&self.meters.opened));
        let connection = PeerConnection::spawn(connection.ok()?);
        self.connections.insert(peer.address, connection.clone());
        Some(connection)
    }
}

struct CloseIdleConnections;

impl Message<CloseIdleConnections> for ConnectionPool {
    type Reply = ();

    async fn handle(&mut self, _: CloseIdleConnections, _: &mut Context<Self, ()>) {
        let Some(idle_since) = Instant::now().checked_sub(IDLE_TIMEOUT) else {
            return;
        };
        let mut idle = Vec::new();
        for (address, connection) in &self.connections {
            // A connection actor that has ended counts as idle.
            if connection
                .ask(CloseIfIdle { idle_since })
                .await
                .unwrap_or(true)
            {
                idle.push(*address);
            }
        }
        // Removed from the map, because entries of departed peers would accumulate otherwise.
        for address in idle {
            self.connections.remove(&address);
        }
    }
}

/// Sends requests over the connections of the pool.
#[derive(Clone, Debug)]
pub(crate) struct PooledTransport {
    pool: ActorRef<ConnectionPool>,
}

impl PooledTransport {
    pub(crate) fn start(region: &str, meters: ConnectionMeters) -> Self {
        let region = region.to_owned();
        let pool = ConnectionPool::spawn(ConnectionPool {
            region,
            meters,
            connections: HashMap::new(),
        });
        let transport = Self { pool: pool.clone() };
        tokio::spawn(async move {
            let mut interval = tokio::time::interval(IDLE_TIMEOUT / 3);
            loop {
                interval.tick().await;
                if pool.tell(CloseIdleConnections).await.is_err() {
                    break;
                }
            }
        });
        transport
    }
}

impl PeerTransport for PooledTransport {
    fn send<'a>(
        &'a self,
        peer: &'a PeerAddress,
        request: ControlPlaneRequest,
        deadline: Instant,
    ) -> BoxFuture<'a, Result<ControlPlaneResponse, PeerError>> {
        Box::pin(async move {
            let connection = self.pool.ask(GetConnection(peer.clone())).await;
            let connection = connection.ok().flatten().ok_or(PeerError::Unreachable)?;
            let answer = connection.ask(SendRequest { request, deadline });
            match timeout_at(deadline, answer.into_future()).await {
                Err(_) => Err(PeerError::Deadline),
                Ok(Ok(response)) => Ok(response),
                Ok(Err(kameo::error::SendError::HandlerError(error))) => Err(error),
                Ok(Err(_)) => Err(PeerError::ConnectionLost),
            }
        })
    }
}
