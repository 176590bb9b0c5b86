//! Dissemination policies: a tree over the live members, and polling of the store by every node as
//! the baseline.
//!
//! The tree of a failure domain is an 8-ary heap over its live members in rendezvous order: the
//! children of position `p` are at `8p + 1` to `8p + 8`. Every node computes it from its own member
//! table. If the tables of two nodes differ, a node may receive a message twice or not at all; it
//! drops duplicates, and the version exchange of the next probe repairs a miss.

use std::collections::BTreeSet;
use std::fmt::Debug;
use std::time::Duration;

use agatedeck_wire::{Member, SpreadScope};

use crate::member::MemberTable;
use crate::reader::READER_RANK_SALT;
use crate::rendezvous::{rank_candidates, rendezvous_score};

/// Number of children per node in the tree of a failure domain.
const TREE_FANOUT: usize = 8;

/// Number of relays tried for a region or a failure domain before its repair is left to the probes.
const MAX_RELAY_ATTEMPTS: usize = 4;

/// Part of the fleet that the receiver of a message must cover.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum DisseminationScope {
    /// The receiver only; nothing is forwarded.
    SelfOnly,
    /// The subtree rooted at this position in the tree of the receiver's failure domain.
    Subtree(u32),
    /// The failure domain of the receiver.
    Domain,
    /// The region of the receiver.
    Region,
    /// All regions. Only the origin has this scope, so no message states it.
    AllRegions,
}

impl DisseminationScope {
    /// Decodes the scope and position of a message.
    pub fn from_message(scope: SpreadScope, position: u32) -> Self {
        match scope {
            SpreadScope::Self_ | SpreadScope::Collect => Self::SelfOnly,
            SpreadScope::Subtree => Self::Subtree(position),
            SpreadScope::Domain => Self::Domain,
            SpreadScope::Region => Self::Region,
        }
    }

    /// Encodes this scope as the scope and position of a message. The position is 0 for a scope other
    /// than a subtree.
    pub fn to_message(self) -> (SpreadScope, u32) {
        match self {
            Self::SelfOnly | Self::AllRegions => (SpreadScope::Self_, 0),
            Self::Subtree(position) => (SpreadScope::Subtree, position),
            Self::Domain => (SpreadScope::Domain, 0),
            Self::Region => (SpreadScope::Region, 0),
        }
    }
}

/// A request to forward a payload: the salt selects the tree, the scope the part to cover.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct DisseminationRequest {
    /// Version or rumor number, which rotates the forwarding load over the nodes.
    pub salt: u64,
    /// Part of the fleet that the node must cover.
    pub scope: DisseminationScope,
}

/// One message to send: its receiver and the scope that the receiver must cover.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DisseminationHop {
    /// Name of the receiver.
    pub node: String,
    /// Control address of the receiver.
    pub address: String,
    /// Region of the receiver.
    pub region: String,
    /// Failure domain of the receiver.
    pub domain: String,
    /// Part of the fleet that the receiver must cover.
    pub scope: DisseminationScope,
    /// Number of receivers already tried for the same scope.
    pub attempt: usize,
}

/// Decides to which nodes a node forwards a message, and how often it polls the store.
pub trait DisseminationPolicy: Debug + Send + Sync {
    /// The messages by which the node `local_member` covers `request`.
    fn next_hops(
        &self,
        table: &MemberTable,
        local_member: &Member,
        request: DisseminationRequest,
    ) -> Vec<DisseminationHop>;

    /// The messages that replace one that its receiver did not acknowledge.
    fn fallback_hops(
        &self,
        table: &MemberTable,
        local_member: &Member,
        salt: u64,
        failed: &DisseminationHop,
    ) -> Vec<DisseminationHop>;

    /// Time between two polls of the store by the node `local_member` while another reader shows that
    /// the store answers it; `None` if the node is not one of the readers by rank.
    fn poll_interval(&self, table: &MemberTable, local_member: &Member) -> Option<Duration>;
}

/// Disseminates over a tree, with a few nodes per region that poll the store.
#[derive(Clone, Debug)]
pub struct TreeDissemination {
    /// Region of the platform's store.
    pub store_region: String,
    /// Number of nodes that poll in the region of the store.
    pub home_reader_count: usize,
    /// Number of nodes that poll in each other region.
    pub remote_reader_count: usize,
    /// Time between two polls of a reader in the region of the store.
    pub home_poll_interval: Duration,
    /// Time between two polls of a reader in another region.
    pub remote_poll_interval: Duration,
}

impl Default for TreeDissemination {
    fn default() -> Self {
        Self {
            store_region: String::new(),
            home_reader_count: 2,
            remote_reader_count: 1,
            home_poll_interval: Duration::from_millis(500),
            remote_poll_interval: Duration::from_secs(5),
        }
    }
}

fn hop_to(member: &Member, scope: DisseminationScope, attempt: usize) -> DisseminationHop {
    DisseminationHop {
        node: member.node.clone(),
        address: member.control_address.clone(),
        region: member.region.clone(),
        domain: member.domain.clone(),
        scope,
        attempt,
    }
}

/// The candidate at `rank`, selected in linear time without a full sort.
fn member_at_rank<'a>(
    candidates: impl Iterator<Item = &'a Member>,
    salt: u64,
    rank: usize,
) -> Option<&'a Member> {
    let mut scored: Vec<(u64, &Member)> = candidates
        .map(|member| (rendezvous_score(salt, &member.node), member))
        .collect();
    if rank >= scored.len() {
        return None;
    }
    let compare_ranks = |left: &(u64, &Member), right: &(u64, &Member)| {
        right
            .0
            .cmp(&left.0)
            .then_with(|| left.1.node.cmp(&right.1.node))
    };
    let (_, selected, _) = scored.select_nth_unstable_by(rank, compare_ranks);
    Some(selected.1)
}

/// Live members of a failure domain, ordered by their position in the tree.
fn rank_domain_members<'a>(table: &'a MemberTable, domain: &str, salt: u64) -> Vec<&'a Member> {
    let mut members: Vec<&Member> = table
        .live()
        .filter(|member| member.domain == domain)
        .collect();
    rank_candidates(salt, &mut members, |member| &member.node);
    members
}

/// Messages to the children of `position`. If a child is `local_member`, its children take its
/// place.
fn child_hops(
    tree_order: &[&Member],
    local_member: &Member,
    position: usize,
) -> Vec<DisseminationHop> {
    let mut hops = Vec::new();
    let mut unexpanded = vec![position];
    while let Some(parent) = unexpanded.pop() {
        for child in (TREE_FANOUT * parent + 1)..=(TREE_FANOUT * parent + TREE_FANOUT) {
            let Some(member) = tree_order.get(child) else {
                break;
            };
            if member.node == local_member.node {
                unexpanded.push(child);
            } else {
                let scope = DisseminationScope::Subtree(u32::try_from(child).unwrap_or(u32::MAX));
                hops.push(hop_to(member, scope, 0));
            }
        }
    }
    hops
}

impl TreeDissemination {
    fn domain_hops(table: &MemberTable, local_member: &Member, salt: u64) -> Vec<DisseminationHop> {
        let tree_order = rank_domain_members(table, &local_member.domain, salt);
        let mut hops = child_hops(&tree_order, local_member, 0);
        // A node that starts the tree in place of its root also sends the payload to the root.
        if let Some(root) = tree_order
            .first()
            .filter(|root| root.node != local_member.node)
        {
            hops.push(hop_to(root, DisseminationScope::SelfOnly, 0));
        }
        hops
    }

    fn region_hops(table: &MemberTable, local_member: &Member, salt: u64) -> Vec<DisseminationHop> {
        let region_members = table
            .live()
            .filter(|member| member.region == local_member.region);
        let domains: BTreeSet<&str> = region_members
            .map(|member| member.domain.as_str())
            .collect();
        let other_domains = domains
            .into_iter()
            .filter(|domain| *domain != local_member.domain);
        let relays = other_domains.filter_map(|domain| {
            let members = table.live().filter(|member| member.domain == domain);
            member_at_rank(members, salt, 0)
                .map(|relay| hop_to(relay, DisseminationScope::Domain, 0))
        });
        relays
            .chain(Self::domain_hops(table, local_member, salt))
            .collect()
    }

    fn fleet_hops(table: &MemberTable, local_member: &Member, salt: u64) -> Vec<DisseminationHop> {
        let regions: BTreeSet<&str> = table.live().map(|member| member.region.as_str()).collect();
        let other_regions = regions
            .into_iter()
            .filter(|region| *region != local_member.region);
        let relays = other_regions.filter_map(|region| {
            let members = table.live().filter(|member| member.region == region);
            member_at_rank(members, salt, 0)
                .map(|relay| hop_to(relay, DisseminationScope::Region, 0))
        });
        relays
            .chain(Self::region_hops(table, local_member, salt))
            .collect()
    }

    fn is_store_reader(&self, table: &MemberTable, local_member: &Member) -> bool {
        let reader_count = if local_member.region == self.store_region {
            self.home_reader_count
        } else {
            self.remote_reader_count
        };
        let local_score = rendezvous_score(READER_RANK_SALT, &local_member.node);
        let higher_ranked = table.live().filter(|member| {
            member.region == local_member.region
                && member.node != local_member.node
                && rendezvous_score(READER_RANK_SALT, &member.node) > local_score
        });
        higher_ranked.take(reader_count).count() < reader_count
    }
}

impl DisseminationPolicy for TreeDissemination {
    fn next_hops(
        &self,
        table: &MemberTable,
        local_member: &Member,
        request: DisseminationRequest,
    ) -> Vec<DisseminationHop> {
        let salt = request.salt;
        match request.scope {
            DisseminationScope::SelfOnly => Vec::new(),
            DisseminationScope::Subtree(position) => {
                let tree_order = rank_domain_members(table, &local_member.domain, salt);
                child_hops(&tree_order, local_member, position as usize)
            }
            DisseminationScope::Domain => Self::domain_hops(table, local_member, salt),
            DisseminationScope::Region => Self::region_hops(table, local_member, salt),
            DisseminationScope::AllRegions => Self::fleet_hops(table, local_member, salt),
        }
    }

    fn fallback_hops(
        &self,
        table: &MemberTable,
        local_member: &Member,
        salt: u64,
        failed: &DisseminationHop,
    ) -> Vec<DisseminationHop> {
        let attempt = failed.attempt + 1;
        match failed.scope {
            DisseminationScope::SelfOnly | DisseminationScope::AllRegions => Vec::new(),
            DisseminationScope::Subtree(position) => {
                let tree_order = rank_domain_members(table, &local_member.domain, salt);
                child_hops(&tree_order, local_member, position as usize)
            }
            DisseminationScope::Domain | DisseminationScope::Region
                if attempt >= MAX_RELAY_ATTEMPTS =>
            {
                Vec::new()
            }
            DisseminationScope::Domain | DisseminationScope::Region => {
                let whole_region = failed.scope == DisseminationScope::Region;
                let members = table.live().filter(|member| {
                    if whole_region {
                        member.region == failed.region
                    } else {
                        member.domain == failed.domain
                    }
                });
                let candidate = member_at_rank(members, salt, attempt);
                candidate
                    .map(|candidate| hop_to(candidate, failed.scope, attempt))
                    .into_iter()
                    .collect()
            }
        }
    }

    fn poll_interval(&self, table: &MemberTable, local_member: &Member) -> Option<Duration> {
        let is_home = local_member.region == self.store_region;
        let interval = if is_home {
            self.home_poll_interval
        } else {
            self.remote_poll_interval
        };
        self.is_store_reader(table, local_member)
            .then_some(interval)
    }
}

/// Every node polls the store and forwards nothing. The baseline for measurements.
#[derive(Clone, Debug)]
pub struct StorePolling {
    /// Time between two polls.
    pub poll_interval: Duration,
}

impl Default for StorePolling {
    fn default() -> Self {
        Self {
            poll_interval: Duration::from_millis(500),
        }
    }
}

impl DisseminationPolicy for StorePolling {
    fn next_hops(
        &self,
        _: &MemberTable,
        _: &Member,
        _: DisseminationRequest,
    ) -> Vec<DisseminationHop> {
        Vec::new()
    }

    fn fallback_hops(
        &self,
        _: &MemberTable,
        _: &Member,
        _: u64,
        _: &DisseminationHop,
    ) -> Vec<DisseminationHop> {
        Vec::new()
    }

    fn poll_interval(&self, _: &MemberTable, _: &Member) -> Option<Duration> {
        Some(self.poll_interval)
    }
}
