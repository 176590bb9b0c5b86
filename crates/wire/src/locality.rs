//! Where a node runs, and how far apart two nodes are.

use crate::generated::Member;

/// Name and locality of a node.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NodeLocality<'a> {
    /// Name of the node.
    pub node: &'a str,
    /// Failure domain of the node.
    pub domain: &'a str,
    /// Region of the node.
    pub region: &'a str,
}

impl<'a> From<&'a Member> for NodeLocality<'a> {
    fn from(member: &'a Member) -> Self {
        Self {
            node: &member.node,
            domain: &member.domain,
            region: &member.region,
        }
    }
}

/// Distance between two nodes, nearest first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum LocalityTier {
    /// Both in one failure domain.
    SameDomain,
    /// In two failure domains of one region.
    SameRegion,
    /// In two regions.
    OtherRegion,
}

impl LocalityTier {
    /// Distance between `left` and `right`.
    pub fn between(left: &NodeLocality<'_>, right: &NodeLocality<'_>) -> Self {
        if left.region != right.region {
            Self::OtherRegion
        } else if left.domain == right.domain {
            Self::SameDomain
        } else {
            Self::SameRegion
        }
    }
}
