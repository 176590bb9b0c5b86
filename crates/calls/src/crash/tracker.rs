//! Counts target crashes by request fingerprint.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use agatedeck_clock::Instant;
use agatedeck_wire::CrashReport;

use super::fingerprint::Fingerprint;

/// Limits of [`CrashTracker`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CrashSettings {
    /// Crashes after which requests with a fingerprint are refused. A frequent request may be in
    /// flight at two crashes of unrelated cause, but rarely at three.
    pub crash_threshold: usize,
    /// Time after which a report expires, in milliseconds.
    pub report_ttl_ms: u32,
    /// Bound on the fingerprints in the tracker.
    pub max_fingerprints: usize,
    /// Bound on the reports per fingerprint; at least `crash_threshold`.
    pub max_reports: usize,
    /// Bound on the reports that are sent to a node which has just started, about 70 bytes each.
    pub max_listed_reports: usize,
}

impl Default for CrashSettings {
    fn default() -> Self {
        Self {
            crash_threshold: 3,
            report_ttl_ms: 600_000,
            max_fingerprints: 4_096,
            max_reports: 8,
            max_listed_reports: 256,
        }
    }
}

/// Report that a request was in flight at a target when the target crashed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetCrashReport {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Service of the target.
    pub service: String,
    /// Name of the node beside the target.
    pub node: String,
    /// Incarnation of that node.
    pub incarnation: u64,
    /// Sequence number of the crash in that incarnation.
    pub crash: u64,
    /// Time until the report expires, in milliseconds.
    pub remaining_ms: u32,
}

impl TargetCrashReport {
    /// Converts the report to its wire message.
    pub fn to_wire(&self) -> CrashReport {
        CrashReport {
            fingerprint: self.fingerprint.as_bytes().to_vec(),
            service: self.service.clone(),
            node: self.node.clone(),
            incarnation: self.incarnation,
            crash: self.crash,
            remaining_ms: self.remaining_ms,
        }
    }

    /// Converts a wire message to a report; `None` if its fingerprint does not have 32 bytes.
    pub fn from_wire(message: &CrashReport) -> Option<Self> {
        Some(Self {
            fingerprint: Fingerprint::from_slice(&message.fingerprint)?,
            service: message.service.clone(),
            node: message.node.clone(),
            incarnation: message.incarnation,
            crash: message.crash,
            remaining_ms: message.remaining_ms,
        })
    }
}

/// Result of [`CrashTracker::merge`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MergeResult {
    /// The report was new. It is to be forwarded to other nodes.
    Added,
    /// The report was known already or has expired, or the tracker is full.
    Ignored,
}

/// A request that is refused, as listed for operators.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RefusedRequest {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Service that it crashed.
    pub service: String,
    /// Number of crashes counted.
    pub crashes: usize,
    /// When the request is admitted again, unless there are further crashes.
    pub expires_at: Instant,
}

/// Identity of a report: node, incarnation and sequence number of the crash.
type ReportId = (String, u64, u64);

/// The crash reports known to this node.
///
/// Invariant: while no bound is reached, the state depends only on the set of merged reports, not
/// on their order or on duplicates. A cleared report is kept until it expires, so that a duplicate
/// of it is not counted again.
#[derive(Debug)]
pub struct CrashTracker {
    settings: CrashSettings,
    suspects: BTreeMap<Fingerprint, SuspectRequest>,
}

#[derive(Debug, Default)]
struct SuspectRequest {
    service: String,
    reports: BTreeMap<ReportId, SuspectReport>,
}

#[derive(Clone, Copy, Debug)]
struct SuspectReport {
    expires_at: Instant,
    cleared: bool,
}

impl SuspectReport {
    /// Whether the report is neither cleared nor expired.
    fn is_counted(&self, now: Instant) -> bool {
        !self.cleared && !self.expires_at.is_past(now)
    }
}

impl SuspectRequest {
    /// The reports that count, with the time that remains of each.
    fn counted_reports(
        &self,
        fingerprint: Fingerprint,
        now: Instant,
    ) -> impl Iterator<Item = TargetCrashReport> {
        let counted = self
            .reports
            .iter()
            .filter(move |(_, report)| report.is_counted(now));
        counted.map(
            move |((node, incarnation, crash), report)| TargetCrashReport {
                fingerprint,
                service: self.service.clone(),
                node: node.clone(),
                incarnation: *incarnation,
                crash: *crash,
                remaining_ms: u32::try_from(report.expires_at.since(now).as_millis())
                    .unwrap_or(u32::MAX),
            },
        )
    }

    /// Expiry times of the reports that count, latest first.
    fn counted_expiries(&self, now: Instant) -> Vec<Instant> {
        let mut expiries: Vec<Instant> = self
            .reports
            .values()
            .filter(|report| report.is_counted(now))
            .map(|report| report.expires_at)
            .collect();
        expiries.sort_unstable_by(|left, right| right.cmp(left));
        expiries
    }

    /// When the number of counted reports falls below `threshold`; `None` if it is below now.
    fn refused_until(&self, threshold: usize, now: Instant) -> Option<Instant> {
        self.counted_expiries(now)
            .get(threshold.checked_sub(1)?)
            .copied()
    }

    /// Drops the reports that expire first until at most `max` are left.
    fn evict_excess(&mut self, max: usize) {
        let excess = self.reports.len().saturating_sub(max);
        let mut by_expiry: Vec<(Instant, ReportId)> = self
            .reports
            .iter()
            .map(|(id, report)| (report.expires_at, id.clone()))
            .collect();
        by_expiry.sort_unstable();
        for (_, id) in by_expiry.into_iter().take(excess) {
            self.reports.remove(&id);
        }
    }
}

impl CrashTracker {
    /// Creates a tracker without reports.
    pub fn new(settings: CrashSettings) -> Self {
        Self {
            settings,
            suspects: BTreeMap::new(),
        }
    }

    /// Merges a report from this node or from another one.
    pub fn merge(&mut self, report: &TargetCrashReport, now: Instant) -> MergeResult {
        let remaining_ms = report.remaining_ms.min(self.settings.report_ttl_ms);
        let expires_at = now.after(Duration::from_millis(remaining_ms.into()));
        if expires_at.is_past(now) || !self.reserve_entry(report.fingerprint, now) {
            return MergeResult::Ignored;
        }
        let suspect = self.suspects.entry(report.fingerprint).or_default();
        if suspect.service.is_empty() {
            suspect.service.clone_from(&report.service);
        }
        let id = (report.node.clone(), report.incarnation, report.crash);
        if let Some(suspect_report) = suspect.reports.get_mut(&id) {
            // `remaining_ms` does not account for transmission time, so the earliest expiry among
            // the copies is the most accurate one.
            suspect_report.expires_at = suspect_report.expires_at.min(expires_at);
            return MergeResult::Ignored;
        }
        let suspect_report = SuspectReport {
            expires_at,
            cleared: false,
        };
        suspect.reports.insert(id.clone(), suspect_report);
        suspect.evict_excess(self.settings.max_reports.max(self.settings.crash_threshold));
        if suspect.reports.contains_key(&id) {
            MergeResult::Added
        } else {
            MergeResult::Ignored
        }
    }

    /// Records that a target answered a request. Clears the reports of the request if they are below
    /// the threshold.
    pub fn record_completion(&mut self, fingerprint: Fingerprint, now: Instant) {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return;
        };
        if suspect
            .refused_until(self.settings.crash_threshold, now)
            .is_none()
        {
            for report in suspect.reports.values_mut() {
                report.cleared = true;
            }
        }
    }

    /// When a request with this fingerprint is admitted again; `None` if it is not refused.
    pub fn refused_until(&self, fingerprint: Fingerprint, now: Instant) -> Option<Instant> {
        let suspect = self.suspects.get(&fingerprint)?;
        suspect.refused_until(self.settings.crash_threshold, now)
    }

    /// Lists the refused requests in the order of their fingerprints.
    pub fn refused_requests(&self, now: Instant) -> Vec<RefusedRequest> {
        let threshold = self.settings.crash_threshold;
        let refused = self.suspects.iter().filter_map(|(fingerprint, suspect)| {
            Some(RefusedRequest {
                fingerprint: *fingerprint,
                service: suspect.service.clone(),
                crashes: suspect.counted_expiries(now).len(),
                expires_at: suspect.refused_until(threshold, now)?,
            })
        });
        refused.collect()
    }

    /// Lists the reports that count of requests with at least `min_reports` of them, those of the most
    /// suspected requests first and at most `max_listed_reports`. A node that has just started, or that
    /// was out of reach, merges them: it would otherwise admit requests that other nodes refuse.
    pub fn counted_reports(&self, min_reports: usize, now: Instant) -> Vec<TargetCrashReport> {
        let mut suspects: Vec<(usize, &Fingerprint, &SuspectRequest)> = self
            .suspects
            .iter()
            .map(|(fingerprint, suspect)| {
                (suspect.counted_expiries(now).len(), fingerprint, suspect)
            })
            .filter(|(count, ..)| *count >= min_reports)
            .collect();
        suspects.sort_by_key(|(count, ..)| Reverse(*count));
        suspects
            .into_iter()
            .flat_map(|(_, fingerprint, suspect)| suspect.counted_reports(*fingerprint, now))
            .take(self.settings.max_listed_reports)
            .collect()
    }

    /// Removes expired reports. To be called periodically, so that memory is freed.
    pub fn remove_expired(&mut self, now: Instant) {
        self.suspects.retain(|_, suspect| {
            suspect
                .reports
                .retain(|_, report| !report.expires_at.is_past(now));
            !suspect.reports.is_empty()
        });
    }

    /// Number of fingerprints in the tracker.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether the tracker has no fingerprints.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Ensures that the tracker has an entry for a fingerprint or space for one. If the tracker is
    /// full, removes expired reports and, if that is not enough, evicts the suspect with the fewest
    /// counted reports. Refused requests are never evicted; returns false if only those are left.
    fn reserve_entry(&mut self, fingerprint: Fingerprint, now: Instant) -> bool {
        let max = self.settings.max_fingerprints;
        if self.suspects.contains_key(&fingerprint) || self.suspects.len() < max {
            return true;
        }
        self.remove_expired(now);
        if self.suspects.len() < max {
            return true;
        }
        let victim: Option<(usize, Option<Instant>, Fingerprint)> = self
            .suspects
            .iter()
            .map(|(fingerprint, suspect)| {
                let expiries = suspect.counted_expiries(now);
                (expiries.len(), expiries.first().copied(), *fingerprint)
            })
            .min();
        match victim {
            Some((count, _, victim)) if count < self.settings.crash_threshold => {
                self.suspects.remove(&victim);
                true
            }
            _ => false,
        }
    }
}
