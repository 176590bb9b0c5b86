//! Answers the `Join` requests of other nodes, with a limit on concurrent ones.

use std::collections::BTreeMap;

use agatedeck_clock::Instant;
use agatedeck_wire::{Join, JoinAnswer};

use super::floor_table::FloorTable;
use crate::member::{MemberTable, after_ms};

/// Limits on the joins that a node answers concurrently.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ResponderSettings {
    /// Maximum number of joins answered concurrently. An answer holds the whole member table,
    /// about 0.6 MB at the fleet size expected in two years, so four take 2.4 MB of memory.
    pub max_concurrent_joins: usize,
    /// Time after which an unreleased join counts as finished, in milliseconds.
    pub join_timeout_ms: u64,
}

impl Default for ResponderSettings {
    fn default() -> Self {
        Self {
            max_concurrent_joins: 4,
            join_timeout_ms: 1_000,
        }
    }
}

/// Answers a bounded number of joins concurrently, so that a reconnect storm does not exhaust the
/// node.
#[derive(Clone, Debug, Default)]
pub struct JoinResponder {
    settings: ResponderSettings,
    /// Nodes whose joins are being answered, each with the time at which its join expires.
    join_deadlines: BTreeMap<String, Instant>,
}

impl JoinResponder {
    /// Creates a responder without active joins.
    pub fn new(settings: &ResponderSettings) -> Self {
        Self {
            settings: settings.clone(),
            ..Self::default()
        }
    }

    /// Answers a join. `version` is the version that this node holds, 0 for none.
    ///
    /// The answer to a refused join is empty, so that refusing is cheap. The caller merges the
    /// member entry of an accepted join into its table.
    pub fn answer_join(
        &mut self,
        join: &Join,
        table: &MemberTable,
        floor_table: &FloorTable,
        version: u64,
        now: Instant,
    ) -> JoinAnswer {
        self.join_deadlines
            .retain(|_, deadline| !deadline.is_past(now));
        let Some(member) = &join.member else {
            return JoinAnswer::default();
        };
        let is_active = self.join_deadlines.contains_key(&member.node);
        if !is_active && self.join_deadlines.len() >= self.settings.max_concurrent_joins {
            return JoinAnswer::default();
        }
        let deadline = after_ms(now, self.settings.join_timeout_ms);
        self.join_deadlines.insert(member.node.clone(), deadline);
        let latest = table.latest_known(&member.node);
        let tombstone = latest.filter(|_| table.get(&member.node).is_none());
        let same_domain = latest.filter(|latest| latest.domain == member.domain);
        let latest_version = same_domain.map_or(0, |latest| latest.version);
        JoinAnswer {
            accepted: true,
            floor: floor_table.floor(&member.node).max(latest_version),
            version,
            members: table.members().chain(tombstone).cloned().collect(),
            ..JoinAnswer::default()
        }
    }

    /// Ends the join of `node`, after its answer was sent or its connection closed.
    pub fn release(&mut self, node: &str) {
        self.join_deadlines.remove(node);
    }
}
