//! Cluster membership: the member table, failure detection and dissemination of updates.

mod anti_entropy;
mod chart;
mod collector;
mod delegate;
mod detector;
mod settings;
mod table;
mod update_batch;
mod update_queue;
mod updates;

pub use collector::UpdateReport;
pub use detector::{FailureDetector, MemberEffect, is_probe_answer_of};
pub use settings::MemberSettings;
pub use table::{MemberEntry, MemberKey, MemberTable, MergeOutcome};
pub(crate) use table::{after_ms, is_live};
