//! When a node pulls the versions that it lacks, and from which peers.
//!
//! Versions arrive over the dissemination tree; a pull repairs what the tree missed. Its peers may be
//! frozen or cut off, as may the ones that the tree failed to pass, so a pull asks peers that cannot
//! all fail for one reason and avoids those that did not answer a short time ago.

mod chart;
mod machine;
mod peers;
mod requests;
mod round;

pub use chart::PullState;
pub use machine::{PullMachine, PullSettings};
pub use peers::select_pull_peers;
pub use requests::PullRequests;
pub use round::{PullRound, PullStep};
