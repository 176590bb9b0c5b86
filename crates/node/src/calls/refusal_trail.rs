//! The refused attempts of a call, for its log line.

use std::fmt::Write as _;

use super::attempt::AttemptRefusal;

/// Refused attempts in their order, each with what the caller's node and the target's node held the load
/// of the target to be. Tells a call that found all targets full from one that was sent to the wrong ones.
#[derive(Debug, Default)]
pub(super) struct RefusalTrail {
    text: String,
}

impl RefusalTrail {
    /// Adds an attempt at the target at `address`, whose load the load balancer estimated as
    /// `estimated_percent`.
    pub(super) fn record(
        &mut self,
        address: &str,
        estimated_percent: u32,
        refusal: &AttemptRefusal,
    ) {
        let separator = if self.text.is_empty() { "" } else { "; " };
        let reason = refusal.reason;
        // Writing to a string does not fail.
        let _ = write!(
            self.text,
            "{separator}{address} {reason} estimated {estimated_percent}%"
        );
        if let Some(load) = refusal.load {
            let _ = write!(self.text, " stated {:.0}%", load * 100.0);
        }
    }

    /// The text of all attempts; empty if none was refused.
    pub(super) fn into_text(self) -> String {
        self.text
    }
}
