//! Hosts, their messages and their store, driven one step at a time.
//!
//! The decisions are those of `agatedeck-control`; the model carries their effects out as
//! `agatedeck-node` does. It leaves out the failure detector: a node that is down is declared dead
//! by a step of its own, nodes that are only cut off or frozen never are, and what one node learns
//! of the membership reaches all reachable nodes that have joined in the same step.

pub(crate) mod cluster;
pub(crate) mod commit;
pub(crate) mod records;
pub(crate) mod store;
