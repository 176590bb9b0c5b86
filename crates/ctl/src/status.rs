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
    #[serde(rename = "nodes")]
    pub node_count: usize,
}

/// A node that does not hold the wanted version, or that cannot be asked.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize)]
#[display(
    "{node} in {domain}, {region}: version {version}, {phase}{}{}",
    reason_separator(reason),
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

fn reason_separator(reason: &str) -> &'static str {
    if reason.is_empty() { "" } else { ": " }
}

/// Which versions the nodes hold.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct StatusSummary<'a> {
    /// The version that all nodes should hold.
    #[serde(rename = "wanted")]
    pub expected_version: u64,
    /// Number of nodes.
    #[serde(rename = "nodes")]
    pub node_count: usize,
    /// Nodes at each version, sorted by region, failure domain and version.
    pub by_domain: Vec<DomainVersionCount<'a>>,
    /// Nodes that lag, sorted by region, failure domain and name.
    #[serde(rename = "laggards")]
    pub lagging_nodes: Vec<LaggingNode<'a>>,
}

impl<'a> StatusSummary<'a> {
    /// Compares all nodes with the newest version that any of them holds. A node that states a
    /// reason is a laggard whatever its version, because it may be out of reach.
    pub fn compare_to_newest(response: &'a StatusResponse) -> Self {
        let newest_version = response.nodes.iter().map(|report| report.version).max();
        let expected_version = newest_version.unwrap_or_default().max(response.version);
        Self::new(response, expected_version, |report| {
            report.version < expected_version || !report.reason.is_empty()
        })
    }

    /// Compares all nodes with version `wanted`. A node that reported this version or a later one
    /// has it in force even if it is out of reach now, because no node moves back.
    pub fn compare_to_version(response: &'a StatusResponse, expected_version: u64) -> Self {
        Self::new(response, expected_version, |report| {
            report.version < expected_version
        })
    }

    fn new(
        response: &'a StatusResponse,
        expected_version: u64,
        is_lagging: impl Fn(&NodeReport) -> bool,
    ) -> Self {
        let mut node_counts: BTreeMap<(&str, &str, u64), usize> = BTreeMap::new();
        for report in &response.nodes {
            *node_counts
                .entry((&report.region, &report.domain, report.version))
                .or_default() += 1;
        }
        let by_domain = node_counts
            .into_iter()
            .map(
                |((region, domain, version), node_count)| DomainVersionCount {
                    region,
                    domain,
                    version,
                    node_count,
                },
            );
        let lagging_reports = response.nodes.iter().filter(|report| is_lagging(report));
        let mut lagging_nodes: Vec<LaggingNode<'_>> = lagging_reports.map(lagging_node).collect();
        lagging_nodes.sort_by_key(|node| (node.region, node.domain, node.node));
        Self {
            expected_version,
            node_count: response.nodes.len(),
            by_domain: by_domain.collect(),
            lagging_nodes,
        }
    }

    /// Whether every node holds the wanted version. A status without nodes proves nothing.
    pub fn is_active_everywhere(&self) -> bool {
        self.node_count > 0 && self.lagging_nodes.is_empty()
    }
}

fn lagging_node(report: &NodeReport) -> LaggingNode<'_> {
    LaggingNode {
        node: &report.node,
        domain: &report.domain,
        region: &report.region,
        version: report.version,
        phase: &report.phase,
        reason: &report.reason,
    }
}
