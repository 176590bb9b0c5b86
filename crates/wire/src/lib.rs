//! Messages at the border of the node: generated types, the control protocol and its codec.
//!
//! Decisions use these types only as plain data. Nothing here decides, so that another front end
//! can carry the same decisions over another protocol.

mod codec;
mod generated;
mod meter;
mod rpc;

pub use codec::{PostcardCodec, WireMessage};
pub use generated::*;
pub use meter::{ByteMeter, MeteredStream};
pub use rpc::control_transport;
pub use rpc::{
    ClientTransport, ControlPlane, ControlPlaneClient, ControlPlaneRequest, ControlPlaneResponse,
    ControlTransport, ServerTransport,
};
