//! Updates that are piggybacked on probes and their answers.

use std::collections::BTreeMap;

use agatedeck_wire::Member;

use super::table::MemberTable;

/// Names of the entries that changed, each with the number of messages that still carry it.
///
/// The content is read from the table when a message is built, so that an entry that changes again
/// is sent once, in its newest state. Cost: one name for each recent change.
#[derive(Clone, Debug, Default)]
pub(crate) struct UpdateQueue {
    remaining_sends: BTreeMap<String, u32>,
}

impl UpdateQueue {
    /// Sends `node` in the next messages, `repeats` times the binary logarithm of `domain_size`.
    ///
    /// With that many repeats, an update reaches all nodes of the domain with high probability,
    /// and the traffic for it stays proportional to n log n in the domain.
    pub(crate) fn push(&mut self, node: &str, multiplier: u32, domain_size: usize) {
        let log2_size = usize::BITS - domain_size.leading_zeros();
        self.remaining_sends
            .insert(node.to_owned(), multiplier * log2_size);
    }

    /// Takes up to `limit` entries for one message, those that were sent least often first.
    pub(crate) fn take(&mut self, table: &MemberTable, limit: usize) -> Vec<Member> {
        let mut candidates: Vec<(u32, String)> = self
            .remaining_sends
            .iter()
            .map(|(node, remaining_sends)| (*remaining_sends, node.clone()))
            .collect();
        candidates.sort_unstable_by(|a, b| b.cmp(a));
        candidates.truncate(limit);
        let mut updates = Vec::with_capacity(candidates.len());
        for (remaining_sends, node) in candidates {
            match table.get(&node) {
                Some(member) if remaining_sends > 1 => {
                    updates.push(member.clone());
                    self.remaining_sends.insert(node, remaining_sends - 1);
                }
                entry => {
                    updates.extend(entry.cloned());
                    self.remaining_sends.remove(&node);
                }
            }
        }
        updates
    }
}
