//! Which nodes read new versions from the store or feed.
//!
//! The nodes of highest rank are appointed, but the store may answer only others: it refuses or
//! ignores some nodes, or links to it are cut. A node therefore relies on readers only while one of
//! them shows, by heartbeats, that the store answers it.

mod chart;
mod heartbeat_filter;
mod machine;

pub use chart::ReaderState;
pub use heartbeat_filter::HeartbeatFilter;
pub(crate) use machine::READER_RANK_SALT;
pub use machine::{ReadProgress, ReadRange, ReaderMachine, ReaderSettings, ScheduledRead};
