//! The member updates that a node collects and broadcasts together.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::LazyLock;
use std::time::Duration;

use agatedeck_chart::TransitionTable;
use agatedeck_clock::Instant;
use agatedeck_wire::Member;
use derive_more::FromStr;

use super::table::MemberTable;

#[derive(Clone, Copy, Debug, Eq, FromStr, Ord, PartialEq, PartialOrd)]
#[from_str(rename_all = "kebab-case")]
enum BatchState {
    Idle,
    Pausing,
    Collecting,
}

#[derive(Clone, Copy, Debug, Eq, FromStr, Ord, PartialEq, PartialOrd)]
#[from_str(rename_all = "kebab-case")]
enum BatchEvent {
    UpdateCollected,
    PauseEnded,
}

#[derive(Clone, Copy, Debug, Eq, FromStr, PartialEq)]
#[from_str(rename_all = "kebab-case")]
enum BatchAction {
    Broadcast,
}

/// Parsed from the file embedded in the binary; `tests/charts.rs` checks that it loads.
static BATCH_CHART: LazyLock<TransitionTable<BatchState, BatchEvent, BatchAction>> =
    LazyLock::new(|| {
        TransitionTable::parse(include_str!("../../charts/update-batch.toml"))
            .expect("charts/update-batch.toml is a valid chart")
    });

/// Incarnation and status of an entry, in the order in which entries replace each other.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct EntryState {
    incarnation: u64,
    status: i32,
}

impl From<&Member> for EntryState {
    fn from(member: &Member) -> Self {
        Self {
            incarnation: member.incarnation,
            status: member.status,
        }
    }
}

/// Collects the names of changed entries, and tells when to broadcast them.
///
/// The entries are read from the table when they are broadcast, so that one that changes again while it
/// waits is sent only in its latest state. Cost: one name and state per known node.
#[derive(Clone, Debug)]
pub(super) struct UpdateBatch {
    state: BatchState,
    /// Nodes whose entries wait for the next broadcast.
    waiting_nodes: BTreeSet<String>,
    /// The state in which each entry was last broadcast, by this node or another one.
    broadcast_states: BTreeMap<String, EntryState>,
    /// End of the pause; `None` in the state `idle`.
    pause_ends_at: Option<Instant>,
}

impl UpdateBatch {
    pub(super) fn new() -> Self {
        Self {
            state: BATCH_CHART.initial(),
            waiting_nodes: BTreeSet::new(),
            broadcast_states: BTreeMap::new(),
            pause_ends_at: None,
        }
    }

    /// Collects an entry that was not broadcast before. Returns whether to broadcast now, after which
    /// further entries wait for `pause`.
    #[must_use]
    pub(super) fn collect(&mut self, entry: &Member, pause: Duration, now: Instant) -> bool {
        self.waiting_nodes.insert(entry.node.clone());
        self.advance(BatchEvent::UpdateCollected, pause, now)
    }

    /// Ends a pause that is over. Returns whether to broadcast now, after which further entries wait for
    /// `pause`.
    #[must_use]
    pub(super) fn end_pause(&mut self, pause: Duration, now: Instant) -> bool {
        self.advance(BatchEvent::PauseEnded, pause, now)
    }

    /// Takes the entries to broadcast.
    pub(super) fn take(&mut self, table: &MemberTable) -> Vec<Member> {
        let nodes = std::mem::take(&mut self.waiting_nodes);
        let entries = nodes.iter().filter_map(|node| table.latest_known(node));
        let entries: Vec<Member> = entries.cloned().collect();
        self.mark_broadcast(&entries, table);
        entries
    }

    /// Records that entries have been broadcast.
    pub(super) fn mark_broadcast(&mut self, entries: &[Member], table: &MemberTable) {
        for entry in entries {
            let state = EntryState::from(entry);
            let broadcast = self
                .broadcast_states
                .entry(entry.node.clone())
                .or_insert(state);
            *broadcast = state.max(*broadcast);
        }
        // Names of nodes that are gone would accumulate otherwise.
        if self.broadcast_states.len() > 2 * table.len() {
            self.broadcast_states
                .retain(|node, _| table.get(node).is_some());
        }
    }

    /// Whether the entry has been broadcast in this state or a later one.
    pub(super) fn is_broadcast(&self, entry: &Member) -> bool {
        let broadcast = self.broadcast_states.get(&entry.node);
        broadcast.is_some_and(|broadcast| *broadcast >= EntryState::from(entry))
    }

    /// When [`Self::end_pause`] must be called.
    pub(super) fn pause_end(&self) -> Option<Instant> {
        self.pause_ends_at
    }

    fn advance(&mut self, event: BatchEvent, pause: Duration, now: Instant) -> bool {
        let actions = BATCH_CHART.advance(&mut self.state, event);
        let broadcasts = actions.contains(&BatchAction::Broadcast);
        if broadcasts {
            self.pause_ends_at = Some(now.after(pause));
        }
        if self.state == BatchState::Idle {
            self.pause_ends_at = None;
        }
        broadcasts
    }
}
