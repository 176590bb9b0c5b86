//! What membership and configuration say about a target.

use std::net::SocketAddr;

use slotmap::new_key_type;

new_key_type! {
    /// Key of a target on a [`LoadBalancer`](crate::LoadBalancer).
    pub struct TargetKey;
}

/// Where a node stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NodeLocality<'a> {
    /// Name of the node.
    pub node: &'a str,
    /// Failure domain of the node.
    pub domain: &'a str,
    /// Region of the node.
    pub region: &'a str,
}

/// Status of the node of a target, from membership.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TargetStatus {
    /// Takes calls.
    Alive,
    /// Missed probes; used only when no target that is alive has room.
    Suspect,
    /// Leaves; takes no new calls.
    Draining,
}

/// One target of a service.
#[derive(Clone, Copy, Debug)]
pub struct TargetView<'a> {
    /// Where the target's node stands.
    pub locality: NodeLocality<'a>,
    /// Address at which the target's node takes calls from other nodes.
    pub peer: SocketAddr,
    /// Changes when the target restarts, and is then cold. Not the incarnation of membership, which
    /// also rises when a node refutes a suspicion.
    pub generation: u64,
    /// Calls that the target runs at the same time.
    pub slots: u32,
    /// Whether the target is known to have been up for longer than its warm-up, for example by the
    /// peers of a node that joins. Otherwise each restart of a caller's node would send its calls
    /// past near targets that only it takes for cold.
    pub warm: bool,
    /// Status from membership.
    pub status: TargetStatus,
}

/// Distance of a target from the caller's node, nearest first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum LocalityTier {
    SameDomain,
    SameRegion,
    OtherRegion,
}

impl LocalityTier {
    pub(crate) fn between(caller: &NodeLocality<'_>, target: &NodeLocality<'_>) -> Self {
        if caller.region != target.region {
            Self::OtherRegion
        } else if caller.domain == target.domain {
            Self::SameDomain
        } else {
            Self::SameRegion
        }
    }
}
