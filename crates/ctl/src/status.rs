//! Summary of the active versions of the nodes of the mesh.

use std::collections::BTreeMap;

use agatedeck_wire::NodeReport;
use derive_more::Display;
use serde::Serialize;

use crate::responses::StatusResponse;

/// Number of nodes of a failure domain with the same active version.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct DomainVersionCount<'a> {
    /// Region of the failure domain.
    pub region: &'a str,
    /// Name of the failure domain.
    pub domain: &'a str,
    /// Active version of the nodes.
    pub version: u64,
    /// Number of nodes.
    #[serde(rename = "nodes")]
    pub node_count: usize,
}

/// Node on which the expected version is not active, or that states a reason such as being
/// unreachable.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize)]
#[display(
    "{node} in {domain}, {region}: version {version}, {phase}{}{}",
    reason_separator(reason),
    reason
)]
pub struct LaggingNode<'a> {
    /// Name of the node.
    pub node: &'a str,
    /// Failure domain of the node.
    pub domain: &'a str,
    /// Region of the node.
    pub region: &'a str,
    /// Active version of the node.
    pub version: u64,
    /// Phase that the node reports.
    pub phase: &'a str,
    /// Reason for the lag; empty if the node states none.
    pub reason: &'a str,
}

fn reason_separator(reason: &str) -> &'static str {
    if reason.is_empty() { "" } else { ": " }
}

/// Active versions of the nodes, compared with an expected version.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct StatusSummary<'a> {
    /// Version that should be active on all nodes.
    #[serde(rename = "wanted")]
    pub expected_version: u64,
    /// Number of nodes.
    #[serde(rename = "nodes")]
    pub node_count: usize,
    /// Number of nodes per version, sorted by region, failure domain and version.
    pub by_domain: Vec<DomainVersionCount<'a>>,
    /// Lagging nodes, sorted by region, failure domain and name.
    #[serde(rename = "laggards")]
    pub lagging_nodes: Vec<LaggingNode<'a>>,
}

impl<'a> StatusSummary<'a> {
    /// Compares all nodes with the newest active version of any of them. A node that states a reason
    /// is lagging regardless of its version, because it may be unreachable.
    pub fn compare_to_newest(response: &'a StatusResponse) -> Self {
        let newest_version = response.nodes.iter().map(|report| report.version).max();
        let expected_version = newest_version.unwrap_or_default().max(response.version);
        Self::new(response, expected_version, |report| {
            report.version < expected_version || !report.reason.is_empty()
        })
    }

    /// Compares all nodes with `expected_version`. A node that reports this version or a later one
    /// is not lagging even if it states a reason, such as the refusal of a later version, because
    /// the active version never decreases.
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

    /// Whether the expected version is active on every node; false if there are no nodes.
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
