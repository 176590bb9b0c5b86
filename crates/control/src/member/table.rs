//! The member table: what this node knows of every node.

use std::collections::BTreeMap;

use agatedeck_clock::Instant;
use agatedeck_wire::{Member, MemberStatus};
use slotmap::{SlotMap, new_key_type};

new_key_type! {
    /// Key of an entry in a [`MemberTable`].
    pub struct MemberKey;
}

/// What this node knows of one node.
#[derive(Clone, Debug)]
pub struct MemberEntry {
    /// The entry as it is spread.
    pub member: Member,
    /// When the status last changed here.
    pub changed_at: Instant,
}

/// What an update did to the table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MergeOutcome {
    /// The update was new and is spread further.
    Applied,
    /// The table already held this or something newer.
    Stale,
}

/// All nodes known, by name.
///
/// Invariant: for each node, `(incarnation, status)` never moves back in the order of
/// [`precedence`], whatever order updates arrive in.
#[derive(Clone, Debug, Default)]
pub struct MemberTable {
    entries: SlotMap<MemberKey, MemberEntry>,
    by_name: BTreeMap<String, MemberKey>,
}

/// Order of updates on one node. A higher incarnation wins; within one, the worse status wins.
fn precedence(member: &Member) -> (u64, i32) {
    (member.incarnation, member.status)
}

/// Whether a node in this status takes part in spreading and is offered versions.
pub(crate) fn is_live(status: MemberStatus) -> bool {
    matches!(
        status,
        MemberStatus::Alive | MemberStatus::Suspect | MemberStatus::Draining
    )
}

impl MemberTable {
    /// Merges an update that came from another node or was decided here.
    pub fn merge(&mut self, update: &Member, now: Instant) -> MergeOutcome {
        let Some(key) = self.by_name.get(&update.node) else {
            let entry = MemberEntry {
                member: update.clone(),
                changed_at: now,
            };
            let key = self.entries.insert(entry);
            self.by_name.insert(update.node.clone(), key);
            return MergeOutcome::Applied;
        };
        let entry = &mut self.entries[*key];
        if precedence(update) <= precedence(&entry.member) {
            entry.member.version = entry.member.version.max(update.version);
            return MergeOutcome::Stale;
        }
        let version = entry.member.version.max(update.version);
        entry.member = Member {
            version,
            ..update.clone()
        };
        entry.changed_at = now;
        MergeOutcome::Applied
    }

    /// Notes that `node` was seen to hold `version`. Versions are not spread as updates, since each
    /// change of the configuration would then cost a message for each pair of nodes.
    pub fn note_version(&mut self, node: &str, version: u64) {
        if let Some(key) = self.by_name.get(node) {
            let member = &mut self.entries[*key].member;
            member.version = member.version.max(version);
        }
    }

    /// The entry of `node`.
    pub fn get(&self, node: &str) -> Option<&Member> {
        self.by_name.get(node).map(|key| &self.entries[*key].member)
    }

    /// All entries in the order of their names.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.by_name.values().map(|key| &self.entries[*key].member)
    }

    /// The entries that take part in spreading: alive, suspect or draining.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        self.members().filter(|member| is_live(member.status()))
    }

    /// Number of nodes known.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Whether no node is known.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }
}
