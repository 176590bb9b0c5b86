//! One call at the caller's node, from its arrival to what the caller is told.

mod chart;
mod life;

pub use chart::CallState;
pub use life::{AttemptEvent, CallEffect, CallEvent, CallLife, CallTerms};
