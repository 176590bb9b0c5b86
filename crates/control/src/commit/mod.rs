//! How an operator's change becomes a version.
//!
//! One conditional transaction accepts a change whole. Everything else here deals with its answer
//! being lost, with other changes that come first, and with a store that is away.

mod change_commit;

pub use change_commit::{
    ChangeCommit, CommitAction, CommitEvent, CommitOutcome, CommitState, DELTA_KEY_PREFIX,
    HEAD_KEY, SNAPSHOT_INTERVAL_VERSIONS, UnreadableNode, change_key, check_commit_chart,
    delta_key, snapshot_key, unreadable_nodes,
};
