//! The membership that this node knows, and how the node joins and leaves.

mod actor;
mod directory;
mod join;

pub(crate) use actor::{
    AnswerJoin, AnswerProbe, AnswerSync, Leave, MemberActor, MergeMembers, PROBE_TIMEOUT,
    RecordFloor, SetTarget, VersionInForce, run_detector,
};
pub(crate) use directory::{leave_directory, run_directory};
pub(crate) use join::{JoinActor, StartDrain, VersionHeld, WorkDrained, run_join};
