//! Selection of the delegates that exchange membership between domains and between regions.
//!
//! For each ordered pair of domains of a region, and of regions, the live node that ranks first by
//! rendezvous hashing is the delegate. Cost per period for the fleet: one probe per pair of domains
//! within a region and one per pair of regions, regardless of the number of nodes. An inconsistent
//! view yields at worst two delegates or, until the failure detector corrects it, none.

use std::collections::BTreeSet;

use agatedeck_wire::{Member, MemberStatus};

use super::table::MemberTable;
use crate::rendezvous::rendezvous_score;

/// Group of nodes with which a delegate exchanges membership.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum PeerGroup<'a> {
    /// Another failure domain of the local region.
    Domain(&'a str),
    /// Another region.
    Region(&'a str),
}

impl PeerGroup<'_> {
    /// Returns whether `member` belongs to the group.
    pub(crate) fn contains(self, member: &Member) -> bool {
        match self {
            Self::Domain(domain) => member.domain == domain,
            Self::Region(region) => member.region == region,
        }
    }
}

/// Returns the groups for which `local_member` is the delegate. Groups whose members have all left
/// are omitted.
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
    // The rank is salted with the group's name to balance the work within the domain or region.
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
