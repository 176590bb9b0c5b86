//! What the other tasks of a node read of the rollouts.

use std::collections::{BTreeMap, BTreeSet};

use agatedeck_calls::VersionSplit;
use agatedeck_wire::RolloutState;

/// Published whenever it changes.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct PublishedRollouts {
    /// How the calls of each service with a rollout are split between its versions.
    pub(crate) splits: BTreeMap<String, VersionSplit>,
    /// Services whose results are counted, as their rollout is in progress.
    pub(crate) counted: BTreeSet<String>,
    /// Whether the rollouts of the mesh are known. Before the first heartbeat they are not.
    pub(crate) is_known: bool,
    /// Whether this node leads and has not read all orders yet.
    pub(crate) is_pending: bool,
    /// States for the heartbeats of this node while it leads.
    pub(crate) heartbeat: Vec<RolloutState>,
}
