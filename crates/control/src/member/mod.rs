//! Which nodes there are and which of them are alive.

mod table;

pub use table::{MemberEntry, MemberKey, MemberTable, MergeOutcome};
