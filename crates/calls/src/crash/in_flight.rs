//! Requests in flight at the target of this node.

use std::collections::BTreeMap;

use super::fingerprint::Fingerprint;
use super::tracker::CrashNotice;

/// The fingerprints in flight at one target, and the number of its crashes.
///
/// Its size is bounded by the slots of the target.
#[derive(Debug)]
pub struct InFlightTable {
    node: String,
    service: String,
    incarnation: u64,
    crashes: u64,
    in_flight: BTreeMap<Fingerprint, u32>,
}

impl InFlightTable {
    /// The table of the target beside `node`, which runs as `incarnation`.
    pub fn new(node: &str, incarnation: u64, service: &str) -> Self {
        Self {
            node: node.to_owned(),
            service: service.to_owned(),
            incarnation,
            crashes: 0,
            in_flight: BTreeMap::new(),
        }
    }

    /// Notes that a request was dispatched to the target.
    pub fn record_dispatch(&mut self, fingerprint: Fingerprint) {
        *self.in_flight.entry(fingerprint).or_default() += 1;
    }

    /// Notes that a request ended other than by a crash of the target.
    pub fn record_end(&mut self, fingerprint: Fingerprint) {
        if let Some(count) = self.in_flight.get_mut(&fingerprint) {
            *count -= 1;
            if *count == 0 {
                self.in_flight.remove(&fingerprint);
            }
        }
    }

    /// Notes a crash of the target. Returns one notice for each fingerprint that was in flight, and
    /// empties the table; each lapses `remaining_ms` after the crash.
    pub fn record_crash(&mut self, remaining_ms: u32) -> Vec<CrashNotice> {
        self.crashes += 1;
        std::mem::take(&mut self.in_flight)
            .into_keys()
            .map(|fingerprint| CrashNotice {
                fingerprint,
                service: self.service.clone(),
                node: self.node.clone(),
                incarnation: self.incarnation,
                crash: self.crashes,
                remaining_ms,
            })
            .collect()
    }
}
