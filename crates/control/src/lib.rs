//! Decisions on acceptance, spreading, membership and joining.
//!
//! No sockets, tasks or clocks: the caller passes in the time and what arrived, and carries out the
//! effects that are returned.

mod commit;
mod dissemination;
mod join;
mod member;
mod rendezvous;
mod version;

pub use commit::{
    CommitAction, CommitEvent, CommitMachine, CommitOutcome, CommitState, DELTA_KEY_PREFIX,
    HEAD_KEY, SNAPSHOT_INTERVAL_VERSIONS, UnreadableNode, change_key, check_commit_chart,
    delta_key, snapshot_key, unreadable_nodes,
};
pub use dissemination::{
    DisseminationHop, DisseminationPolicy, DisseminationRequest, DisseminationScope, StorePolling,
    TreeDissemination,
};
pub use join::{
    FloorLedger, GateSettings, JoinEffect, JoinGate, JoinProcess, JoinSettings, JoinState,
    witnesses,
};
pub use member::{
    FailureDetector, MemberEffect, MemberEntry, MemberKey, MemberSettings, MemberTable,
    MergeOutcome,
};
pub use rendezvous::{rank_by, score};
pub use version::{
    ActivationState, ConfigReplica, OfferResult, PullReply, ReplicaSettings, VersionEffect,
    check_activation_chart,
};
