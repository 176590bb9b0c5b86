//! Fair queueing of calls over workspaces by deficit round robin.

use std::collections::{BTreeSet, HashMap, VecDeque};

use agatedeck_clock::Instant;
use slotmap::{SlotMap, new_key_type};

use super::types::CallId;

new_key_type! {
    pub(crate) struct WorkspaceKey;
}

#[derive(Debug)]
pub(crate) struct WorkspaceEntry {
    name: String,
    /// Queued calls in the order in which they are due.
    pub(crate) queued: BTreeSet<(Instant, CallId)>,
    pub(crate) running: u32,
    weight: u32,
    /// Deficit counter: calls that the workspace may still start in this round.
    deficit: u32,
}

/// Queued and running calls of one priority by workspace, scheduled by deficit round robin.
///
/// Invariant: `active` holds each workspace with queued calls once and no other workspace.
#[derive(Debug, Default)]
pub(crate) struct FairQueue {
    workspaces: SlotMap<WorkspaceKey, WorkspaceEntry>,
    by_name: HashMap<String, WorkspaceKey>,
    weights: HashMap<String, u32>,
    active: VecDeque<WorkspaceKey>,
}

impl FairQueue {
    pub(crate) fn set_weight(&mut self, name: &str, weight: u32) {
        let weight = weight.max(1);
        if let Some(&key) = self.by_name.get(name) {
            self.workspaces[key].weight = weight;
        }
        self.weights.insert(name.to_owned(), weight);
    }

    pub(crate) fn get_or_insert(&mut self, name: &str) -> WorkspaceKey {
        if let Some(&key) = self.by_name.get(name) {
            return key;
        }
        let key = self.workspaces.insert(WorkspaceEntry {
            name: name.to_owned(),
            queued: BTreeSet::new(),
            running: 0,
            weight: self.weights.get(name).copied().unwrap_or(1),
            deficit: 0,
        });
        self.by_name.insert(name.to_owned(), key);
        key
    }

    /// Removes a workspace without calls, so that the number of entries stays bounded by the calls.
    pub(crate) fn remove_if_idle(&mut self, key: WorkspaceKey) {
        let idle = self
            .workspaces
            .get(key)
            .is_some_and(|entry| entry.running == 0 && entry.queued.is_empty());
        if idle && let Some(entry) = self.workspaces.remove(key) {
            self.by_name.remove(&entry.name);
        }
    }

    pub(crate) fn get(&self, key: WorkspaceKey) -> &WorkspaceEntry {
        &self.workspaces[key]
    }

    pub(crate) fn get_mut(&mut self, key: WorkspaceKey) -> &mut WorkspaceEntry {
        &mut self.workspaces[key]
    }

    /// Estimates the number of queued calls that run before a call of the workspace `name` that is
    /// due at `due_at`: each earlier call of the workspace waits for one round over the active
    /// workspaces.
    pub(crate) fn queued_before(&self, name: &str, due_at: Instant) -> usize {
        let key = self.by_name.get(name);
        let own_queue = key.map(|&key| &self.workspaces[key].queued);
        let earlier = own_queue.map_or(0, |queue| {
            queue.iter().take_while(|entry| entry.0 <= due_at).count()
        });
        let rounds = self.active.len() + usize::from(own_queue.is_none_or(BTreeSet::is_empty));
        ((earlier + 1) * rounds - 1).min(self.queued())
    }

    /// Number of queued calls of all workspaces.
    pub(crate) fn queued(&self) -> usize {
        let entries = self.active.iter().map(|&key| &self.workspaces[key]);
        entries.map(|entry| entry.queued.len()).sum()
    }

    /// Whether a workspace other than `key` has queued calls.
    pub(crate) fn others_queued(&self, key: WorkspaceKey) -> bool {
        let own_active = usize::from(!self.workspaces[key].queued.is_empty());
        self.active.len() > own_active
    }

    /// Queues a call. The calls of a workspace run in the order of `due_at`.
    pub(crate) fn push(&mut self, key: WorkspaceKey, due_at: Instant, call: CallId) {
        let entry = &mut self.workspaces[key];
        if entry.queued.is_empty() {
            entry.deficit = 0;
            self.active.push_back(key);
        }
        entry.queued.insert((due_at, call));
    }

    pub(crate) fn remove(&mut self, key: WorkspaceKey, call: CallId) {
        let entry = &mut self.workspaces[key];
        entry.queued.retain(|(_, queued)| *queued != call);
        self.deactivate_if_empty(key);
    }

    fn deactivate_if_empty(&mut self, key: WorkspaceKey) {
        if self.workspaces[key].queued.is_empty() {
            self.active.retain(|workspace| *workspace != key);
        }
    }

    /// Removes and returns the next call by deficit round robin; each call costs one.
    ///
    /// Workspaces with `max_running` running calls are skipped while a workspace with fewer has
    /// queued calls. If all active workspaces are at the limit, the one with the fewest running
    /// calls is next, so that no slot stays idle while calls wait.
    pub(crate) fn pop(&mut self, max_running: u32) -> Option<CallId> {
        let is_below =
            |queue: &Self, key: WorkspaceKey| queue.workspaces[key].running < max_running;
        let position = self.active.iter().position(|&key| is_below(self, key));
        let position = position.or_else(|| {
            let running = |position: &usize| self.workspaces[self.active[*position]].running;
            (0..self.active.len()).min_by_key(running)
        })?;
        let key = self.active[position];
        let entry = &mut self.workspaces[key];
        if entry.deficit == 0 {
            entry.deficit = entry.weight;
        }
        entry.deficit -= 1;
        let (_, call) = entry.queued.pop_first()?;
        if entry.queued.is_empty() {
            self.active.remove(position);
        } else if entry.deficit == 0 {
            self.active.remove(position);
            self.active.push_back(key);
        }
        Some(call)
    }

    /// Returns the call that would run last of the workspace with the longest queue, if that queue
    /// is longer than `limit`.
    pub(crate) fn last_call_over(&self, limit: usize) -> Option<CallId> {
        let longest = self
            .active
            .iter()
            .map(|&key| &self.workspaces[key].queued)
            .max_by_key(|queued| queued.len())?;
        let last = longest.last().filter(|_| longest.len() > limit);
        last.map(|(_, call)| *call)
    }
}
