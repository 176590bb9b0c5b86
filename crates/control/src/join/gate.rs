//! The answering side of a join.

use std::collections::BTreeMap;

use agatedeck_clock::Instant;
use agatedeck_wire::{Join, JoinAnswer};

use super::ledger::FloorTable;
use crate::member::{MemberTable, after_ms};

/// Limits on the joins that a node answers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ResponderSettings {
    /// Joins answered at the same time. An answer holds the whole member table, about 0.6 MB at
    /// the two-year size, so four take 2.4 MB of memory.
    pub joins_at_once: usize,
    /// Time after which a join that was not released counts as finished, in milliseconds.
    pub hold_ms: u64,
}

impl Default for ResponderSettings {
    fn default() -> Self {
        Self {
            joins_at_once: 4,
            hold_ms: 1_000,
        }
    }
}

/// Admits a bounded number of joins at once, so that a reconnect storm does not use up the node.
#[derive(Clone, Debug, Default)]
pub struct JoinResponder {
    settings: ResponderSettings,
    /// Joins being answered, each with the deadline at which it counts as finished.
    active: BTreeMap<String, Instant>,
}

impl JoinResponder {
    /// A gate with these limits.
    pub fn new(settings: &ResponderSettings) -> Self {
        Self {
            settings: settings.clone(),
            ..Self::default()
        }
    }

    /// Answers a join. `version` is the version this node holds, 0 for none.
    ///
    /// A refused join learns nothing, so that refusing is cheap. The caller merges the entry of an
    /// accepted one into its table.
    pub fn answer_join(
        &mut self,
        join: &Join,
        table: &MemberTable,
        ledger: &FloorTable,
        version: u64,
        now: Instant,
    ) -> JoinAnswer {
        self.active.retain(|_, deadline| !deadline.is_past(now));
        let Some(member) = &join.member else {
            return JoinAnswer::default();
        };
        let known = self.active.contains_key(&member.node);
        if !known && self.active.len() >= self.settings.joins_at_once {
            return JoinAnswer::default();
        }
        let deadline = after_ms(now, self.settings.hold_ms);
        self.active.insert(member.node.clone(), deadline);
        let seen = table.newest(&member.node);
        let forgotten = seen.filter(|_| table.get(&member.node).is_none());
        let own_domain = seen.filter(|seen| seen.domain == member.domain);
        let seen_version = own_domain.map_or(0, |seen| seen.version);
        JoinAnswer {
            accepted: true,
            floor: ledger.remembered(&member.node).max(seen_version),
            version,
            members: table.members().chain(forgotten).cloned().collect(),
        }
    }

    /// Notes that the answer to `node` was sent or its connection closed.
    pub fn release(&mut self, node: &str) {
        self.active.remove(node);
    }
}
