//! Connections to other nodes.

mod delay;
mod link;
mod link_keeper;
mod server;
mod transport;

pub(crate) use delay::DelayedTransport;
pub use link::link_chart;
pub(crate) use link_keeper::{LinkMeters, LinkTransport};
pub(crate) use server::{ControlServer, serve_control};
pub(crate) use transport::{PeerAddress, PeerTransport};
