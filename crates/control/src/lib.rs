//! Decisions on acceptance, spreading, membership and joining.
//!
//! No sockets, tasks or clocks: the caller passes in the time and what arrived, and carries out the
//! effects that are returned.

mod member;
mod rendezvous;

pub use member::{MemberEntry, MemberKey, MemberTable, MergeOutcome};
pub use rendezvous::{rank_by, score};
