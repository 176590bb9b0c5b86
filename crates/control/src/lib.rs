//! Decisions on acceptance, spreading, membership and joining.
//!
//! No sockets, tasks or clocks: the caller passes in the time and what arrived, and carries out the
//! effects that are returned.

mod join;
mod member;
mod rendezvous;

pub use join::{
    FloorLedger, GateSettings, JoinEffect, JoinGate, JoinProcess, JoinSettings, JoinState,
    witnesses,
};
pub use member::{
    FailureDetector, MemberEffect, MemberEntry, MemberKey, MemberSettings, MemberTable,
    MergeOutcome,
};
pub use rendezvous::{rank_by, score};
