//! The listeners of a node and their addresses.

use std::io;
use std::net::SocketAddr;

use tokio::net::TcpListener;

use crate::runtime::NodeError;
use crate::settings::NodeSettings;

/// Addresses of the listeners of a node.
#[derive(Clone, Copy, Debug)]
pub struct NodeAddresses {
    /// Listener for calls of local callers.
    pub calls: SocketAddr,
    /// Listener for calls that other nodes send to the local target.
    pub peer: SocketAddr,
    /// Listener of the control protocol.
    pub control: SocketAddr,
    /// Listener of the admin API.
    pub admin: SocketAddr,
    /// Listener for metrics as text; `None` if they are not served.
    pub metrics: Option<SocketAddr>,
}

impl NodeAddresses {
    pub(crate) fn log(&self) {
        log::info!(
            event = "listening",
            calls:% = self.calls,
            peer:% = self.peer,
            control:% = self.control,
            admin:% = self.admin;
            "listening: calls {}, peer {}, control {}, admin {}",
            self.calls,
            self.peer,
            self.control,
            self.admin
        );
    }
}

/// The open listeners of a node.
pub(crate) struct Listeners {
    pub(crate) calls: TcpListener,
    pub(crate) peer: TcpListener,
    pub(crate) control: TcpListener,
    pub(crate) admin: TcpListener,
    pub(crate) metrics: Option<TcpListener>,
}

async fn bind(address: SocketAddr) -> Result<TcpListener, NodeError> {
    TcpListener::bind(address)
        .await
        .map_err(|source| NodeError::Listen { address, source })
}

impl Listeners {
    /// Opens the listeners at the addresses of the settings.
    pub(crate) async fn bind(settings: &NodeSettings) -> Result<Self, NodeError> {
        let listen = &settings.listen;
        Ok(Self {
            calls: bind(listen.calls).await?,
            peer: bind(listen.peer).await?,
            control: bind(listen.control).await?,
            admin: bind(listen.admin).await?,
            metrics: match listen.metrics {
                Some(address) => Some(bind(address).await?),
                None => None,
            },
        })
    }

    /// Addresses at which the listeners are open.
    pub(crate) fn addresses(&self) -> io::Result<NodeAddresses> {
        Ok(NodeAddresses {
            calls: self.calls.local_addr()?,
            peer: self.peer.local_addr()?,
            control: self.control.local_addr()?,
            admin: self.admin.local_addr()?,
            metrics: self
                .metrics
                .as_ref()
                .map(TcpListener::local_addr)
                .transpose()?,
        })
    }
}
