//! Calls that come back after they were not answered.
//!
//! A caller that was refused repeats its request later. What it waits for is due since its first
//! attempt, so that the repeated request is of full use for less time than a new one, or for none.
//! Without this, requests that are late in any case take the place of those that can be in time, and
//! under lasting overload most of both are late.

use std::collections::{HashMap, VecDeque};

use agatedeck_clock::Instant;
use slotmap::{SlotMap, new_key_type};

use crate::crash::Fingerprint;

/// Calls that are remembered; the oldest are forgotten first. At 96 bytes each, 400 KB.
const MAX_REMEMBERED_CALLS: usize = 4_096;

new_key_type! {
    struct CallKey;
}

/// A call that was not answered.
#[derive(Clone, Copy, Debug)]
pub struct UnansweredCall {
    /// What makes two requests the same.
    pub fingerprint: Fingerprint,
    /// When the first attempt of the caller arrived.
    pub arrived_at: Instant,
    /// Deadline of the call, until which the caller may repeat it.
    pub deadline: Instant,
}

/// The calls that may come back.
///
/// Each remembered call stands for one that comes back, so that other callers with the same request
/// are not taken for it.
#[derive(Debug, Default)]
pub struct ClientRetryTable {
    calls: SlotMap<CallKey, UnansweredCall>,
    by_fingerprint: HashMap<Fingerprint, VecDeque<CallKey>>,
    /// Calls in the order in which they were noted, some of which may have come back.
    by_age: VecDeque<CallKey>,
}

impl ClientRetryTable {
    /// Remembers a call that was not answered.
    pub fn insert(&mut self, call: UnansweredCall, now: Instant) {
        if call.deadline.is_past(now) {
            return;
        }
        self.evict_stale(now);
        let key = self.calls.insert(call);
        let keys = self.by_fingerprint.entry(call.fingerprint).or_default();
        keys.push_back(key);
        self.by_age.push_back(key);
    }

    /// When the first attempt arrived of the call that comes back with this request, if one does.
    pub fn take_arrival(&mut self, fingerprint: Fingerprint, now: Instant) -> Option<Instant> {
        loop {
            let keys = self.by_fingerprint.get_mut(&fingerprint)?;
            let Some(key) = keys.pop_front() else {
                self.by_fingerprint.remove(&fingerprint);
                return None;
            };
            let call = self.calls.remove(key);
            let call = call.filter(|call| !call.deadline.is_past(now));
            if let Some(call) = call {
                return Some(call.arrived_at);
            }
        }
    }

    fn evict_stale(&mut self, now: Instant) {
        while let Some(&key) = self.by_age.front() {
            let call = self.calls.get(key);
            let retained = call.is_some_and(|call| !call.deadline.is_past(now));
            if retained && self.by_age.len() < MAX_REMEMBERED_CALLS {
                return;
            }
            self.by_age.pop_front();
            if let Some(call) = self.calls.remove(key) {
                self.remove_key(call.fingerprint, key);
            }
        }
    }

    fn remove_key(&mut self, fingerprint: Fingerprint, key: CallKey) {
        if let Some(keys) = self.by_fingerprint.get_mut(&fingerprint) {
            keys.retain(|other| *other != key);
            if keys.is_empty() {
                self.by_fingerprint.remove(&fingerprint);
            }
        }
    }
}
