//! Commits an operator's change as a new version, under optimistic concurrency control.
//!
//! One conditional transaction commits the whole change. The rest of the module handles a lost
//! answer to that transaction, conflicts with concurrent changes, and an unavailable store.

mod machine;

pub use machine::{
    CommitAction, CommitEvent, CommitMachine, CommitOutcome, CommitState, DELTA_KEY_PREFIX,
    HEAD_KEY, SNAPSHOT_INTERVAL_VERSIONS, UnreadableNode, change_key, check_commit_chart,
    delta_key, snapshot_key, unreadable_nodes,
};
