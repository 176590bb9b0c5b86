//! Messages of the node's external interfaces: generated types, the control protocol and its codec, and
//! the locality that member entries state.
//!
//! Decision code uses these types only as plain data. This crate makes no decisions, so that
//! another front end can use the same decision code over another protocol.

mod codec;
mod generated;
mod locality;
mod meter;
mod rpc;

pub use codec::ControlCodec;
pub use generated::*;
pub use locality::{LocalityTier, NodeLocality};
pub use meter::{ByteMeter, MeteredStream};
pub use rpc::{
    ClientTransport, ControlPlane, ControlPlaneClient, ControlPlaneRequest, ControlPlaneResponse,
    ControlTransport, LENGTH_PREFIX_BYTES, ServerTransport, client_transport, server_transport,
};
