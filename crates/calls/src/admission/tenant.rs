//! Fair order over tenants.

use std::collections::{BTreeSet, HashMap, VecDeque};

use agatedeck_clock::Instant;
use slotmap::{SlotMap, new_key_type};

use super::queue::CallId;

new_key_type! {
    pub(crate) struct TenantKey;
}

#[derive(Debug)]
pub(crate) struct TenantEntry {
    name: String,
    /// Queued calls, the one to run first at the front.
    pub(crate) queued: BTreeSet<(Instant, CallId)>,
    pub(crate) running: u32,
    weight: u32,
    /// Calls that the tenant may still start in its turn.
    deficit: u32,
}

/// The tenants with calls here and the turn among those with queued calls.
///
/// Invariant: `turns` holds each tenant with queued calls once and no other tenant.
#[derive(Debug, Default)]
pub(crate) struct TenantRing {
    tenants: SlotMap<TenantKey, TenantEntry>,
    by_name: HashMap<String, TenantKey>,
    weights: HashMap<String, u32>,
    turns: VecDeque<TenantKey>,
}

impl TenantRing {
    pub(crate) fn set_weight(&mut self, name: &str, weight: u32) {
        let weight = weight.max(1);
        if let Some(&key) = self.by_name.get(name) {
            self.tenants[key].weight = weight;
        }
        self.weights.insert(name.to_owned(), weight);
    }

    pub(crate) fn enter(&mut self, name: &str) -> TenantKey {
        if let Some(&key) = self.by_name.get(name) {
            return key;
        }
        let key = self.tenants.insert(TenantEntry {
            name: name.to_owned(),
            queued: BTreeSet::new(),
            running: 0,
            weight: self.weights.get(name).copied().unwrap_or(1),
            deficit: 0,
        });
        self.by_name.insert(name.to_owned(), key);
        key
    }

    /// Forgets a tenant without calls, so that tenants do not pile up.
    pub(crate) fn leave_if_idle(&mut self, key: TenantKey) {
        let idle = self
            .tenants
            .get(key)
            .is_some_and(|entry| entry.running == 0 && entry.queued.is_empty());
        if idle && let Some(entry) = self.tenants.remove(key) {
            self.by_name.remove(&entry.name);
        }
    }

    pub(crate) fn get(&self, key: TenantKey) -> &TenantEntry {
        &self.tenants[key]
    }

    pub(crate) fn get_mut(&mut self, key: TenantKey) -> &mut TenantEntry {
        &mut self.tenants[key]
    }

    /// Queued calls that run before a call of the tenant `name` with this rank.
    ///
    /// Each earlier call of the tenant itself waits for one turn of the ring.
    pub(crate) fn queued_before(&self, name: &str, rank: Instant) -> usize {
        let key = self.by_name.get(name);
        let own = key.map(|&key| &self.tenants[key].queued);
        let earlier = own.map_or(0, |own| {
            own.iter().take_while(|entry| entry.0 <= rank).count()
        });
        let turns = self.turns.len() + usize::from(own.is_none_or(BTreeSet::is_empty));
        ((earlier + 1) * turns - 1).min(self.queued())
    }

    /// Queued calls of all tenants.
    pub(crate) fn queued(&self) -> usize {
        let entries = self.turns.iter().map(|&key| &self.tenants[key]);
        entries.map(|entry| entry.queued.len()).sum()
    }

    /// Whether a tenant other than `key` has queued calls.
    pub(crate) fn others_wait(&self, key: TenantKey) -> bool {
        let own = usize::from(!self.tenants[key].queued.is_empty());
        self.turns.len() > own
    }

    /// Queues a call. Calls of one tenant run in the order of `rank`.
    pub(crate) fn push(&mut self, key: TenantKey, rank: Instant, call: CallId) {
        let entry = &mut self.tenants[key];
        if entry.queued.is_empty() {
            entry.deficit = 0;
            self.turns.push_back(key);
        }
        entry.queued.insert((rank, call));
    }

    pub(crate) fn remove(&mut self, key: TenantKey, call: CallId) {
        let entry = &mut self.tenants[key];
        entry.queued.retain(|(_, queued)| *queued != call);
        self.leave_turns_if_empty(key);
    }

    fn leave_turns_if_empty(&mut self, key: TenantKey) {
        if self.tenants[key].queued.is_empty() {
            self.turns.retain(|turn| *turn != key);
        }
    }

    /// Takes the next call in deficit round robin; each call costs one.
    ///
    /// Tenants that run `cap` calls are passed over while another tenant below it waits. If all
    /// that wait are at the cap, the one with the fewest running calls is next, so that no slot
    /// stays empty while calls wait.
    pub(crate) fn pop(&mut self, cap: u32) -> Option<CallId> {
        let below = |ring: &Self, key: TenantKey| ring.tenants[key].running < cap;
        let position = self.turns.iter().position(|&key| below(self, key));
        let position = position.or_else(|| {
            let running = |position: &usize| self.tenants[self.turns[*position]].running;
            (0..self.turns.len()).min_by_key(running)
        })?;
        let key = self.turns[position];
        let entry = &mut self.tenants[key];
        if entry.deficit == 0 {
            entry.deficit = entry.weight;
        }
        entry.deficit -= 1;
        let (_, call) = entry.queued.pop_first()?;
        if entry.queued.is_empty() {
            self.turns.remove(position);
        } else if entry.deficit == 0 {
            self.turns.remove(position);
            self.turns.push_back(key);
        }
        Some(call)
    }

    /// The queued call that would run last of the tenant with the longest queue, if that queue is
    /// longer than `share`.
    pub(crate) fn newest_over(&self, share: usize) -> Option<CallId> {
        let longest = self
            .turns
            .iter()
            .map(|&key| &self.tenants[key].queued)
            .max_by_key(|queued| queued.len())?;
        let last = longest.last().filter(|_| longest.len() > share);
        last.map(|(_, call)| *call)
    }
}
