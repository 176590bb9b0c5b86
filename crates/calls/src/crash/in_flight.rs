//! Fingerprints of the requests that the local target may be running.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use agatedeck_clock::Instant;

use super::fingerprint::Fingerprint;
use super::tracker::TargetCrashReport;

/// Bound on the abandoned requests in an [`InFlightTable`]; the oldest are dropped first. A target that
/// is given up on repeatedly has this many within seconds.
const MAX_ABANDONED: usize = 256;

/// Time after the deadline of an abandoned request within which a crash that it caused is noticed: at
/// the latest when the target announces its next start.
const CRASH_NOTICE_TIME: Duration = Duration::from_secs(15);

/// A request whose sender no longer waits for it, and that the target may still run.
#[derive(Clone, Copy, Debug)]
struct AbandonedRequest {
    fingerprint: Fingerprint,
    /// The deadline that the target was given.
    deadline: Instant,
}

impl AbandonedRequest {
    fn is_suspect(&self, now: Instant) -> bool {
        !self.deadline.after(CRASH_NOTICE_TIME).is_past(now)
    }
}

/// The fingerprints of the requests that one target may be running, and the number of its crashes.
///
/// A request that was abandoned counts until the target has shown that it survived its deadline: many
/// targets run on after their sender has left, and a crash shows only later.
///
/// The size is bounded by the slots of the target and [`MAX_ABANDONED`].
#[derive(Debug)]
pub struct InFlightTable {
    node: String,
    service: String,
    incarnation: u64,
    crashes: u64,
    in_flight: BTreeMap<Fingerprint, u32>,
    /// In the order in which they were abandoned.
    abandoned: VecDeque<AbandonedRequest>,
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
            abandoned: VecDeque::new(),
        }
    }

    /// Records that a request was dispatched to the target.
    pub fn record_dispatch(&mut self, fingerprint: Fingerprint) {
        *self.in_flight.entry(fingerprint).or_default() += 1;
    }

    /// Records that the target no longer runs a request, or never ran it.
    pub fn record_end(&mut self, fingerprint: Fingerprint) {
        if let Some(count) = self.in_flight.get_mut(&fingerprint) {
            *count -= 1;
            if *count == 0 {
                self.in_flight.remove(&fingerprint);
            }
        }
    }

    /// Records that nobody waits any longer for a request that the target may run until `deadline`.
    pub fn record_abandoned(&mut self, fingerprint: Fingerprint, deadline: Instant) {
        self.record_end(fingerprint);
        if self.abandoned.len() == MAX_ABANDONED {
            self.abandoned.pop_front();
        }
        self.abandoned.push_back(AbandonedRequest {
            fingerprint,
            deadline,
        });
    }

    /// Records that the target was alive at `at`, and so has survived the requests whose deadlines had
    /// passed by then.
    pub fn record_alive(&mut self, at: Instant) {
        self.abandoned
            .retain(|request| !request.deadline.is_past(at));
    }

    /// Whether an abandoned request may have caused a crash that is noticed now.
    pub fn has_abandoned(&self, now: Instant) -> bool {
        self.abandoned.iter().any(|request| request.is_suspect(now))
    }

    /// Records a crash of the target and empties the table. Returns one report for each fingerprint
    /// that the target may have been running; the reports expire after `remaining_ms` milliseconds.
    pub fn record_crash(&mut self, now: Instant, remaining_ms: u32) -> Vec<TargetCrashReport> {
        self.crashes += 1;
        let abandoned = std::mem::take(&mut self.abandoned);
        let suspects = abandoned.iter().filter(|request| request.is_suspect(now));
        let mut fingerprints: BTreeSet<Fingerprint> =
            suspects.map(|request| request.fingerprint).collect();
        fingerprints.extend(std::mem::take(&mut self.in_flight).into_keys());
        fingerprints
            .into_iter()
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
