//! Spreading policies: the tree, and polling of the store by every node as the baseline.
//!
//! The tree of a failure domain is a heap over its live members in rendezvous order: the children
//! of position `p` stand at `8p + 1` to `8p + 8`. Every node computes it from its own member table.
//! Where the tables of two nodes differ, a node may be missed or reached twice; it drops the
//! duplicate and the next probe repairs the miss.

use std::collections::BTreeSet;
use std::fmt::Debug;
use std::time::Duration;

use agatedeck_wire::{Member, SpreadScope};

use crate::member::MemberTable;
use crate::rendezvous::{rank_candidates, rendezvous_score};

/// Number of children of a node in the tree of its failure domain.
const FANOUT: usize = 8;

/// Number of nodes tried for a region or a failure domain before it is left to the probes.
const MAX_HEADS: usize = 4;

/// Part of the fleet that a node must cover.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum SpreadReach {
    /// The node only.
    Oneself,
    /// The subtree at this position in the failure domain of the node.
    Subtree(u32),
    /// The failure domain of the node.
    Domain,
    /// The region of the node.
    Region,
    /// All regions. Only the origin has this reach, so it is never sent.
    Everywhere,
}

impl SpreadReach {
    /// The reach that a message states.
    pub fn from_message(scope: SpreadScope, position: u32) -> Self {
        match scope {
            SpreadScope::Self_ => Self::Oneself,
            SpreadScope::Subtree => Self::Subtree(position),
            SpreadScope::Domain => Self::Domain,
            SpreadScope::Region => Self::Region,
        }
    }

    /// The scope and position that state this reach in a message.
    pub fn to_message(self) -> (SpreadScope, u32) {
        match self {
            Self::Oneself | Self::Everywhere => (SpreadScope::Self_, 0),
            Self::Subtree(position) => (SpreadScope::Subtree, position),
            Self::Domain => (SpreadScope::Domain, 0),
            Self::Region => (SpreadScope::Region, 0),
        }
    }
}

/// What must be passed on: the salt selects the tree, the reach what to cover.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct SpreadOrder {
    /// Version or rumour number; moves the work from node to node.
    pub salt: u64,
    /// What the node must cover.
    pub reach: SpreadReach,
}

/// One message to send.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SpreadDelivery {
    /// Name of the receiver.
    pub node: String,
    /// Control address of the receiver.
    pub address: String,
    /// Region of the receiver.
    pub region: String,
    /// Failure domain of the receiver.
    pub domain: String,
    /// What the receiver must cover.
    pub reach: SpreadReach,
    /// Number of receivers that were tried before for the same reach.
    pub attempt: usize,
}

/// Decides to whom a node passes on what it received, and how often it polls the store.
pub trait SpreadPolicy: Debug + Send + Sync {
    /// The messages that cover `order` from the node `own`.
    fn deliveries(
        &self,
        table: &MemberTable,
        own: &Member,
        order: SpreadOrder,
    ) -> Vec<SpreadDelivery>;

    /// The messages to send in place of one that its receiver did not acknowledge.
    fn replacements(
        &self,
        table: &MemberTable,
        own: &Member,
        salt: u64,
        failed: &SpreadDelivery,
    ) -> Vec<SpreadDelivery>;

    /// Time between two polls of the store by the node `own`; `None` if it does not poll.
    fn poll_interval(&self, table: &MemberTable, own: &Member) -> Option<Duration>;
}

/// Spreads over a tree and lets a few nodes poll the store.
#[derive(Clone, Debug)]
pub struct TreeSpread {
    /// Region in which the platform's store stands.
    pub store_region: String,
    /// Nodes that poll in the region of the store.
    pub home_readers: usize,
    /// Nodes that poll in each other region.
    pub remote_readers: usize,
    /// Time between two polls of a reader in the region of the store.
    pub home_poll_interval: Duration,
    /// Time between two polls of a reader in another region.
    pub remote_poll_interval: Duration,
}

impl Default for TreeSpread {
    fn default() -> Self {
        Self {
            store_region: String::new(),
            home_readers: 2,
            remote_readers: 1,
            home_poll_interval: Duration::from_millis(500),
            remote_poll_interval: Duration::from_secs(5),
        }
    }
}

/// Salt of the ranks that select the readers of the store.
const READER_SALT: u64 = 0x7265_6164;

fn delivery(member: &Member, reach: SpreadReach, attempt: usize) -> SpreadDelivery {
    SpreadDelivery {
        node: member.node.clone(),
        address: member.control_address.clone(),
        region: member.region.clone(),
        domain: member.domain.clone(),
        reach,
        attempt,
    }
}

/// The candidate of rank `rank`, found without sorting the rest.
fn ranked<'a>(
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
    let order = |left: &(u64, &Member), right: &(u64, &Member)| {
        right
            .0
            .cmp(&left.0)
            .then_with(|| left.1.node.cmp(&right.1.node))
    };
    let (_, found, _) = scored.select_nth_unstable_by(rank, order);
    Some(found.1)
}

/// Live members of a failure domain in the order of the tree.
fn domain_order<'a>(table: &'a MemberTable, domain: &str, salt: u64) -> Vec<&'a Member> {
    let mut order: Vec<&Member> = table
        .live()
        .filter(|member| member.domain == domain)
        .collect();
    rank_candidates(salt, &mut order, |member| &member.node);
    order
}

/// Deliveries to the children of `position`. A child that is `own` is replaced by its children.
fn children(order: &[&Member], own: &Member, position: usize) -> Vec<SpreadDelivery> {
    let mut deliveries = Vec::new();
    let mut open = vec![position];
    while let Some(parent) = open.pop() {
        for child in (FANOUT * parent + 1)..=(FANOUT * parent + FANOUT) {
            let Some(member) = order.get(child) else {
                break;
            };
            if member.node == own.node {
                open.push(child);
            } else {
                let reach = SpreadReach::Subtree(u32::try_from(child).unwrap_or(u32::MAX));
                deliveries.push(delivery(member, reach, 0));
            }
        }
    }
    deliveries
}

impl TreeSpread {
    fn cover_domain(table: &MemberTable, own: &Member, salt: u64) -> Vec<SpreadDelivery> {
        let order = domain_order(table, &own.domain, salt);
        let mut deliveries = children(&order, own, 0);
        // A head other than the first in the order stands in for it and hands it the version.
        if let Some(first) = order.first().filter(|first| first.node != own.node) {
            deliveries.push(delivery(first, SpreadReach::Oneself, 0));
        }
        deliveries
    }

    fn cover_region(table: &MemberTable, own: &Member, salt: u64) -> Vec<SpreadDelivery> {
        let region = table.live().filter(|member| member.region == own.region);
        let domains: BTreeSet<&str> = region.map(|member| member.domain.as_str()).collect();
        let others = domains.into_iter().filter(|domain| *domain != own.domain);
        let heads = others.filter_map(|domain| {
            let members = table.live().filter(|member| member.domain == domain);
            ranked(members, salt, 0).map(|head| delivery(head, SpreadReach::Domain, 0))
        });
        heads.chain(Self::cover_domain(table, own, salt)).collect()
    }

    fn cover_everywhere(table: &MemberTable, own: &Member, salt: u64) -> Vec<SpreadDelivery> {
        let regions: BTreeSet<&str> = table.live().map(|member| member.region.as_str()).collect();
        let others = regions.into_iter().filter(|region| *region != own.region);
        let relays = others.filter_map(|region| {
            let members = table.live().filter(|member| member.region == region);
            ranked(members, salt, 0).map(|relay| delivery(relay, SpreadReach::Region, 0))
        });
        relays.chain(Self::cover_region(table, own, salt)).collect()
    }

    fn is_reader(&self, table: &MemberTable, own: &Member) -> bool {
        let count = if own.region == self.store_region {
            self.home_readers
        } else {
            self.remote_readers
        };
        let own_score = rendezvous_score(READER_SALT, &own.node);
        let ahead = table.live().filter(|member| {
            member.region == own.region
                && member.node != own.node
                && rendezvous_score(READER_SALT, &member.node) > own_score
        });
        ahead.take(count).count() < count
    }
}

impl SpreadPolicy for TreeSpread {
    fn deliveries(
        &self,
        table: &MemberTable,
        own: &Member,
        order: SpreadOrder,
    ) -> Vec<SpreadDelivery> {
        let salt = order.salt;
        match order.reach {
            SpreadReach::Oneself => Vec::new(),
            SpreadReach::Subtree(position) => {
                let order = domain_order(table, &own.domain, salt);
                children(&order, own, position as usize)
            }
            SpreadReach::Domain => Self::cover_domain(table, own, salt),
            SpreadReach::Region => Self::cover_region(table, own, salt),
            SpreadReach::Everywhere => Self::cover_everywhere(table, own, salt),
        }
    }

    fn replacements(
        &self,
        table: &MemberTable,
        own: &Member,
        salt: u64,
        failed: &SpreadDelivery,
    ) -> Vec<SpreadDelivery> {
        let attempt = failed.attempt + 1;
        match failed.reach {
            SpreadReach::Oneself | SpreadReach::Everywhere => Vec::new(),
            SpreadReach::Subtree(position) => {
                let order = domain_order(table, &own.domain, salt);
                children(&order, own, position as usize)
            }
            SpreadReach::Domain | SpreadReach::Region if attempt >= MAX_HEADS => Vec::new(),
            SpreadReach::Domain | SpreadReach::Region => {
                let whole_region = failed.reach == SpreadReach::Region;
                let members = table.live().filter(|member| {
                    if whole_region {
                        member.region == failed.region
                    } else {
                        member.domain == failed.domain
                    }
                });
                let next = ranked(members, salt, attempt);
                next.map(|next| delivery(next, failed.reach, attempt))
                    .into_iter()
                    .collect()
            }
        }
    }

    fn poll_interval(&self, table: &MemberTable, own: &Member) -> Option<Duration> {
        let home = own.region == self.store_region;
        let interval = if home {
            self.home_poll_interval
        } else {
            self.remote_poll_interval
        };
        self.is_reader(table, own).then_some(interval)
    }
}

/// Every node polls the store and passes nothing on. The baseline for measurements.
#[derive(Clone, Debug)]
pub struct PollSpread {
    /// Time between two polls.
    pub poll_interval: Duration,
}

impl Default for PollSpread {
    fn default() -> Self {
        Self {
            poll_interval: Duration::from_millis(500),
        }
    }
}

impl SpreadPolicy for PollSpread {
    fn deliveries(&self, _: &MemberTable, _: &Member, _: SpreadOrder) -> Vec<SpreadDelivery> {
        Vec::new()
    }

    fn replacements(
        &self,
        _: &MemberTable,
        _: &Member,
        _: u64,
        _: &SpreadDelivery,
    ) -> Vec<SpreadDelivery> {
        Vec::new()
    }

    fn poll_interval(&self, _: &MemberTable, _: &Member) -> Option<Duration> {
        Some(self.poll_interval)
    }
}
