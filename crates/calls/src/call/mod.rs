//! State machine of one call at the caller's node, from its arrival to the outcome that the caller
//! is told.

mod chart;
mod machine;

pub use chart::CallState;
pub use machine::{AttemptEvent, CallEffect, CallEvent, CallMachine, CallOptions};
