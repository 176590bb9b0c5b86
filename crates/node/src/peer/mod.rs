//! The control protocol between nodes: connections, requests and the server.

mod connection;
mod connection_pool;
mod delay;
mod frame_stream;
mod metered;
mod server;
mod transport;

pub use connection::check_connection_chart;
pub(crate) use connection_pool::{ConnectionMeters, PooledTransport};
pub(crate) use delay::DelayedTransport;
pub(crate) use metered::MeteredTransport;
pub(crate) use server::{ControlHandler, ControlServer};
pub(crate) use transport::{PeerAddress, PeerError, PeerTransport};
