//! Which nodes and failure domains answer, from the requests for tokens themselves.
//!
//! The failure detector needs seconds to declare a node dead, and delegates alone probe other domains.
//! Owners of quotas exchange several requests a second with most domains, so that these tell sooner
//! whom a node reaches.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use agatedeck_clock::Instant;

/// Time without any sign of a node after which it counts as silent for the choice of owners. An owner that
/// is itself cut off finds that out within this time and reduces its grants.
const SILENCE_TIME: Duration = Duration::from_secs(1);

/// Time without any sign of a failure domain after which its members count as out of reach.
const CUT_TIME: Duration = Duration::from_millis(500);

/// Time without any sign of a failure domain after which this side of a partition takes over its workspaces.
/// The other side has reduced its grants by then: taking over after [`CUT_TIME`] already gave windows of the
/// whole promise.
const TAKEOVER_TIME: Duration = Duration::from_millis(1_500);

/// Number of nodes of a domain that must not have answered before the domain counts as out of reach.
const MIN_SILENT_NODES: usize = 2;

/// Failed requests since the last sign of a peer.
#[derive(Clone, Debug, Default)]
struct SilenceRecord {
    first_failed_at: Instant,
    nodes: BTreeSet<String>,
}

impl SilenceRecord {
    fn lasts(&self, time: Duration, now: Instant) -> bool {
        self.first_failed_at.after(time).is_past(now)
    }
}

/// Peers that did not answer, until the next sign of them. The node goes on to send requests to them.
#[derive(Clone, Debug, Default)]
pub struct PeerContacts {
    nodes: BTreeMap<String, SilenceRecord>,
    domains: BTreeMap<String, SilenceRecord>,
}

impl PeerContacts {
    /// Records a request or an answer of `node`.
    pub fn record_sign(&mut self, node: &str, domain: &str) {
        self.nodes.remove(node);
        self.domains.remove(domain);
    }

    /// Records that `node` did not answer a request.
    pub fn record_failure(&mut self, node: &str, domain: &str, now: Instant) {
        for (records, name) in [(&mut self.nodes, node), (&mut self.domains, domain)] {
            let first_record = || SilenceRecord {
                first_failed_at: now,
                ..SilenceRecord::default()
            };
            let record = records.entry(name.to_owned()).or_insert_with(first_record);
            record.nodes.insert(node.to_owned());
        }
    }

    /// Forgets the nodes and the domains of nodes that are no longer members.
    pub fn retain_members(&mut self, is_member: impl Fn(&str) -> bool) {
        self.nodes.retain(|node, _| is_member(node));
        self.domains.retain(|_, record| {
            record.nodes.retain(|node| is_member(node));
            !record.nodes.is_empty()
        });
    }

    /// Nodes that did not answer the last request.
    pub fn unanswering(&self) -> impl Iterator<Item = &str> {
        self.nodes.keys().map(String::as_str)
    }

    /// Whether a holder should ask another node than `node`.
    pub fn is_avoided(&self, node: &str) -> bool {
        self.nodes.contains_key(node)
    }

    /// Whether `node` has been silent for so long that another node owns its workspaces.
    pub fn is_silent(&self, node: &str, now: Instant) -> bool {
        let record = self.nodes.get(node);
        record.is_some_and(|record| record.lasts(SILENCE_TIME, now))
    }

    /// Whether the failure domain, of which `members` nodes are known, is out of reach.
    pub fn is_cut_off(&self, domain: &str, members: usize, now: Instant) -> bool {
        self.is_silent_domain(domain, members, CUT_TIME, now)
    }

    /// Whether the failure domain has been out of reach for so long that other nodes own its workspaces.
    pub fn is_taken_over(&self, domain: &str, members: usize, now: Instant) -> bool {
        self.is_silent_domain(domain, members, TAKEOVER_TIME, now)
    }

    fn is_silent_domain(&self, domain: &str, members: usize, time: Duration, now: Instant) -> bool {
        let record = self.domains.get(domain);
        record.is_some_and(|record| {
            record.lasts(time, now) && record.nodes.len() >= MIN_SILENT_NODES.min(members)
        })
    }
}
