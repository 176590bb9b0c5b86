//! Messages that are sent without waiting for a receiver that is likely not to answer.

use std::collections::VecDeque;
use std::time::Duration;

use agatedeck_clock::Instant;
use agatedeck_wire::Member;

use super::policy::{DisseminationHop, DisseminationPolicy};
use crate::member::MemberTable;
use crate::silence::SilenceLog;

/// A message to send.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlannedHop {
    /// Receiver and scope.
    pub hop: DisseminationHop,
    /// Whether the fallbacks of the hop are planned beside it, so that none follow if it fails.
    pub is_hedged: bool,
}

/// Which receivers are likely not to answer.
#[derive(Clone, Copy, Debug)]
pub struct LikelySilence<'a> {
    /// Receivers that did not answer lately.
    pub silences: &'a SilenceLog,
    /// Time for which such a receiver must have answered nothing.
    pub min_silence: Duration,
    /// Current time.
    pub now: Instant,
}

impl LikelySilence<'_> {
    fn covers(&self, node: &str) -> bool {
        self.silences
            .is_silent_for(node, self.min_silence, self.now)
    }
}

/// Adds the fallbacks of each hop whose receiver did not answer lately.
///
/// The receiver is sent the message as well: an answer ends its silence.
pub fn plan_hops(
    policy: &dyn DisseminationPolicy,
    table: &MemberTable,
    local_member: &Member,
    salt: u64,
    hops: Vec<DisseminationHop>,
    likely: LikelySilence<'_>,
) -> Vec<PlannedHop> {
    let mut unplanned = VecDeque::from(hops);
    let mut planned = Vec::with_capacity(unplanned.len());
    while let Some(hop) = unplanned.pop_front() {
        let is_hedged = likely.covers(&hop.node);
        if is_hedged {
            unplanned.extend(policy.fallback_hops(table, local_member, salt, &hop));
        }
        planned.push(PlannedHop { hop, is_hedged });
    }
    planned
}
