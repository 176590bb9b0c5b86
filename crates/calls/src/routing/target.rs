//! Targets as membership and configuration describe them.

use std::net::SocketAddr;

use agatedeck_wire::NodeLocality;
use slotmap::new_key_type;

new_key_type! {
    /// Key of a target in a [`LoadBalancer`](crate::LoadBalancer).
    pub struct TargetKey;
}

/// Status of the node of a target, from membership.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TargetStatus {
    /// Accepts calls.
    Alive,
    /// Suspected by the failure detector; picked only if no target that is alive has an open slot.
    Suspect,
    /// Shutting down; accepts no new calls.
    Draining,
}

/// Target of a service, from the membership view.
#[derive(Clone, Copy, Debug)]
pub struct TargetView<'a> {
    /// Locality of the target's node.
    pub locality: NodeLocality<'a>,
    /// Address at which the target's node accepts calls from other nodes.
    pub peer: SocketAddr,
    /// Changes when the target restarts; the target is then cold. This is not the incarnation of
    /// the member, which also increases when a node refutes a suspicion.
    pub generation: u64,
    /// Software version of the target; empty if it is not known.
    pub version: &'a str,
    /// Calls that the target runs concurrently.
    pub slots: u32,
    /// Whether the target is known to have been up for longer than its warm-up, for example from
    /// the peers of a joining node. Otherwise a caller's node that restarts would treat all near
    /// targets as cold and send its calls to farther ones.
    pub warm: bool,
    /// Status from membership.
    pub status: TargetStatus,
}
