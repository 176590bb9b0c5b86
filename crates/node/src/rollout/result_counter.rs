//! Counts of the results of this node's calls during rollouts.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use agatedeck_wire::RolloutCounts;

/// How a call ended at its target, for the comparison of versions.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CallVerdict {
    /// The target answered without a server error.
    Answered,
    /// The target answered with a server error, with an unusable answer, or not until the timeout.
    Failed,
}

/// The result of a call that counts.
#[derive(Clone, Debug)]
pub(crate) struct CountedResult {
    /// Class of the route.
    pub(crate) class: String,
    pub(crate) verdict: CallVerdict,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct CountKey {
    service: String,
    version: String,
    class: String,
    node: String,
}

/// Counts since the last report. Holds one entry for each combination that was called, so at most one per
/// call.
#[derive(Debug, Default)]
pub(crate) struct ResultCounter {
    counts: HashMap<CountKey, RolloutCounts>,
}

impl ResultCounter {
    /// Counts a call that is sent to a target of this version.
    pub(crate) fn count_sent(&mut self, service: &str, version: &str) {
        self.entry(service, version, "", "").sent += 1;
    }

    /// Counts the result of a call at the target of a node, and its latency if that counts.
    pub(crate) fn count_result(
        &mut self,
        service: &str,
        (version, node): (&str, &str),
        result: &CountedResult,
        latency: Option<Duration>,
    ) {
        let entry = self.entry(service, version, &result.class, node);
        match result.verdict {
            CallVerdict::Answered => {
                entry.answered += 1;
                if let Some(latency) = latency {
                    entry.timed += 1;
                    entry.latency_us += u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
                }
            }
            CallVerdict::Failed => entry.failed += 1,
        }
    }

    /// Forgets the results of services that are not among `counted`. Those of an ended rollout, which were not
    /// reported, would otherwise count for the next order of the same version.
    pub(crate) fn retain_services(&mut self, counted: &BTreeSet<String>) {
        self.counts.retain(|key, _| counted.contains(&key.service));
    }

    /// Returns the counts and starts again.
    pub(crate) fn take(&mut self) -> Vec<RolloutCounts> {
        self.counts.drain().map(|(_, counts)| counts).collect()
    }

    fn entry(
        &mut self,
        service: &str,
        version: &str,
        class: &str,
        node: &str,
    ) -> &mut RolloutCounts {
        let key = CountKey {
            service: service.to_owned(),
            version: version.to_owned(),
            class: class.to_owned(),
            node: node.to_owned(),
        };
        self.counts
            .entry(key)
            .or_insert_with_key(|key| RolloutCounts {
                service: key.service.clone(),
                target_version: key.version.clone(),
                class: key.class.clone(),
                node: key.node.clone(),
                ..Default::default()
            })
    }
}
