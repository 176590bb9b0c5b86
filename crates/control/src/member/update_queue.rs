//! Queue of updates to piggyback on probes and their answers.

use std::collections::BTreeMap;

use agatedeck_wire::Member;

use super::table::MemberTable;

/// Names of changed entries, each with its remaining number of transmissions.
///
/// The entry itself is read from the table when a message is built, so that an entry that changes
/// again is sent only in its latest state. Cost: one name per recent change.
#[derive(Clone, Debug, Default)]
pub(crate) struct UpdateQueue {
    remaining_sends: BTreeMap<String, u32>,
}

impl UpdateQueue {
    /// Queues the entry of `node` for `multiplier` times the bit length of `domain_size`
    /// transmissions, which is its binary logarithm rounded down, plus one.
    ///
    /// With that number, an update reaches all nodes of the domain with high probability, and its
    /// traffic within the domain stays proportional to n log n.
    pub(crate) fn push(&mut self, node: &str, multiplier: u32, domain_size: usize) {
        let bit_length = usize::BITS - domain_size.leading_zeros();
        self.remaining_sends
            .insert(node.to_owned(), multiplier * bit_length);
    }

    /// Takes up to `limit` entries for one message, those with the most transmissions left first.
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
