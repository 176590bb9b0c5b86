//! Which node of a domain compares membership with which other domain.
//!
//! For each ordered pair of domains of a region, and of regions, the first-ranked live node is the
//! delegate. Cost per period for the fleet: one probe for each pair of domains within a region and
//! one for each pair of regions, whatever the number of nodes. A wrong view at worst yields two
//! delegates or, until the detector corrects it, none.

use std::collections::BTreeSet;

use agatedeck_wire::{Member, MemberStatus};

use super::table::MemberTable;
use crate::rendezvous::rendezvous_score;

/// A group of nodes whose membership is compared with that of the own group.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum PeerGroup<'a> {
    /// Another failure domain of the own region.
    Domain(&'a str),
    /// Another region.
    Region(&'a str),
}

impl PeerGroup<'_> {
    /// Whether `member` belongs to the group.
    pub(crate) fn contains(self, member: &Member) -> bool {
        match self {
            Self::Domain(domain) => member.domain == domain,
            Self::Region(region) => member.region == region,
        }
    }
}

/// The groups for which `own` is the delegate. Groups in which no node is left are not listed.
pub(crate) fn delegated_groups<'a>(
    table: &'a MemberTable,
    local_member: &Member,
) -> BTreeSet<PeerGroup<'a>> {
    let mut groups = BTreeSet::new();
    for member in table.members() {
        if member.status() == MemberStatus::Left {
            continue;
        }
        if member.region != local_member.region {
            groups.insert(PeerGroup::Region(&member.region));
        } else if member.domain != local_member.domain {
            groups.insert(PeerGroup::Domain(&member.domain));
        }
    }
    groups.retain(|group| is_delegate(table, local_member, *group));
    groups
}

fn is_delegate(table: &MemberTable, local_member: &Member, group: PeerGroup<'_>) -> bool {
    // The group's name salts the rank, so that the work is shared within the domain or region.
    let (salt, same_domain_only) = match group {
        PeerGroup::Domain(domain) => (rendezvous_score(0, domain), true),
        PeerGroup::Region(region) => (rendezvous_score(1, region), false),
    };
    let candidates = table.live().filter(|member| {
        member.region == local_member.region
            && (!same_domain_only || member.domain == local_member.domain)
    });
    let delegate = candidates
        .map(|member| member.node.as_str())
        .max_by_key(|node| (rendezvous_score(salt, node), std::cmp::Reverse(*node)));
    delegate == Some(local_member.node.as_str())
}
