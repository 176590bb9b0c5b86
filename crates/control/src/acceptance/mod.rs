//! How an operator's change becomes a version.
//!
//! One conditional transaction accepts a change whole. Everything else here deals with its answer
//! being lost, with other changes that come first, and with a store that is away.

mod process;

pub use process::{
    AcceptAction, AcceptEvent, AcceptOutcome, AcceptProcess, AcceptState, DELTA_PREFIX, HEAD_KEY,
    SNAPSHOT_INTERVAL, UnreadableNode, acceptance_chart, change_key, delta_key, snapshot_key,
    unreadable_nodes,
};
