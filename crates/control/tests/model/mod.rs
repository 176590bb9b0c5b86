//! Model of a cluster: hosts, their messages and their store, driven one step at a time.
//!
//! The decisions are those of `agatedeck-control`; the model applies their effects as
//! `agatedeck-node` does. It has no failure detector: a separate step declares a stopped node dead,
//! and partitioned or paused nodes are never declared dead. A membership update reaches all
//! reachable nodes that have joined within the same step.

pub(crate) mod cluster;
pub(crate) mod commit;
pub(crate) mod records;
pub(crate) mod store;
