//! The commands, one per module.

mod apply;
mod diff;
mod explain;
mod get;
mod history;
mod lookup;
mod retire;
mod status;
mod watch;

pub use apply::ApplyCommand;
pub use diff::DiffCommand;
pub use explain::ExplainCommand;
pub use get::GetCommand;
pub use history::HistoryCommand;
pub use lookup::LookupCommand;
pub use retire::RetireCommand;
pub use status::StatusCommand;
pub use watch::{WatchCommand, WatchSettings};
