//! Decisions on acceptance, spreading, membership and joining.
//!
//! No sockets, tasks or clocks: the caller passes in the time and what arrived, and carries out the
//! effects that are returned.

mod acceptance;
mod join;
mod member;
mod rendezvous;
mod spread;
mod version;

pub use acceptance::{
    AcceptAction, AcceptEvent, AcceptOutcome, AcceptProcess, AcceptState, DELTA_PREFIX, HEAD_KEY,
    SNAPSHOT_INTERVAL, UnreadableNode, acceptance_chart, change_key, delta_key, snapshot_key,
    unreadable_nodes,
};
pub use join::{
    FloorTable, JoinEffect, JoinProcess, JoinResponder, JoinSettings, JoinState, ResponderSettings,
    select_witnesses,
};
pub use member::{
    FailureDetector, MemberEffect, MemberEntry, MemberKey, MemberSettings, MemberTable,
    MergeOutcome,
};
pub use rendezvous::{rank_candidates, rendezvous_score};
pub use spread::{PollSpread, SpreadDelivery, SpreadOrder, SpreadPolicy, SpreadReach, TreeSpread};
pub use version::{
    HolderSettings, OfferVerdict, PullReply, StageState, VersionEffect, VersionHolder, stage_chart,
};
