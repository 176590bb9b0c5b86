//! Calls: from local callers to nodes of targets, and from other nodes to the local target.

mod forward;
mod gateway;
mod headers;
mod target_side;

pub(crate) use gateway::{GatewayState, gateway_router};
pub(crate) use target_side::{TargetState, target_router};
