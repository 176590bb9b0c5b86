//! How recently a node's version was known to be the newest one, and which nodes it asks about that.
//!
//! A key that is revoked must not work for longer than a fixed time, also at a node that does not receive
//! the version which revokes it. A node therefore uses keys only while its version is confirmed. All
//! instants here are of a clock that also counts while the host is suspended.

mod log;
mod schedule;

pub use log::{ConfirmationLog, ConfirmedVersion};
pub use schedule::{
    ConfirmationSchedule, ConfirmationSettings, ConfirmationSource, ConfirmationView,
};
