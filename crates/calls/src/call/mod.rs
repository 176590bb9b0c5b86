//! One call at the caller's node, from its arrival to what the caller is told.

mod chart;
mod machine;

pub use chart::CallState;
pub use machine::{AttemptEvent, CallEffect, CallEvent, CallMachine, CallOptions};
