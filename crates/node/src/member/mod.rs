//! The membership that this node knows, and how the node joins and leaves.

mod directory;
mod join;
mod keeper;

pub(crate) use directory::{leave_directory, run_directory};
pub(crate) use join::{JoinKeeper, StartDrain, VersionHeld, WorkDrained, run_join};
pub(crate) use keeper::{
    AnswerJoin, AnswerProbe, AnswerSync, Leave, MemberKeeper, MergeMembers, PROBE_TIMEOUT,
    RecordFloor, SetTarget, VersionInForce, run_detector,
};
