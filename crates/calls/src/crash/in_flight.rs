//! Fingerprints of the requests in flight at the local target.

use std::collections::BTreeMap;

use super::fingerprint::Fingerprint;
use super::tracker::TargetCrashReport;

/// The fingerprints of the requests in flight at one target, and the number of its crashes.
///
/// The size is bounded by the slots of the target.
#[derive(Debug)]
pub struct InFlightTable {
    node: String,
    service: String,
    incarnation: u64,
    crashes: u64,
    in_flight: BTreeMap<Fingerprint, u32>,
}

impl InFlightTable {
    /// Creates an empty table for the target of `service` beside `node`. `incarnation` is that of the
    /// node.
    pub fn new(node: &str, incarnation: u64, service: &str) -> Self {
        Self {
            node: node.to_owned(),
            service: service.to_owned(),
            incarnation,
            crashes: 0,
            in_flight: BTreeMap::new(),
        }
    }

    /// Records that a request was dispatched to the target.
    pub fn record_dispatch(&mut self, fingerprint: Fingerprint) {
        *self.in_flight.entry(fingerprint).or_default() += 1;
    }

    /// Records that a request ended without a crash of the target.
    pub fn record_end(&mut self, fingerprint: Fingerprint) {
        if let Some(count) = self.in_flight.get_mut(&fingerprint) {
            *count -= 1;
            if *count == 0 {
                self.in_flight.remove(&fingerprint);
            }
        }
    }

    /// Records a crash of the target and empties the table. Returns one report for each fingerprint
    /// that was in flight; the reports expire after `remaining_ms` milliseconds.
    pub fn record_crash(&mut self, remaining_ms: u32) -> Vec<TargetCrashReport> {
        self.crashes += 1;
        std::mem::take(&mut self.in_flight)
            .into_keys()
            .map(|fingerprint| TargetCrashReport {
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
