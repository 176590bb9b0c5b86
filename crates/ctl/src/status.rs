//! Sums up the state of the mesh.

use std::collections::BTreeMap;

use agatedeck_wire::NodeReport;
use derive_more::Display;
use serde::Serialize;

use crate::responses::StatusResponse;

/// Number of nodes of a failure domain that hold one version.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct DomainVersionCount<'a> {
    /// Region of the failure domain.
    pub region: &'a str,
    /// The failure domain.
    pub domain: &'a str,
    /// The version.
    pub version: u64,
    /// Number of nodes.
    pub nodes: usize,
}

/// A node that does not hold the wanted version, or that cannot be asked.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize)]
#[display(
    "{node} in {domain}, {region}: version {version}, {phase}{}{}",
    separator(reason),
    reason
)]
pub struct LaggingNode<'a> {
    /// Name of the node.
    pub node: &'a str,
    /// Its failure domain.
    pub domain: &'a str,
    /// Its region.
    pub region: &'a str,
    /// Version that it has in force.
    pub version: u64,
    /// What it is doing.
    pub phase: &'a str,
    /// Why it lags; empty if it does not say.
    pub reason: &'a str,
}

fn separator(reason: &str) -> &'static str {
    if reason.is_empty() { "" } else { ": " }
}

/// Which versions the nodes hold.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct StatusSummary<'a> {
    /// The version that all nodes should hold.
    pub wanted: u64,
    /// Number of nodes.
    pub nodes: usize,
    /// Nodes at each version, sorted by region, failure domain and version.
    pub by_domain: Vec<DomainVersionCount<'a>>,
    /// Nodes that lag, sorted by region, failure domain and name.
    pub laggards: Vec<LaggingNode<'a>>,
}

impl<'a> StatusSummary<'a> {
    /// Compares all nodes with the newest version that any of them holds. A node that states a
    /// reason is a laggard whatever its version, because it may be out of reach.
    pub fn newest(answer: &'a StatusResponse) -> Self {
        let held = answer.nodes.iter().map(|report| report.version).max();
        let wanted = held.unwrap_or_default().max(answer.version);
        Self::new(answer, wanted, |report| {
            report.version < wanted || !report.reason.is_empty()
        })
    }

    /// Compares all nodes with version `wanted`. A node that reported this version or a later one
    /// has it in force even if it is out of reach now, because no node moves back.
    pub fn of_version(answer: &'a StatusResponse, wanted: u64) -> Self {
        Self::new(answer, wanted, |report| report.version < wanted)
    }

    fn new(answer: &'a StatusResponse, wanted: u64, lags: impl Fn(&NodeReport) -> bool) -> Self {
        let mut counts: BTreeMap<(&str, &str, u64), usize> = BTreeMap::new();
        for report in &answer.nodes {
            *counts
                .entry((&report.region, &report.domain, report.version))
                .or_default() += 1;
        }
        let by_domain = counts
            .into_iter()
            .map(|((region, domain, version), nodes)| DomainVersionCount {
                region,
                domain,
                version,
                nodes,
            });
        let lagging = answer.nodes.iter().filter(|report| lags(report));
        let mut laggards: Vec<LaggingNode<'_>> = lagging.map(laggard).collect();
        laggards.sort_by_key(|laggard| (laggard.region, laggard.domain, laggard.node));
        Self {
            wanted,
            nodes: answer.nodes.len(),
            by_domain: by_domain.collect(),
            laggards,
        }
    }

    /// Whether every node holds the wanted version. A status without nodes proves nothing.
    pub fn in_force_everywhere(&self) -> bool {
        self.nodes > 0 && self.laggards.is_empty()
    }
}

fn laggard(report: &NodeReport) -> LaggingNode<'_> {
    LaggingNode {
        node: &report.node,
        domain: &report.domain,
        region: &report.region,
        version: report.version,
        phase: &report.phase,
        reason: &report.reason,
    }
}
