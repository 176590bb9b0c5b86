//! Detection of queries of death: requests that crash the targets that run them.
//!
//! Every request in flight at a target when it crashes becomes a suspect, since the request at fault
//! cannot be identified. A request whose fingerprint was in flight at several crashes is refused, so
//! that it crashes no further targets. A fingerprint that gets a complete answer before that is
//! cleared.

mod fingerprint;
mod in_flight;
mod tracker;

pub use fingerprint::{Fingerprint, RequestView};
pub use in_flight::InFlightTable;
pub use tracker::{CrashSettings, CrashTracker, MergeResult, RefusedRequest, TargetCrashReport};
