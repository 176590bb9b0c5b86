//! The refused attempts of a call, for its log line.

use std::fmt::{Display, Formatter, Result};

use agatedeck_calls::PickedTarget;

use super::attempt::AttemptRefusal;

/// An attempt that the target's node refused.
#[derive(Debug)]
struct RefusedAttempt {
    target: PickedTarget,
    refusal: AttemptRefusal,
}

/// Refused attempts in their order, each with what the caller's node and the target's node held the load
/// of the target to be. Tells a call that found all targets full from one that was sent to the wrong ones.
#[derive(Debug, Default)]
pub(super) struct RefusalTrail {
    attempts: Vec<RefusedAttempt>,
}

impl RefusalTrail {
    /// Adds an attempt at `target`.
    pub(super) fn record(&mut self, target: &PickedTarget, refusal: &AttemptRefusal) {
        self.attempts.push(RefusedAttempt {
            target: *target,
            refusal: *refusal,
        });
    }
}

impl Display for RefusedAttempt {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        let PickedTarget {
            peer, load_percent, ..
        } = self.target;
        write!(
            f,
            "{peer} {} estimated {load_percent}%",
            self.refusal.reason
        )?;
        if let Some(load) = self.refusal.load {
            write!(f, " stated {:.0}%", load.load * 100.0)?;
        }
        Ok(())
    }
}

impl Display for RefusalTrail {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        for (index, attempt) in self.attempts.iter().enumerate() {
            let separator = if index == 0 { "" } else { "; " };
            write!(f, "{separator}{attempt}")?;
        }
        Ok(())
    }
}
