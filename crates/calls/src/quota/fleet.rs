//! The members of the fleet as far as quotas depend on them: who owns a workspace, and the share of the
//! members that this node reaches.

use std::collections::BTreeMap;
use std::time::Duration;

use agatedeck_clock::Instant;
use agatedeck_wire::{Member, MemberStatus};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::contacts::PeerContacts;
use crate::routing::rendezvous_score;

/// Number of nodes by rank among which the owner of a workspace is chosen. If none of them answers, most
/// of the fleet is out of reach.
const RANKED_NODES: usize = 4;

/// Time for which a dead node still counts as a member: it may be alive in another part of the fleet.
const DEAD_MEMBER_TIME: Duration = Duration::from_secs(30);

/// Separates the ranks of owners from other uses of the hash.
const OWNER_RANK_SALT: u64 = 0x7175_6f74_6173;

/// A node that may own workspaces.
#[derive(Clone, Debug)]
pub(super) struct OwnerCandidate {
    pub(super) node: String,
    domain: String,
}

#[derive(Clone, Copy, Debug, Default)]
struct DomainCount {
    live: usize,
    /// Dead nodes that still count as members.
    dead: usize,
}

/// Members as of the last [`Self::set_members`].
#[derive(Debug, Default)]
pub(super) struct QuotaFleet {
    own_node: String,
    own_domain: String,
    candidates: Vec<OwnerCandidate>,
    domains: BTreeMap<String, DomainCount>,
    domain_of_node: BTreeMap<String, String>,
    died_at: BTreeMap<String, Instant>,
    /// Positions of the first candidates for each workspace, in the order of their ranks.
    ranks: BTreeMap<String, Vec<usize>>,
}

impl QuotaFleet {
    pub(super) fn new(own_node: &str, own_domain: &str) -> Self {
        Self {
            own_node: own_node.to_owned(),
            own_domain: own_domain.to_owned(),
            ..Self::default()
        }
    }

    /// Replaces the members.
    pub(super) fn set_members<'a>(
        &mut self,
        members: impl Iterator<Item = &'a Member>,
        now: Instant,
    ) {
        self.candidates.clear();
        self.ranks.clear();
        self.domains.clear();
        self.domain_of_node.clear();
        let mut dead = BTreeMap::new();
        for member in members {
            let count = self.domains.entry(member.domain.clone()).or_default();
            match member.status() {
                MemberStatus::Left => continue,
                MemberStatus::Dead => {
                    let died_at = self.died_at.get(&member.node).copied().unwrap_or(now);
                    dead.insert(member.node.clone(), died_at);
                    if !died_at.after(DEAD_MEMBER_TIME).is_past(now) {
                        count.dead += 1;
                    }
                    continue;
                }
                MemberStatus::Alive | MemberStatus::Suspect | MemberStatus::Draining => {
                    count.live += 1;
                }
            }
            self.domain_of_node
                .insert(member.node.clone(), member.domain.clone());
            if member.status() != MemberStatus::Draining {
                let (node, domain) = (member.node.clone(), member.domain.clone());
                self.candidates.push(OwnerCandidate { node, domain });
            }
        }
        self.died_at = dead;
    }

    /// Number of live members.
    pub(super) fn live_members(&self) -> usize {
        self.domain_of_node.len()
    }

    /// Failure domain of a live member.
    pub(super) fn domain_of(&self, node: &str) -> Option<&str> {
        self.domain_of_node.get(node).map(String::as_str)
    }

    /// Ranks the candidates for the ownership of each workspace.
    pub(super) fn rank_owners<'a>(&mut self, workspaces: impl Iterator<Item = &'a str>) {
        let ranks = workspaces.map(|workspace| (workspace.to_owned(), self.rank(workspace)));
        self.ranks = ranks.collect();
    }

    fn rank(&self, workspace: &str) -> Vec<usize> {
        let salt = xxh3_64_with_seed(workspace.as_bytes(), OWNER_RANK_SALT);
        let mut ranked: Vec<(u64, usize)> = Vec::with_capacity(RANKED_NODES + 1);
        for (index, candidate) in self.candidates.iter().enumerate() {
            let score = rendezvous_score(salt, &candidate.node);
            let position = ranked.partition_point(|(earlier, _)| *earlier >= score);
            if position < RANKED_NODES {
                ranked.insert(position, (score, index));
                ranked.truncate(RANKED_NODES);
            }
        }
        ranked.into_iter().map(|(_, index)| index).collect()
    }

    /// The first candidates for a workspace with a limit, in the order of their ranks.
    pub(super) fn ranked(&self, workspace: &str) -> impl Iterator<Item = &OwnerCandidate> {
        let ranks = self.ranks.get(workspace).into_iter().flatten();
        ranks.map(|index| &self.candidates[*index])
    }

    /// Whether this node is the first candidate for `workspace` of those that it does not know to be
    /// silent or out of reach.
    pub(super) fn owns(&self, workspace: &str, contacts: &PeerContacts, now: Instant) -> bool {
        let mut ranked = self.ranked(workspace);
        let owner = ranked.find(|candidate| {
            let domain = candidate.domain.as_str();
            let is_taken_over = domain != self.own_domain
                && contacts.is_taken_over(domain, self.live_in(domain), now);
            !is_taken_over && !contacts.is_silent(&candidate.node, now)
        });
        owner.is_some_and(|owner| owner.node == self.own_node)
    }

    /// The node that a holder asks for tokens of `workspace`.
    pub(super) fn owner_to_ask(
        &self,
        workspace: &str,
        contacts: &PeerContacts,
        now: Instant,
    ) -> Option<&OwnerCandidate> {
        let mut ranked = self.ranked(workspace);
        ranked.find(|candidate| {
            !contacts.is_avoided(&candidate.node)
                && !self.is_cut_off(&candidate.domain, contacts, now)
        })
    }

    fn live_in(&self, domain: &str) -> usize {
        self.domains.get(domain).map_or(1, |count| count.live)
    }

    fn is_cut_off(&self, domain: &str, contacts: &PeerContacts, now: Instant) -> bool {
        domain != self.own_domain && contacts.is_cut_off(domain, self.live_in(domain), now)
    }

    /// Share of the members in failure domains that this node reaches.
    pub(super) fn reachable_share(&self, contacts: &PeerContacts, now: Instant) -> f64 {
        let (mut reached, mut known) = (0, 0);
        for (domain, count) in &self.domains {
            known += count.live + count.dead;
            if !self.is_cut_off(domain, contacts, now) {
                reached += count.live;
            }
        }
        #[expect(clippy::cast_precision_loss, reason = "far fewer than 2^52 members")]
        let share = reached as f64 / known.max(1) as f64;
        share
    }
}
