//! State machines of the control plane: change acceptance, dissemination, membership and joins.
//!
//! The crate performs no I/O and has no tasks or clocks: the caller passes in the current time and
//! received messages, and performs the returned effects.

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
    FloorTable, JoinEffect, JoinMachine, JoinResponder, JoinSettings, JoinState, ResponderSettings,
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
