//! Membership: failure detection, node discovery, joining and leaving.

mod actor;
mod directory;
mod join;

pub(crate) use actor::{
    AnnounceStatus, AnswerJoin, AnswerProbe, AnswerSync, CollectUpdates, MemberActor,
    MergeBroadcast, PROBE_TIMEOUT, RecordFloor, SetActiveVersion, SetTarget, run_detector,
};
pub(crate) use directory::{remove_own_row, run_directory};
pub(crate) use join::{
    CallsDrained, JoinActor, JoinReceivers, SetHeldVersion, StartDrain, run_join,
};
