//! Requests that crash the targets that run them.
//!
//! Every request in flight at a target when it crashes is a suspect, since nothing tells which one
//! is at fault. A request whose fingerprint was in flight at several crashes is refused before it
//! takes down further targets; a fingerprint that completes an answer before that is cleared.

mod fingerprint;
mod in_flight;
mod tracker;

pub use fingerprint::{Fingerprint, RequestIdentity, RequestView};
pub use in_flight::InFlightTable;
pub use tracker::{CrashNotice, CrashSettings, CrashTracker, MergeResult, RefusedRequest};
