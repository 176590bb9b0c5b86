//! Subsetting: chooses the targets of a service that a caller's node connects to.
//!
//! Every node computes the subsets of all callers from its own membership view, without
//! coordination: each caller ranks the targets by rendezvous hash, and in each round every caller
//! takes its highest-ranked target that still accepts a connection. Rendezvous hashing alone bounds
//! the connections of a target only on average. The rounds bound them exactly where views agree,
//! and leave no caller without a target while connections suffice. The cost is one hash for each
//! pair of caller and target; it is paid when the view changes, not for each call.

use std::cmp::Reverse;

use agatedeck_wire::{LocalityTier, NodeLocality};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Bounds on the connections between nodes and targets.
#[derive(Clone, Copy, Debug)]
pub struct SubsetSettings {
    /// Size of a subset: targets of one service that one node connects to.
    pub targets_per_node: usize,
    /// Upper bound on the connections of one target.
    pub connections_per_target: usize,
}

impl Default for SubsetSettings {
    fn default() -> Self {
        Self {
            // Half of them are in the caller's failure domain. Larger subsets improve the balance
            // of two random choices only slightly.
            targets_per_node: 12,
            connections_per_target: 130,
        }
    }
}

/// Rendezvous hash of a target for the caller whose name hashes to `caller_hash`.
pub(crate) fn rendezvous_score(caller_hash: u64, target: &str) -> u64 {
    xxh3_64_with_seed(target.as_bytes(), caller_hash)
}

/// Order in which `caller` takes targets: half of the subset from its failure domain, a quarter
/// from its region and a quarter from other regions, so that connections remain after the loss of a
/// domain or region; then all others, nearest first.
fn preference_order(
    caller: &NodeLocality<'_>,
    targets: &[NodeLocality<'_>],
    size: usize,
) -> Vec<usize> {
    let caller_hash = xxh3_64(caller.node.as_bytes());
    let mut ranked: Vec<_> = targets
        .iter()
        .enumerate()
        .map(|(index, target)| {
            let tier = LocalityTier::between(caller, target);
            (
                tier,
                Reverse(rendezvous_score(caller_hash, target.node)),
                index,
            )
        })
        .collect();
    ranked.sort_unstable();
    let mut taken_by_tier = [0, 0, 0];
    let quota_by_tier = [size.div_ceil(2), size.div_ceil(4), size.div_ceil(4)];
    let (mut order, mut rest) = (Vec::with_capacity(targets.len()), Vec::new());
    for (tier, _, index) in ranked {
        let tier = tier as usize;
        if taken_by_tier[tier] < quota_by_tier[tier] {
            taken_by_tier[tier] += 1;
            order.push(index);
        } else {
            rest.push(index);
        }
    }
    order.extend(rest);
    order
}

/// Returns the indices of the targets that the node at `local` connects to.
///
/// `callers` are all nodes that call the service; `local` is added if it is not among them.
/// `targets` are those that accept new calls.
pub fn choose_subset(
    local: &NodeLocality<'_>,
    callers: &[NodeLocality<'_>],
    targets: &[NodeLocality<'_>],
    settings: &SubsetSettings,
) -> Vec<usize> {
    let size = settings.targets_per_node.min(targets.len());
    let others = callers.iter().filter(|caller| caller.node != local.node);
    if others.clone().count() < settings.connections_per_target {
        let mut order = preference_order(local, targets, size);
        order.truncate(size);
        return order;
    }
    let mut all_callers: Vec<&NodeLocality<'_>> = others.chain([local]).collect();
    all_callers.sort_by_cached_key(|caller| (xxh3_64(caller.node.as_bytes()), caller.node));
    let local_index = all_callers
        .iter()
        .position(|caller| caller.node == local.node);
    let mut orders: Vec<_> = all_callers
        .iter()
        .map(|caller| preference_order(caller, targets, size).into_iter())
        .collect();
    let mut connections = vec![0; targets.len()];
    let mut chosen = Vec::with_capacity(size);
    for _ in 0..size {
        for (caller, order) in orders.iter_mut().enumerate() {
            let available =
                order.find(|&target| connections[target] < settings.connections_per_target);
            let Some(target) = available else { continue };
            connections[target] += 1;
            if Some(caller) == local_index {
                chosen.push(target);
            }
        }
    }
    chosen
}
