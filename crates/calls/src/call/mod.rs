//! State machine of one call at the caller's node, from its arrival to the report of its outcome.

mod chart;
mod machine;

pub use chart::CallState;
pub use machine::{AttemptEvent, CallEffect, CallEvent, CallMachine, CallOptions};
