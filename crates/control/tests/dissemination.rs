//! Coverage, depth and cross-region messages of tree dissemination.
//!
//! `AGATEDECK_PROPTEST_CASES` and `AGATEDECK_PROPTEST_SEED` set the number of cases and the seed for
//! long runs.

#[path = "../../calls/tests/common/property.rs"]
mod property;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use agatedeck_clock::Instant;
use agatedeck_control::{
    DisseminationHop, DisseminationPolicy, DisseminationRequest, DisseminationScope, LikelySilence,
    MemberTable, RelaySettings, RelayedPayload, SilenceLog, TreeDissemination, plan_hops,
    rendezvous_score,
};
use agatedeck_wire::Member;
use property::property_config;
use proptest::prelude::*;

/// Number of relays tried for a domain or region before its repair is left to the probes.
const MAX_RELAY_ATTEMPTS: usize = 4;

#[derive(Debug, Default)]
struct DisseminationResult {
    /// Number of messages that each node received.
    receipts_by_node: BTreeMap<String, usize>,
    /// Number of messages that each node sent.
    sent_by_node: BTreeMap<String, usize>,
    cross_region_messages: usize,
    max_depth: usize,
}

/// Members of a fleet, from the number of nodes in each domain of each region.
fn fleet_members(shape: &[Vec<usize>]) -> Vec<Member> {
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

fn member_table<'a>(members: impl IntoIterator<Item = &'a Member>) -> MemberTable {
    let mut table = MemberTable::default();
    for member in members {
        table.merge(member, Instant::default());
    }
    table
}

/// Disseminates a version from `origin`. Each node forwards by its own member table, and messages
/// to `dead` nodes fail.
fn disseminate<'a>(
    members: &[Member],
    view: impl Fn(&str) -> &'a MemberTable,
    dead: &BTreeSet<&str>,
    origin: &Member,
    salt: u64,
) -> DisseminationResult {
    let policy = TreeDissemination::default();
    let find = |name: &str| members.iter().find(|member| member.node == name).unwrap();
    let mut result = DisseminationResult::default();
    let mut seen = BTreeSet::new();
    let mut in_flight: VecDeque<(&Member, DisseminationHop, usize)> = VecDeque::new();
    let request = DisseminationRequest {
        salt,
        scope: DisseminationScope::AllRegions,
    };
    for hop in policy.next_hops(view(&origin.node), origin, request) {
        in_flight.push_back((origin, hop, 1));
    }
    while let Some((sender, hop, depth)) = in_flight.pop_front() {
        *result.sent_by_node.entry(sender.node.clone()).or_default() += 1;
        if dead.contains(hop.node.as_str()) {
            for next in policy.fallback_hops(view(&sender.node), sender, salt, &hop) {
                in_flight.push_back((sender, next, depth));
            }
            continue;
        }
        let receiver = find(&hop.node);
        result.cross_region_messages += usize::from(sender.region != receiver.region);
        result.max_depth = result.max_depth.max(depth);
        *result
            .receipts_by_node
            .entry(receiver.node.clone())
            .or_default() += 1;
        let scope = hop.scope;
        if seen.insert((receiver.node.clone(), scope)) {
            let request = DisseminationRequest { salt, scope };
            for next in policy.next_hops(view(&receiver.node), receiver, request) {
                in_flight.push_back((receiver, next, depth + 1));
            }
        }
    }
    result
}

/// Levels below the root in a complete 8-ary tree of `nodes` nodes.
fn tree_depth(nodes: usize) -> usize {
    let (mut depth, mut width, mut capacity) = (0, 1, 1);
    while capacity < nodes {
        width *= 8;
        capacity += width;
        depth += 1;
    }
    depth
}

/// Pairs of prober and target for the probes that `one` sends in a period: one to the next listed
/// node of its domain and, if it ranks first there, one to a node of each other domain.
fn probe_pairs<'a>(one: &'a Member, view: &'a MemberTable, period: usize) -> Vec<[&'a str; 2]> {
    let salt = 7;
    let pick = |domain: &str| {
        let others = view
            .live()
            .filter(|other| other.domain == domain && other.node != one.node);
        let mut others: Vec<&str> = others.map(|other| other.node.as_str()).collect();
        others.sort_by_key(|node| rendezvous_score(rendezvous_score(salt, &one.node), node));
        let count = others.len();
        (count > 0).then(|| others[period % count])
    };
    let domains: BTreeSet<&str> = view.live().map(|other| other.domain.as_str()).collect();
    let domain_members = view.live().filter(|other| other.domain == one.domain);
    let first = domain_members.max_by_key(|member| rendezvous_score(salt, &member.node));
    let is_delegate = first.is_none_or(|first| first.node == one.node);
    let probed = domains
        .into_iter()
        .filter(|domain| is_delegate || *domain == one.domain);
    probed
        .filter_map(pick)
        .map(|other| [one.node.as_str(), other])
        .collect()
}

fn fleet_shapes() -> impl Strategy<Value = Vec<Vec<usize>>> {
    let size = prop_oneof![4 => 1..12_usize, 1 => 12..40_usize];
    prop::collection::vec(prop::collection::vec(size, 1..4), 1..4)
}

proptest! {
    #![proptest_config(property_config(48, 0x00a9_a7ed))]

    /// Guards against nodes that are not reached, bytes spent on duplicates, a second copy of a
    /// delta over a billed cross-region link, and a depth that grows faster than logarithmically.
    #[test]
    fn equal_member_tables_reach_each_node_once(
        shape in fleet_shapes(),
        pick: prop::sample::Index,
        salt: u64,
    ) {
        let members = fleet_members(&shape);
        let view = member_table(&members);
        let origin = pick.get(&members);
        let result = disseminate(&members, |_| &view, &BTreeSet::new(), origin, salt);
        for member in members.iter().filter(|member| member.node != origin.node) {
            let receipts = result.receipts_by_node.get(&member.node).copied().unwrap_or(0);
            prop_assert_eq!(receipts, 1, "receipts of node {}", &member.node);
        }
        // The origin has a position in the tree of its domain, too.
        prop_assert!(result.receipts_by_node.get(&origin.node).copied().unwrap_or(0) <= 1);
        prop_assert_eq!(result.cross_region_messages, shape.len() - 1);
        let largest = shape.iter().flatten().copied().max().unwrap();
        // One hop to the relay of a region and one to the relay of a domain.
        let max_depth = result.max_depth;
        prop_assert!(max_depth <= 2 + tree_depth(largest).max(1), "tree depth {max_depth}");
    }

    /// Guards against the loss of a scope whose receiver is dead but still listed as live.
    #[test]
    fn nodes_below_a_dead_node_are_reached(
        shape in fleet_shapes(),
        pick: prop::sample::Index,
        salt: u64,
        draws in prop::collection::vec(0..3_u8, 400),
    ) {
        let members = fleet_members(&shape);
        let view = member_table(&members);
        let origin = pick.get(&members);
        let limit = members.len() / 3;
        prop_assert!(members.len() <= draws.len());
        let chosen = members.iter().zip(&draws).filter(|(member, draw)| {
            **draw == 0 && member.node != origin.node
        });
        let dead: BTreeSet<&str> = chosen.map(|(member, _)| member.node.as_str()).take(limit).collect();
        let result = disseminate(&members, |_| &view, &dead, origin, salt);
        let all_relays_dead = |in_scope: &dyn Fn(&Member) -> bool| {
            let mut ranked: Vec<&Member> = members.iter().filter(|member| in_scope(member)).collect();
            ranked.sort_by_key(|member| std::cmp::Reverse(rendezvous_score(salt, &member.node)));
            let mut relays = ranked.iter().take(MAX_RELAY_ATTEMPTS);
            relays.all(|member| dead.contains(member.node.as_str()))
        };
        for member in &members {
            let node = member.node.as_str();
            let left_to_probes = (member.region != origin.region
                && all_relays_dead(&|other| other.region == member.region))
                || (member.domain != origin.domain
                    && all_relays_dead(&|other| other.domain == member.domain));
            let informed = node == origin.node || result.receipts_by_node.contains_key(node);
            let excused = dead.contains(node) || left_to_probes;
            prop_assert!(informed || excused, "node {node} was not reached");
        }
    }

    /// Guards against nodes that stay behind because the member table of a forwarding node lacks
    /// them.
    #[test]
    fn divergent_member_tables_are_repaired_in_one_probe_round(
        shape in fleet_shapes(),
        pick: prop::sample::Index,
        salt: u64,
        seed: u64,
    ) {
        let members = fleet_members(&shape);
        // In each pair, at least one node lists the other; the reverse entry is missing in a
        // quarter of the pairs.
        let is_listed = |one: &Member, other: &Member| {
            let missing = rendezvous_score(seed, &format!("{} {}", one.node, other.node)).is_multiple_of(4);
            one.node <= other.node || !missing
        };
        let views: BTreeMap<&str, MemberTable> = members
            .iter()
            .map(|one| {
                let listed = members.iter().filter(|other| is_listed(one, other));
                (one.node.as_str(), member_table(listed))
            })
            .collect();
        let origin = pick.get(&members);
        let result = disseminate(&members, |node| &views[node], &BTreeSet::new(), origin, salt);
        let receivers = result.receipts_by_node.keys().map(String::as_str);
        let mut informed: BTreeSet<&str> = receivers.collect();
        informed.insert(&origin.node);
        let largest = shape.iter().flatten().copied().max().unwrap();
        for period in 0..largest {
            let exchanges = members
                .iter()
                .flat_map(|one| probe_pairs(one, &views[one.node.as_str()], period));
            let exchanges: Vec<[&str; 2]> = exchanges.collect();
            for pair in exchanges {
                // The node that is behind pulls, whichever of the two sent the probe.
                if pair.iter().any(|node| informed.contains(node)) {
                    informed.extend(pair);
                }
            }
        }
        for member in &members {
            let node = member.node.as_str();
            prop_assert!(informed.contains(node), "node {node} was not repaired");
        }
    }
}

/// Guards against a node that bears the forwarding load of every version.
#[test]
fn forwarding_load_rotates_between_versions() {
    let members = fleet_members(&[vec![64], vec![64]]);
    let view = member_table(&members);
    let mut sent: BTreeMap<String, usize> = BTreeMap::new();
    for version in 0..100 {
        let origin = &members[usize::try_from(version).unwrap() % members.len()];
        let result = disseminate(&members, |_| &view, &BTreeSet::new(), origin, version);
        for (node, count) in result.sent_by_node {
            *sent.entry(node).or_default() += count;
        }
    }
    let mean_sent = sent.values().sum::<usize>() / members.len();
    assert_eq!(
        sent.len(),
        members.len(),
        "some node never forwards a message"
    );
    let max_sent = sent.values().max().unwrap();
    assert!(
        *max_sent <= 2 * mean_sent,
        "one node sent {max_sent} messages, the mean is {mean_sent}"
    );
}

/// Guards against waits for the same dead receivers with each message: until the failure detector has declared
/// them dead, a domain behind four dead relays would get a version 0.8 s late, and no version at all if the
/// relays of its region fail as well.
#[test]
fn messages_go_past_receivers_that_did_not_answer_lately() {
    let members = fleet_members(&[vec![20, 20], vec![20, 20]]);
    let table = member_table(&members);
    let policy = TreeDissemination::default();
    let origin = &members[0];
    let request = DisseminationRequest {
        salt: 7,
        scope: DisseminationScope::AllRegions,
    };
    let now = Instant::default();
    let mut silences = SilenceLog::new(Duration::from_secs(5));
    let plan = |silences: &SilenceLog, now| {
        let hops = policy.next_hops(&table, origin, request);
        let likely = LikelySilence {
            silences,
            min_silence: Duration::ZERO,
            now,
        };
        plan_hops(&policy, &table, origin, request.salt, hops, likely)
    };
    let undisturbed = plan(&silences, now);
    assert!(undisturbed.iter().all(|planned| !planned.is_hedged));
    let relay = undisturbed
        .iter()
        .find(|planned| planned.hop.scope == DisseminationScope::Region)
        .expect("a relay of the other region");
    silences.record_silence(&relay.hop.node, now);
    let hedged = plan(&silences, now);
    let relays: Vec<_> = hedged
        .iter()
        .filter(|planned| planned.hop.scope == DisseminationScope::Region)
        .collect();
    // The silent one is sent the message too, so that its answer ends the silence.
    assert_eq!(relays.len(), 2);
    assert!(relays[0].is_hedged && relays[0].hop.node == relay.hop.node);
    assert!(!relays[1].is_hedged && relays[1].hop.node != relay.hop.node);
    silences.record_answer(&relay.hop.node);
    assert_eq!(plan(&silences, now), undisturbed);
    silences.record_silence(&relay.hop.node, now);
    assert_eq!(
        plan(&silences, now.after(Duration::from_secs(6))),
        undisturbed
    );
}

/// Guards against a storm of rumors on hosts that are alive and late: each late answer would cost messages to all
/// receivers behind it, which make the hosts later.
#[test]
fn rumors_go_past_a_receiver_only_after_it_has_answered_nothing_for_a_while() {
    let settings = RelaySettings::default();
    let mut silences = SilenceLog::new(settings.silence_memory);
    let start = Instant::from_millis(5_000);
    let goes_past = |silences: &SilenceLog, payload, now| {
        silences.is_silent_for("late", settings.min_silence_of(payload), now)
    };
    silences.record_silence("late", start);
    assert!(goes_past(&silences, RelayedPayload::Version, start));
    assert!(!goes_past(&silences, RelayedPayload::Rumor, start));
    // A late answer ends the silence.
    silences.record_answer("late");
    let later = start.after(settings.rumor_hop_timeout);
    silences.record_silence("late", later);
    assert!(!goes_past(&silences, RelayedPayload::Rumor, later));
    let lost = later.after(settings.rumor_hop_timeout);
    silences.record_silence("late", lost);
    assert!(goes_past(&silences, RelayedPayload::Rumor, lost));
}
