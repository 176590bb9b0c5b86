//! Selection of the peers that a pull asks, in order.

use std::collections::{BTreeSet, VecDeque};

use agatedeck_wire::{LocalityTier, Member};
use rand::RngCore;
use rand::seq::SliceRandom;

use crate::member::MemberTable;

/// Distances in the order in which peers are asked. Nearest first, but not all in one failure domain
/// or region, which may be frozen or cut off as a whole.
const DISTANCE_ORDER: [LocalityTier; 6] = [
    LocalityTier::SameDomain,
    LocalityTier::SameRegion,
    LocalityTier::OtherRegion,
    LocalityTier::SameDomain,
    LocalityTier::SameRegion,
    LocalityTier::OtherRegion,
];

/// Selects up to six live peers of `local_member` that are asked for the versions after `version`,
/// in this order.
///
/// Among peers at the same distance those come first that answer and hold a newer version according
/// to `table`; the others follow in random order, so that the nodes of a failure domain do not all ask
/// the same peer. Peers in `silent` come last.
pub fn select_pull_peers<'a>(
    table: &'a MemberTable,
    local_member: &Member,
    version: u64,
    silent: &BTreeSet<&str>,
    rng: &mut dyn RngCore,
) -> Vec<&'a Member> {
    let peers = table
        .live()
        .filter(|member| member.node != local_member.node);
    let (silent_peers, answering): (Vec<&Member>, Vec<&Member>) =
        peers.partition(|member| silent.contains(member.node.as_str()));
    let mut selected = alternate_distances(answering, local_member, version, rng);
    if selected.len() < DISTANCE_ORDER.len() {
        selected.extend(alternate_distances(
            silent_peers,
            local_member,
            version,
            rng,
        ));
        selected.truncate(DISTANCE_ORDER.len());
    }
    selected
}

/// Takes peers at the distances of [`DISTANCE_ORDER`], and the nearest where there are none left at
/// one of them.
fn alternate_distances<'a>(
    mut peers: Vec<&'a Member>,
    local_member: &Member,
    version: u64,
    rng: &mut dyn RngCore,
) -> Vec<&'a Member> {
    peers.shuffle(rng);
    // Stable, so that the order within a distance stays random.
    peers.sort_by_key(|peer| peer.version <= version);
    let mut tiers: [VecDeque<&Member>; 3] = Default::default();
    for peer in peers {
        let tier = LocalityTier::between(&local_member.into(), &peer.into());
        tiers[tier as usize].push_back(peer);
    }
    let mut selected = Vec::with_capacity(DISTANCE_ORDER.len());
    for distance in DISTANCE_ORDER {
        let peer = tiers[distance as usize].pop_front();
        let peer = peer.or_else(|| tiers.iter_mut().find_map(VecDeque::pop_front));
        selected.extend(peer);
    }
    selected
}
