//! Which nodes a version reaches over the tree, at what depth, and over how many regions.
//!
//! `AGATEDECK_PROPTEST_CASES` and `AGATEDECK_PROPTEST_SEED` set the number of cases and the seed for
//! long runs.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use agatedeck_clock::Instant;
use agatedeck_control::{
    DisseminationHop, DisseminationPolicy, DisseminationRequest, DisseminationScope, MemberTable,
    TreeDissemination, score,
};
use agatedeck_wire::Member;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

/// Nodes tried for a domain or region; after that, the design leaves it to the probes.
const HEADS_TRIED: usize = 4;

#[derive(Debug, Default)]
struct Outcome {
    /// Number of times that each node was reached.
    reached: BTreeMap<String, usize>,
    /// Number of messages that each node sent.
    sent: BTreeMap<String, usize>,
    cross_region: usize,
    depth: usize,
}

/// Nodes by region, domain and number.
fn fleet(shape: &[Vec<usize>]) -> Vec<Member> {
    let mut members = Vec::new();
    for (region, domains) in shape.iter().enumerate() {
        for (domain, size) in domains.iter().enumerate() {
            for node in 0..*size {
                members.push(Member {
                    node: format!("n{region}-{domain}-{node}"),
                    region: format!("r{region}"),
                    domain: format!("r{region}-d{domain}"),
                    incarnation: 1,
                    ..Member::default()
                });
            }
        }
    }
    members
}

fn table<'a>(members: impl IntoIterator<Item = &'a Member>) -> MemberTable {
    let mut table = MemberTable::default();
    for member in members {
        table.merge(member, Instant::default());
    }
    table
}

/// Spreads from `origin`, with each node deciding by its own table. Messages to `dead` nodes fail.
fn spread<'a>(
    members: &[Member],
    view: impl Fn(&str) -> &'a MemberTable,
    dead: &BTreeSet<&str>,
    origin: &Member,
    salt: u64,
) -> Outcome {
    let policy = TreeDissemination::default();
    let find = |name: &str| members.iter().find(|member| member.node == name).unwrap();
    let mut outcome = Outcome::default();
    let mut seen = BTreeSet::new();
    let mut open: VecDeque<(&Member, DisseminationHop, usize)> = VecDeque::new();
    let everywhere = DisseminationRequest {
        salt,
        scope: DisseminationScope::AllRegions,
    };
    for delivery in policy.next_hops(view(&origin.node), origin, everywhere) {
        open.push_back((origin, delivery, 1));
    }
    while let Some((sender, delivery, depth)) = open.pop_front() {
        *outcome.sent.entry(sender.node.clone()).or_default() += 1;
        if dead.contains(delivery.node.as_str()) {
            for next in policy.fallback_hops(view(&sender.node), sender, salt, &delivery) {
                open.push_back((sender, next, depth));
            }
            continue;
        }
        let receiver = find(&delivery.node);
        outcome.cross_region += usize::from(sender.region != receiver.region);
        outcome.depth = outcome.depth.max(depth);
        *outcome.reached.entry(receiver.node.clone()).or_default() += 1;
        let scope = delivery.scope;
        if seen.insert((receiver.node.clone(), scope)) {
            let order = DisseminationRequest { salt, scope };
            for next in policy.next_hops(view(&receiver.node), receiver, order) {
                open.push_back((receiver, next, depth + 1));
            }
        }
    }
    outcome
}

/// Levels below the root of a tree with eight children to a node.
fn levels(nodes: usize) -> usize {
    let (mut levels, mut width, mut held) = (0, 1, 1);
    while held < nodes {
        width *= 8;
        held += width;
        levels += 1;
    }
    levels
}

/// Probes that `one` sends in a period: one to the next node of its domain that it lists and, if it
/// ranks first there, one to a node of each other domain.
fn probes<'a>(one: &'a Member, view: &'a MemberTable, period: usize) -> Vec<[&'a str; 2]> {
    let salt = 7;
    let pick = |domain: &str| {
        let others = view
            .live()
            .filter(|other| other.domain == domain && other.node != one.node);
        let mut others: Vec<&str> = others.map(|other| other.node.as_str()).collect();
        others.sort_by_key(|node| score(score(salt, &one.node), node));
        let count = others.len();
        (count > 0).then(|| others[period % count])
    };
    let domains: BTreeSet<&str> = view.live().map(|other| other.domain.as_str()).collect();
    let mates = view.live().filter(|other| other.domain == one.domain);
    let first = mates.max_by_key(|mate| score(salt, &mate.node));
    let delegate = first.is_none_or(|first| first.node == one.node);
    let probed = domains
        .into_iter()
        .filter(|domain| delegate || *domain == one.domain);
    probed
        .filter_map(pick)
        .map(|other| [one.node.as_str(), other])
        .collect()
}

fn shapes() -> impl Strategy<Value = Vec<Vec<usize>>> {
    let size = prop_oneof![4 => 1..12_usize, 1 => 12..40_usize];
    prop::collection::vec(prop::collection::vec(size, 1..4), 1..4)
}

fn from_environment(name: &str, default: u64) -> u64 {
    match std::env::var(name) {
        Ok(text) => text
            .parse()
            .unwrap_or_else(|_| panic!("{name} is not a number: {text}")),
        Err(_) => default,
    }
}

fn config() -> Config {
    let cases = from_environment("AGATEDECK_PROPTEST_CASES", 48);
    Config {
        cases: u32::try_from(cases).unwrap(),
        rng_seed: RngSeed::Fixed(from_environment("AGATEDECK_PROPTEST_SEED", 0x00a9_a7ed)),
        failure_persistence: None,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against nodes that are missed, control bytes for duplicates, a second delta over a
    /// billed link, and a depth that grows faster than the logarithm.
    #[test]
    fn equal_views_reach_each_node_once(shape in shapes(), pick: prop::sample::Index, salt: u64) {
        let members = fleet(&shape);
        let view = table(&members);
        let origin = pick.get(&members);
        let outcome = spread(&members, |_| &view, &BTreeSet::new(), origin, salt);
        for member in members.iter().filter(|member| member.node != origin.node) {
            let reached = outcome.reached.get(&member.node).copied().unwrap_or(0);
            prop_assert_eq!(reached, 1, "{}", &member.node);
        }
        // The origin stands somewhere in the tree of its domain, too.
        prop_assert!(outcome.reached.get(&origin.node).copied().unwrap_or(0) <= 1);
        prop_assert_eq!(outcome.cross_region, shape.len() - 1);
        let largest = shape.iter().flatten().copied().max().unwrap();
        // One step to a relay and one to a head of a domain.
        prop_assert!(outcome.depth <= 2 + levels(largest).max(1), "depth {}", outcome.depth);
    }

    /// Guards against a dead node that cuts off what it should pass on.
    #[test]
    fn dead_nodes_that_are_still_listed_are_replaced(
        shape in shapes(),
        pick: prop::sample::Index,
        salt: u64,
        lots in prop::collection::vec(0..3_u8, 400),
    ) {
        let members = fleet(&shape);
        let view = table(&members);
        let origin = pick.get(&members);
        let limit = members.len() / 3;
        prop_assert!(members.len() <= lots.len());
        let chosen = members.iter().zip(&lots).filter(|(member, lot)| {
            **lot == 0 && member.node != origin.node
        });
        let dead: BTreeSet<&str> = chosen.map(|(member, _)| member.node.as_str()).take(limit).collect();
        let outcome = spread(&members, |_| &view, &dead, origin, salt);
        let headless = |place: &dyn Fn(&Member) -> bool| {
            let mut ranked: Vec<&Member> = members.iter().filter(|member| place(member)).collect();
            ranked.sort_by_key(|member| std::cmp::Reverse(score(salt, &member.node)));
            let mut heads = ranked.iter().take(HEADS_TRIED);
            heads.all(|member| dead.contains(member.node.as_str()))
        };
        for member in &members {
            let node = member.node.as_str();
            let left_to_probes = (member.region != origin.region
                && headless(&|other| other.region == member.region))
                || (member.domain != origin.domain
                    && headless(&|other| other.domain == member.domain));
            let held = node == origin.node || outcome.reached.contains_key(node);
            prop_assert!(held || dead.contains(node) || left_to_probes, "{node} was missed");
        }
    }

    /// Guards against nodes that stay behind because another node does not list them.
    #[test]
    fn differing_views_are_repaired_in_one_round(
        shape in shapes(),
        pick: prop::sample::Index,
        salt: u64,
        seed: u64,
    ) {
        let members = fleet(&shape);
        // Of each pair, at least one node lists the other; a quarter of the rest is not listed.
        let lists = |one: &Member, other: &Member| {
            let missing = score(seed, &format!("{} {}", one.node, other.node)).is_multiple_of(4);
            one.node <= other.node || !missing
        };
        let views: BTreeMap<&str, MemberTable> = members
            .iter()
            .map(|one| (one.node.as_str(), table(members.iter().filter(|other| lists(one, other)))))
            .collect();
        let origin = pick.get(&members);
        let outcome = spread(&members, |node| &views[node], &BTreeSet::new(), origin, salt);
        let mut held: BTreeSet<&str> = outcome.reached.keys().map(String::as_str).collect();
        held.insert(&origin.node);
        let largest = shape.iter().flatten().copied().max().unwrap();
        for period in 0..largest {
            let meetings = members.iter().flat_map(|one| probes(one, &views[one.node.as_str()], period));
            let meetings: Vec<[&str; 2]> = meetings.collect();
            for pair in meetings {
                // The one that is behind pulls, whichever of them sent the probe.
                if pair.iter().any(|node| held.contains(node)) {
                    held.extend(pair);
                }
            }
        }
        for member in &members {
            prop_assert!(held.contains(member.node.as_str()), "{} stays behind", &member.node);
        }
    }
}

/// Guards against a node that carries the distribution of every version.
#[test]
fn work_moves_from_node_to_node_between_versions() {
    let members = fleet(&[vec![64], vec![64]]);
    let view = table(&members);
    let mut sent: BTreeMap<String, usize> = BTreeMap::new();
    for version in 0..100 {
        let origin = &members[usize::try_from(version).unwrap() % members.len()];
        let outcome = spread(&members, |_| &view, &BTreeSet::new(), origin, version);
        for (node, count) in outcome.sent {
            *sent.entry(node).or_default() += count;
        }
    }
    let mean = sent.values().sum::<usize>() / members.len();
    assert_eq!(
        sent.len(),
        members.len(),
        "some node never passes anything on"
    );
    let most = sent.values().max().unwrap();
    assert!(
        *most <= 2 * mean,
        "{most} messages against {mean} on average"
    );
}
