//! Recognises client retries of calls that were not answered.
//!
//! A caller that was refused repeats its request later. The useful lifetime of the answer started
//! with the first attempt, so a repeated request has less of it left than a new one, or none. If each
//! repeat counted as a new request, requests that are late in any case would displace those that can
//! still be in time, and under sustained overload most of both would be late.

use std::collections::{HashMap, VecDeque};

use agatedeck_clock::Instant;
use slotmap::{SlotMap, new_key_type};

use crate::crash::Fingerprint;

/// Bound on the calls in a [`ClientRetryTable`]; the oldest are evicted first. 400 KB at 96 bytes
/// each.
const MAX_UNANSWERED_CALLS: usize = 4_096;

new_key_type! {
    struct CallKey;
}

/// A call that was not answered and that its caller may repeat.
#[derive(Clone, Copy, Debug)]
pub struct UnansweredCall {
    /// Fingerprint by which the repeated request is recognised.
    pub fingerprint: Fingerprint,
    /// When the caller's first attempt arrived.
    pub arrived_at: Instant,
    /// Deadline of the call, until which the caller may repeat it.
    pub deadline: Instant,
}

/// The unanswered calls that their callers may repeat.
///
/// Each entry matches one repeated request, so that other callers that send the same request are not
/// mistaken for client retries.
#[derive(Debug, Default)]
pub struct ClientRetryTable {
    calls: SlotMap<CallKey, UnansweredCall>,
    by_fingerprint: HashMap<Fingerprint, VecDeque<CallKey>>,
    /// Keys in order of insertion. May contain keys of calls that were taken already.
    by_age: VecDeque<CallKey>,
}

impl ClientRetryTable {
    /// Adds an unanswered call. A call whose deadline has passed is not added.
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

    /// Matches a request against the table. If it is a client retry, removes the matching call and
    /// returns when the caller's first attempt arrived.
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

    /// Removes taken and expired calls from the front of `by_age`, and the oldest call while the
    /// table is full.
    fn evict_stale(&mut self, now: Instant) {
        while let Some(&key) = self.by_age.front() {
            let call = self.calls.get(key);
            let retained = call.is_some_and(|call| !call.deadline.is_past(now));
            if retained && self.by_age.len() < MAX_UNANSWERED_CALLS {
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
