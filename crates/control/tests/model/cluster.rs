//! The hosts of the model and the messages between them.

use std::collections::{BTreeMap, BTreeSet};

use agatedeck_clock::Instant;
use agatedeck_control::{
    CommitAction, CommitEvent, CommitOutcome, ConfigReplica, DisseminationHop, DisseminationPolicy,
    DisseminationRequest, DisseminationScope, FloorTable, JoinEffect, JoinMachine, JoinResponder,
    JoinSettings, MemberTable, PullReply, ReplicaSettings, ResponderSettings, TreeDissemination,
    VersionEffect, VersionOrigin, select_witnesses,
};
use agatedeck_records::{compress, decompress};
use agatedeck_wire::{
    Change, Delta, FloorAnswer, FloorRecord, Join, JoinAnswer, Member, MemberStatus, PullAnswer,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::commit::{PendingChange, RequestDelivery};
use super::store::{CommitTransaction, ModelStore};

/// Region and failure domain of each host. Four hosts share a domain, so that a host has peers in
/// addition to its two witnesses.
const HOST_LOCALITIES: [(&str, &str); HOST_COUNT] = [
    ("home", "home-a"),
    ("home", "home-a"),
    ("home", "home-a"),
    ("home", "home-a"),
    ("away", "away-a"),
    ("away", "away-b"),
];
pub(crate) const HOST_COUNT: usize = 6;

#[derive(Clone, Debug)]
enum MessageBody {
    Offer(u64, Vec<u8>, DisseminationHop),
    Pull(u64),
    PullAnswer(PullAnswer),
    RecordFloor(FloorRecord),
    FloorRecorded(u64),
    QueryFloor(FloorRecord),
    FloorAnswer(FloorAnswer),
    Join(Join),
    JoinAnswer(JoinAnswer),
    /// Version of the head as read from the store; it raises the floor.
    Head(u64),
    Probe(Member),
    ProbeAnswer(u64),
}

#[derive(Clone, Debug)]
struct Envelope {
    from: usize,
    to: usize,
    /// Incarnation of the process that an answer is for; `None` for a request, which any process at
    /// the address handles.
    incarnation: Option<u64>,
    body: MessageBody,
}

/// How a message is delivered.
#[derive(Clone, Copy, Debug)]
pub(crate) enum MessageDelivery {
    Delivered,
    Duplicated,
    Dropped,
    /// A record of the delta is altered and its digest is left as it was.
    RecordAltered,
    /// One byte is flipped.
    ByteFlipped,
}

#[derive(Debug)]
struct NodeProcess {
    local_member: Member,
    replica: ConfigReplica,
    table: MemberTable,
    floor_table: FloorTable,
    responder: JoinResponder,
    join: JoinMachine,
    /// Highest active version since this process started.
    max_active_version: u64,
    pending_fetch_floor: Option<u64>,
    pull_in_flight: bool,
    /// Highest version that witnesses were requested to record.
    max_requested_version: u64,
    /// Number of witnesses that have not answered, by version.
    awaited_witnesses: BTreeMap<u64, usize>,
    seen_requests: BTreeSet<DisseminationRequest>,
    /// Highest floor that this process was asked to record for each host, tracked by the model
    /// itself.
    floor_records: BTreeMap<usize, u64>,
    pending: Option<PendingChange>,
    /// Whether the floor came from peers of which none had recorded the highest version served on
    /// the host: the gap specified in section 3 of the design page.
    has_known_floor_gap: bool,
}

#[derive(Debug, Default)]
struct HostState {
    process: Option<NodeProcess>,
    incarnation: u64,
    paused: bool,
    partitioned: bool,
    /// Highest version by which calls were served on this host, over all its processes.
    max_served_version: u64,
}

#[derive(Debug)]
pub(crate) struct ClusterModel {
    now: Instant,
    rng: SmallRng,
    policy: TreeDissemination,
    pub(crate) store: ModelStore,
    hosts: Vec<HostState>,
    in_flight: Vec<Envelope>,
    delayed_transactions: Vec<CommitTransaction>,
    submitted_changes: Vec<Change>,
    /// Whether a node that can read only schema version 1 is live.
    pub(crate) old_schema_node_is_live: bool,
    /// Changes that were reported as not committed, now or later.
    reported_uncommitted: BTreeSet<String>,
    /// Changes whose outcome was never reported for certain.
    in_doubt: BTreeSet<String>,
}

fn node_name(host: usize) -> String {
    format!("n{host}")
}

/// Whether a host has peers in its domain. A host without peers has no witnesses, so only the store
/// can supply its floor.
fn has_domain_peers(host: usize) -> bool {
    HOST_LOCALITIES
        .iter()
        .filter(|locality| locality.1 == HOST_LOCALITIES[host].1)
        .count()
        > 1
}

fn host_index(name: &str) -> usize {
    name[1..].parse().unwrap()
}

impl ClusterModel {
    pub(crate) fn new() -> Self {
        let mut model = Self {
            now: Instant::from_millis(1),
            rng: SmallRng::seed_from_u64(1),
            policy: TreeDissemination {
                store_region: "home".to_owned(),
                ..TreeDissemination::default()
            },
            store: ModelStore::default(),
            hosts: std::iter::repeat_with(HostState::default)
                .take(HOST_COUNT)
                .collect(),
            in_flight: Vec::new(),
            delayed_transactions: Vec::new(),
            submitted_changes: Vec::new(),
            old_schema_node_is_live: false,
            reported_uncommitted: BTreeSet::new(),
            in_doubt: BTreeSet::new(),
        };
        model.clear_faults_and_converge();
        model
    }

    fn process(&mut self, host: usize) -> Option<&mut NodeProcess> {
        self.hosts[host].process.as_mut()
    }

    fn is_running(&self, host: usize) -> bool {
        self.hosts[host].process.is_some() && !self.hosts[host].paused
    }

    fn connected(&self, one: usize, other: usize) -> bool {
        self.hosts[one].partitioned == self.hosts[other].partitioned
    }

    /// The platform is on the side of the hosts that are not partitioned off.
    fn store_is_reachable(&self, host: usize) -> bool {
        !self.store.unavailable && !self.hosts[host].partitioned
    }

    fn send(&mut self, from: usize, to: usize, body: MessageBody) {
        let incarnation = None;
        self.in_flight.push(Envelope {
            from,
            to,
            incarnation,
            body,
        });
    }

    fn reply(&mut self, request: &Envelope, incarnation: u64, body: MessageBody) {
        let (from, to, incarnation) = (request.to, request.from, Some(incarnation));
        self.in_flight.push(Envelope {
            from,
            to,
            incarnation,
            body,
        });
    }

    pub(crate) fn restart(&mut self, host: usize) {
        if self.hosts[host].process.is_some() {
            return;
        }
        self.hosts[host].incarnation += 1;
        let (region, domain) = HOST_LOCALITIES[host];
        let local_member = Member {
            node: node_name(host),
            control_address: node_name(host),
            incarnation: self.hosts[host].incarnation,
            region: region.to_owned(),
            domain: domain.to_owned(),
            reads_schema: agatedeck_records::NEWEST_SCHEMA,
            ..Member::default()
        };
        let seed_addresses: Vec<String> = (0..HOST_COUNT).map(node_name).collect();
        let seed_addresses: Vec<&str> = seed_addresses.iter().map(String::as_str).collect();
        let mut join = JoinMachine::new(&local_member, &seed_addresses, &JoinSettings::default());
        let effects = join.start(self.now, &mut self.rng);
        let mut table = MemberTable::default();
        table.merge(&local_member, self.now);
        self.hosts[host].process = Some(NodeProcess {
            replica: ConfigReplica::new(ReplicaSettings::default()).unwrap(),
            table,
            floor_table: FloorTable::new(domain),
            responder: JoinResponder::new(&ResponderSettings::default()),
            join,
            max_active_version: 0,
            pending_fetch_floor: None,
            pull_in_flight: false,
            max_requested_version: 0,
            awaited_witnesses: BTreeMap::new(),
            seen_requests: BTreeSet::new(),
            floor_records: BTreeMap::new(),
            pending: None,
            has_known_floor_gap: false,
            local_member,
        });
        self.apply_join_effects(host, effects);
    }

    pub(crate) fn crash(&mut self, host: usize) {
        if let Some(process) = self.hosts[host].process.take()
            && let Some(pending) = process.pending
        {
            self.in_doubt.insert(pending.change.change_id);
        }
        self.hosts[host].paused = false;
        // Messages about its own version that the process has not sent yet are lost with it.
        self.in_flight.retain(|envelope| {
            envelope.from != host
                || !matches!(
                    envelope.body,
                    MessageBody::RecordFloor(_) | MessageBody::Probe(_)
                )
        });
    }

    /// Delivers the messages between a host and its witnesses ahead of all others.
    pub(crate) fn deliver_floor_records(&mut self, host: usize) {
        for _ in 0..4 {
            let position = self
                .in_flight
                .iter()
                .position(|envelope| match envelope.body {
                    MessageBody::RecordFloor(_) => envelope.from == host,
                    MessageBody::FloorRecorded(_) => envelope.to == host,
                    _ => false,
                });
            if let Some(position) = position {
                self.deliver_message(position, MessageDelivery::Delivered);
            }
        }
    }

    /// Stops the store and replaces the host at once; the messages that the host sent are lost.
    pub(crate) fn replace_in_outage(&mut self, host: usize) {
        self.store.unavailable = true;
        self.crash(host);
        let sent = self
            .in_flight
            .extract_if(.., |envelope| envelope.from == host);
        for envelope in sent.collect::<Vec<_>>() {
            self.drop_message(envelope);
        }
        self.restart(host);
    }

    pub(crate) fn pause(&mut self, host: usize) {
        self.hosts[host].paused = self.hosts[host].process.is_some();
    }

    pub(crate) fn resume(&mut self, host: usize) {
        self.hosts[host].paused = false;
        self.run_gossip_round();
    }

    pub(crate) fn partition(&mut self, hosts: u8) {
        for (index, host) in self.hosts.iter_mut().enumerate() {
            host.partitioned = hosts & (1 << index) != 0;
        }
        self.run_gossip_round();
    }

    pub(crate) fn declare_dead(&mut self, host: usize) {
        if self.hosts[host].process.is_some() {
            return;
        }
        let now = self.now;
        for peer in &mut self.hosts {
            let Some(process) = peer.process.as_mut().filter(|_| !peer.paused) else {
                continue;
            };
            if let Some(known) = process.table.get(&node_name(host)).cloned() {
                let status = MemberStatus::Dead.into();
                process.table.merge(&Member { status, ..known }, now);
            }
        }
    }

    /// Runs one gossip round: every running node that has joined merges the tables of the others on
    /// its side of the partition.
    fn run_gossip_round(&mut self) {
        let joined = |host: &HostState| {
            !host.paused
                && host
                    .process
                    .as_ref()
                    .is_some_and(|process| process.join.has_joined())
        };
        let known: Vec<(bool, Vec<Member>)> = self
            .hosts
            .iter()
            .filter(|host| joined(host))
            .map(|host| {
                let table = &host.process.as_ref().unwrap().table;
                (host.partitioned, table.members().cloned().collect())
            })
            .collect();
        let now = self.now;
        for host in self.hosts.iter_mut().filter(|host| joined(host)) {
            let Some(process) = &mut host.process else {
                continue;
            };
            for member in known
                .iter()
                .filter(|(partitioned, _)| *partitioned == host.partitioned)
                .flat_map(|(_, all)| all)
            {
                process.table.merge(member, now);
            }
        }
    }

    pub(crate) fn advance_clock(&mut self, ms: u64) {
        self.now = self.now.after(std::time::Duration::from_millis(ms));
        let now = self.now;
        for host in 0..HOST_COUNT {
            if !self.is_running(host) {
                continue;
            }
            let effects = self.process(host).unwrap().replica.tick(now);
            self.apply_effects(host, effects);
            let mut rng = self.rng.clone();
            let effects = self.process(host).unwrap().join.tick(now, &mut rng);
            self.rng = rng;
            self.apply_join_effects(host, effects);
        }
    }

    fn apply_effects(&mut self, host: usize, effects: Vec<VersionEffect>) {
        for effect in effects {
            let Some(process) = self.process(host) else {
                return;
            };
            match effect {
                VersionEffect::RecordFloor { version, .. } => {
                    let peers = select_witnesses(&process.table, &process.local_member, 2);
                    let peers: Vec<usize> =
                        peers.iter().map(|peer| host_index(&peer.node)).collect();
                    process.awaited_witnesses.insert(version, peers.len());
                    process.max_requested_version = version;
                    for peer in &peers {
                        let node = node_name(host);
                        self.send(
                            host,
                            *peer,
                            MessageBody::RecordFloor(FloorRecord { node, version }),
                        );
                    }
                    if peers.is_empty() {
                        self.on_witness_answer(host, version, 0);
                    }
                }
                VersionEffect::Activate { snapshot, .. } => {
                    let version = snapshot.version();
                    process.local_member.version = version;
                    process.table.observe_version(&node_name(host), version);
                    assert!(
                        version > process.max_active_version,
                        "active version moved back to {version}"
                    );
                    process.max_active_version = version;
                    let is_requested = process.max_requested_version >= version;
                    assert!(
                        is_requested,
                        "version {version} is active without a request to its witnesses"
                    );
                    self.store.oracle.check_snapshot(&snapshot);
                    self.on_held_version(host, version);
                }
                VersionEffect::PullAfter(version) => self.send_pull(host, version),
            }
        }
    }

    fn on_held_version(&mut self, host: usize, version: u64) {
        let (now, mut rng) = (self.now, self.rng.clone());
        let effects = self
            .process(host)
            .unwrap()
            .join
            .on_held_version(version, now, &mut rng);
        self.rng = rng;
        self.apply_join_effects(host, effects);
    }

    fn on_witness_answer(&mut self, host: usize, version: u64, answers: usize) {
        let Some(process) = self.process(host) else {
            return;
        };
        let Some(awaited) = process.awaited_witnesses.get_mut(&version) else {
            return;
        };
        *awaited = awaited.saturating_sub(answers);
        if *awaited == 0 {
            process.awaited_witnesses.remove(&version);
            let effects = process.replica.on_witnesses_recorded(version);
            self.apply_effects(host, effects);
        }
    }

    /// Sends a pull to the reachable node with the highest active version.
    fn send_pull(&mut self, host: usize, version: u64) {
        let ahead = |peer: &usize| {
            self.hosts[*peer]
                .process
                .as_ref()
                .map(|peer| peer.max_active_version)
        };
        let peers = (0..HOST_COUNT).filter(|peer| *peer != host && self.connected(host, *peer));
        let Some(peer) = peers.max_by_key(ahead) else {
            return;
        };
        let process = self.process(host).unwrap();
        if !process.pull_in_flight {
            process.pull_in_flight = true;
            self.send(host, peer, MessageBody::Pull(version));
        }
    }

    fn apply_join_effects(&mut self, host: usize, effects: Vec<JoinEffect>) {
        for effect in effects {
            match effect {
                JoinEffect::ReadHead => {
                    if self.store_is_reachable(host) {
                        let version = self.store.head().0.version;
                        let incarnation = Some(self.hosts[host].incarnation);
                        let body = MessageBody::Head(version);
                        self.in_flight.push(Envelope {
                            from: host,
                            to: host,
                            incarnation,
                            body,
                        });
                    }
                }
                JoinEffect::Join { address, join } => {
                    self.send(host, host_index(&address), MessageBody::Join(join));
                }
                JoinEffect::QueryFloor {
                    address, record, ..
                } => {
                    self.send(host, host_index(&address), MessageBody::QueryFloor(record));
                }
                JoinEffect::MergeMemberList(members) => {
                    let now = self.now;
                    let process = self.process(host).unwrap();
                    for member in &members {
                        process.table.merge(member, now);
                        process.floor_table.observe(member);
                    }
                    self.run_gossip_round();
                }
                JoinEffect::Fetch { floor } => {
                    let gap = has_domain_peers(host) && !self.floor_is_known_to_peers(host);
                    let process = self.process(host).unwrap();
                    process.pending_fetch_floor = Some(floor);
                    process.has_known_floor_gap = gap;
                }
                JoinEffect::Serve => {
                    let process = self.process(host).unwrap();
                    process.pending_fetch_floor = None;
                    let floor = process.join.floor().unwrap();
                    process.replica.raise_floor(floor);
                }
                JoinEffect::Drain | JoinEffect::Stop => {}
            }
        }
    }

    /// Whether a peer in the domain has recorded the highest version served on `host`.
    fn floor_is_known_to_peers(&self, host: usize) -> bool {
        let peers = (0..HOST_COUNT)
            .filter(|peer| *peer != host && HOST_LOCALITIES[*peer].1 == HOST_LOCALITIES[host].1);
        let mut processes = peers.filter_map(|peer| self.hosts[peer].process.as_ref());
        let served = self.hosts[host].max_served_version;
        processes.any(|process| process.floor_records.get(&host) >= Some(&served))
    }

    /// Runs the pending fetch of a joining host, from a peer and then from the store.
    pub(crate) fn run_fetch(&mut self, host: usize, peer: usize) {
        if !self.is_running(host) {
            return;
        }
        let Some(floor) = self.process(host).unwrap().pending_fetch_floor.take() else {
            return;
        };
        let held = self.process(host).unwrap().max_active_version;
        if held < floor && peer != host && self.is_running(peer) && self.connected(host, peer) {
            let answer = self.pull_answer(peer, held);
            self.apply_pull_answer(host, &answer);
        }
        if self.process(host).unwrap().replica.latest().version() < floor {
            self.offer_store_deltas(host);
        }
        let held = self.process(host).unwrap().replica.latest().version();
        self.on_held_version(host, held);
        let (now, mut rng) = (self.now, self.rng.clone());
        let join = &mut self.process(host).unwrap().join;
        let effects = join.on_fetch_failed(now, &mut rng);
        self.rng = rng;
        self.apply_join_effects(host, effects);
    }

    /// Offers every newer version in the store to the replica; returns those versions with their
    /// deltas.
    fn offer_store_deltas(&mut self, host: usize) -> Option<Vec<(u64, Vec<u8>)>> {
        if !self.store_is_reachable(host) {
            return None;
        }
        let latest = self.process(host).unwrap().replica.latest().version();
        let found = self.store.deltas_after(latest);
        for (version, delta) in &found {
            self.offer_version(host, *version, delta);
        }
        Some(found)
    }

    fn offer_version(&mut self, host: usize, version: u64, delta: &[u8]) -> bool {
        let now = self.now;
        let (result, effects) =
            self.process(host)
                .unwrap()
                .replica
                .offer(version, delta, VersionOrigin::Tree, now);
        self.apply_effects(host, effects);
        !matches!(result, agatedeck_control::OfferResult::Refused(_))
    }

    fn disseminate(&mut self, host: usize, request: DisseminationRequest, delta: &[u8]) {
        let policy = self.policy.clone();
        let process = self.process(host).unwrap();
        if process.seen_requests.insert(request) {
            let hops = policy.next_hops(&process.table, &process.local_member, request);
            self.send_hops(host, request.salt, delta, hops);
        }
    }

    fn send_hops(&mut self, host: usize, version: u64, delta: &[u8], hops: Vec<DisseminationHop>) {
        for hop in hops {
            let to = host_index(&hop.node);
            self.send(host, to, MessageBody::Offer(version, delta.to_vec(), hop));
        }
    }

    fn pull_answer(&self, host: usize, version: u64) -> PullAnswer {
        let replica = &self.hosts[host].process.as_ref().unwrap().replica;
        let (deltas, snapshot) = match replica.answer_pull(version) {
            PullReply::Deltas(deltas) => (deltas, Vec::new()),
            PullReply::Snapshot(snapshot) => (Vec::new(), snapshot),
        };
        PullAnswer {
            version: replica.current().version(),
            deltas,
            snapshot,
            digest: replica.current().digest().as_bytes().to_vec(),
        }
    }

    fn apply_pull_answer(&mut self, host: usize, answer: &PullAnswer) {
        if answer.snapshot.is_empty() {
            let now = self.now;
            let replica = &mut self.process(host).unwrap().replica;
            let effects = replica.offer_pulled(&answer.deltas, now);
            self.apply_effects(host, effects);
        } else {
            let now = self.now;
            let replica = &mut self.process(host).unwrap().replica;
            let origin = VersionOrigin::Pull;
            let (_, effects) =
                replica.offer_snapshot(&answer.snapshot, &answer.digest, origin, now);
            self.apply_effects(host, effects);
        }
    }

    pub(crate) fn poll_store(&mut self, host: usize) {
        if !self.is_running(host) || !self.store_is_reachable(host) {
            return;
        }
        let policy = self.policy.clone();
        let process = self.process(host).unwrap();
        if policy
            .poll_interval(&process.table, &process.local_member)
            .is_none()
        {
            return;
        }
        for (version, delta) in self.offer_store_deltas(host).unwrap_or_default() {
            let scope = DisseminationScope::Region;
            self.disseminate(
                host,
                DisseminationRequest {
                    salt: version,
                    scope,
                },
                &delta,
            );
        }
    }

    pub(crate) fn send_probe(&mut self, host: usize, peer: usize) {
        if self.is_running(host) && host != peer {
            let local_member = self.process(host).unwrap().local_member.clone();
            self.send(host, peer, MessageBody::Probe(local_member));
        }
    }

    pub(crate) fn deliver_message(&mut self, pick: usize, delivery: MessageDelivery) {
        if self.in_flight.is_empty() {
            return;
        }
        let envelope = self.in_flight.swap_remove(pick % self.in_flight.len());
        let paused = self.hosts[envelope.to].paused;
        if paused && !matches!(delivery, MessageDelivery::Dropped) {
            self.in_flight.push(envelope);
            return;
        }
        let arrives = self.connected(envelope.from, envelope.to)
            && self.hosts[envelope.to].process.is_some()
            && envelope
                .incarnation
                .is_none_or(|incarnation| incarnation == self.hosts[envelope.to].incarnation);
        match delivery {
            _ if !arrives => self.drop_message(envelope),
            MessageDelivery::Dropped => self.drop_message(envelope),
            MessageDelivery::Delivered => self.handle_message(&envelope),
            MessageDelivery::Duplicated => {
                // An answer arrives over a connection, which does not duplicate it.
                if envelope.incarnation.is_none() {
                    self.in_flight.push(envelope.clone());
                }
                self.handle_message(&envelope);
            }
            MessageDelivery::RecordAltered | MessageDelivery::ByteFlipped => {
                self.handle_message(&corrupt(envelope, delivery));
            }
        }
    }

    /// Drops a message; its sender then handles the timeout.
    fn drop_message(&mut self, envelope: Envelope) {
        let Envelope {
            from,
            to,
            incarnation,
            body,
        } = envelope;
        let is_same_process =
            incarnation.is_none_or(|incarnation| incarnation == self.hosts[to].incarnation);
        match body {
            MessageBody::Offer(version, delta, failed) if self.is_running(from) => {
                let policy = self.policy.clone();
                let sender = self.process(from).unwrap();
                let next =
                    policy.fallback_hops(&sender.table, &sender.local_member, version, &failed);
                self.send_hops(from, version, &delta, next);
            }
            MessageBody::Pull(_) => {
                if let Some(process) = self.process(from) {
                    process.pull_in_flight = false;
                }
            }
            MessageBody::PullAnswer(_) if is_same_process => {
                if let Some(process) = self.process(to) {
                    process.pull_in_flight = false;
                }
            }
            MessageBody::RecordFloor(record) => self.on_witness_answer(from, record.version, 1),
            MessageBody::FloorRecorded(version) if is_same_process => {
                self.on_witness_answer(to, version, 1);
            }
            MessageBody::Join(_) => self.on_join_failed(from),
            MessageBody::JoinAnswer(_) if is_same_process => self.on_join_failed(to),
            _ => {}
        }
    }

    fn on_join_failed(&mut self, host: usize) {
        let mut rng = self.rng.clone();
        let Some(process) = self.process(host) else {
            return;
        };
        let effects = process.join.on_join_failed(&mut rng);
        self.rng = rng;
        self.apply_join_effects(host, effects);
    }

    fn handle_message(&mut self, envelope: &Envelope) {
        let (from, host, now) = (envelope.from, envelope.to, self.now);
        let sender_incarnation = self.hosts[from].incarnation;
        let mut rng = self.rng.clone();
        let process = self.process(host).unwrap();
        let mut join_effects = Vec::new();
        match &envelope.body {
            MessageBody::Offer(version, delta, hop) => {
                if self.offer_version(host, *version, delta) {
                    let (salt, scope) = (*version, hop.scope);
                    self.disseminate(host, DisseminationRequest { salt, scope }, delta);
                }
            }
            MessageBody::Pull(version) => {
                let answer = self.pull_answer(host, *version);
                self.reply(
                    envelope,
                    sender_incarnation,
                    MessageBody::PullAnswer(answer),
                );
            }
            MessageBody::PullAnswer(answer) => {
                process.pull_in_flight = false;
                self.apply_pull_answer(host, answer);
            }
            MessageBody::RecordFloor(record) => {
                process.floor_table.record(record);
                let recorded = process.floor_records.entry(from).or_default();
                *recorded = record.version.max(*recorded);
                let version = record.version;
                self.reply(
                    envelope,
                    sender_incarnation,
                    MessageBody::FloorRecorded(version),
                );
            }
            MessageBody::FloorRecorded(version) => self.on_witness_answer(host, *version, 1),
            MessageBody::QueryFloor(record) => {
                let answer = process.floor_table.record(record);
                self.reply(
                    envelope,
                    sender_incarnation,
                    MessageBody::FloorAnswer(answer),
                );
            }
            MessageBody::FloorAnswer(answer) => {
                let peer = node_name(from);
                join_effects = process.join.on_floor_answer(&peer, answer, now, &mut rng);
            }
            MessageBody::Join(join) => {
                let served = process
                    .replica
                    .may_serve()
                    .then_some(process.max_active_version);
                let (table, floor_table) = (&process.table, &process.floor_table);
                let responder = &mut process.responder;
                let answer =
                    responder.answer_join(join, table, floor_table, served.unwrap_or(0), now);
                if answer.accepted {
                    let joined = join.member.clone().unwrap();
                    process.table.merge(&joined, now);
                }
                self.reply(
                    envelope,
                    sender_incarnation,
                    MessageBody::JoinAnswer(answer),
                );
                self.run_gossip_round();
            }
            MessageBody::JoinAnswer(answer) => {
                join_effects = process.join.on_join_answer(answer, now, &mut rng);
            }
            MessageBody::Head(version) => {
                join_effects = process.join.on_head(Some(*version), now, &mut rng);
            }
            MessageBody::Probe(member) => {
                process.floor_table.observe(member);
                process.table.observe_version(&member.node, member.version);
                let (latest, active) = (
                    process.replica.latest().version(),
                    process.max_active_version,
                );
                if member.version > latest {
                    self.send_pull(host, latest);
                }
                self.reply(
                    envelope,
                    sender_incarnation,
                    MessageBody::ProbeAnswer(active),
                );
            }
            MessageBody::ProbeAnswer(version) => {
                let latest = process.replica.latest().version();
                if *version > latest {
                    self.send_pull(host, latest);
                }
            }
        }
        self.rng = rng;
        self.apply_join_effects(host, join_effects);
    }

    /// Submits a change to a node; `build_writes` gets the active configuration of that node.
    pub(crate) fn submit(
        &mut self,
        host: usize,
        build_writes: impl FnOnce(
            &agatedeck_records::ConfigSnapshot,
        ) -> Vec<agatedeck_wire::RecordWrite>,
    ) {
        let change_id = format!("c{}", self.submitted_changes.len());
        let Some(process) = self
            .process(host)
            .filter(|process| process.pending.is_none())
        else {
            return;
        };
        let writes = build_writes(process.replica.current());
        let change = Change {
            change_id,
            writes,
            ..Change::default()
        };
        process.pending = Some(PendingChange::new(&change));
        self.submitted_changes.push(change);
    }

    /// Resends a change whose commit was not reported to its operator.
    pub(crate) fn resend(&mut self, host: usize, pick: usize) {
        if self.submitted_changes.is_empty() {
            return;
        }
        // Only the last few changes may still be pending.
        let back = pick % self.submitted_changes.len().min(3);
        let change = self.submitted_changes[self.submitted_changes.len() - 1 - back].clone();
        let Some(process) = self
            .process(host)
            .filter(|process| process.pending.is_none())
        else {
            return;
        };
        process.pending = Some(PendingChange::new(&change));
        self.reported_uncommitted.remove(&change.change_id);
        // The outcome of one attempt at one node does not settle the other attempts.
        self.in_doubt.insert(change.change_id);
    }

    /// Picks one of the hosts with a pending change.
    fn pick_committing_host(&self, pick: usize) -> Option<usize> {
        let has_pending_change = |host: &usize| {
            let process = self.hosts[*host].process.as_ref();
            process.is_some_and(|process| process.pending.is_some())
        };
        let hosts: Vec<usize> = (0..HOST_COUNT).filter(has_pending_change).collect();
        (!hosts.is_empty()).then(|| hosts[pick % hosts.len()])
    }

    /// Runs the next store request of one of the pending changes.
    pub(crate) fn step_picked_commit(&mut self, pick: usize, delivery: RequestDelivery) {
        let Some(host) = self.pick_committing_host(pick) else {
            return;
        };
        self.step_commit(host, delivery);
        let pending = self
            .process(host)
            .and_then(|process| process.pending.as_ref());
        if pending.is_some_and(|pending| pending.next_action == CommitAction::MakePlan) {
            self.step_commit(host, delivery);
        }
    }

    /// Runs the next action of the pending change of `host`.
    pub(crate) fn step_commit(&mut self, host: usize, delivery: RequestDelivery) {
        if !self.is_running(host) {
            return;
        }
        let Some(mut pending) = self.process(host).unwrap().pending.take() else {
            return;
        };
        let is_reachable = self.store_is_reachable(host);
        let delivery = if is_reachable {
            delivery
        } else {
            RequestDelivery::Unavailable
        };
        let event = match pending.next_action {
            CommitAction::ReadHead | CommitAction::RetryRead => {
                if matches!(delivery, RequestDelivery::Answered) {
                    let head = self.store.head();
                    self.offer_store_deltas(host);
                    pending.head = Some(head);
                    CommitEvent::HeadRead
                } else {
                    CommitEvent::Unreachable
                }
            }
            CommitAction::MakePlan => {
                let process = self.process(host).unwrap();
                let latest = std::sync::Arc::clone(process.replica.latest());
                let mut live: Vec<Member> = process.table.live().cloned().collect();
                if self.old_schema_node_is_live {
                    live.push(Member {
                        node: "old".to_owned(),
                        reads_schema: 1,
                        ..Member::default()
                    });
                }
                pending.make_plan(&latest, &live)
            }
            CommitAction::Write => {
                pending.write(&mut self.store, &mut self.delayed_transactions, delivery)
            }
            CommitAction::LookUp | CommitAction::RetryLookUp | CommitAction::Answer => {
                pending.look_up(&self.store, delivery)
            }
        };
        self.apply_commit_event(host, pending, event);
    }

    /// Runs the pending change of `host` to its end without a fault.
    pub(crate) fn finish_commit(&mut self, host: usize) {
        for _ in 0..32 {
            self.step_commit(host, RequestDelivery::Answered);
        }
    }

    pub(crate) fn expire_commit(&mut self, pick: usize) {
        let Some(host) = self
            .pick_committing_host(pick)
            .filter(|host| self.is_running(*host))
        else {
            return;
        };
        if let Some(pending) = self.process(host).unwrap().pending.take() {
            self.apply_commit_event(host, pending, CommitEvent::Deadline);
        }
    }

    fn apply_commit_event(&mut self, host: usize, mut pending: PendingChange, event: CommitEvent) {
        let Some(outcome) = pending.apply_event(event) else {
            self.process(host).unwrap().pending = Some(pending);
            return;
        };
        let id = pending.change.change_id.clone();
        let processes = self.hosts.iter().filter_map(|host| host.process.as_ref());
        let mut changes = processes.filter_map(|process| process.pending.as_ref());
        let pending_elsewhere = changes.any(|pending| pending.change.change_id == id);
        match &outcome {
            CommitOutcome::Accepted(version) => {
                assert_eq!(self.store.oracle.version_of_change(&id), Some(*version));
                if let Some(plan) = pending.take_committed_plan(*version) {
                    let delta = compress(&plan.delta);
                    let scope = DisseminationScope::AllRegions;
                    let salt = *version;
                    self.disseminate(host, DisseminationRequest { salt, scope }, &delta);
                    self.offer_version(host, salt, &delta);
                }
            }
            CommitOutcome::NotYetKnown => drop(self.in_doubt.insert(id)),
            // Another node may be writing the same change.
            _ if pending_elsewhere => drop(self.in_doubt.insert(id)),
            CommitOutcome::Refused(refusal) => {
                self.store.oracle.check_refusal(refusal);
                self.reported_uncommitted.insert(id);
            }
            // Another attempt by the operator may have been committed or still be in flight.
            CommitOutcome::Unreadable(_) | CommitOutcome::Unreachable => {
                if !self.in_doubt.contains(&id) {
                    self.reported_uncommitted.insert(id);
                }
            }
        }
    }

    /// Runs a delayed write, which commits if its conditions hold.
    pub(crate) fn commit_delayed(&mut self, pick: usize) {
        if !self.delayed_transactions.is_empty() {
            let transaction = self
                .delayed_transactions
                .remove(pick % self.delayed_transactions.len());
            self.store.commit(&transaction);
        }
    }

    /// Checks the invariants that hold after each step.
    pub(crate) fn check_invariants(&mut self) {
        for id in &self.reported_uncommitted {
            let found = self.store.oracle.version_of_change(id);
            assert_eq!(found, None, "change `{id}` was reported as not committed");
        }
        for (index, host) in self.hosts.iter_mut().enumerate() {
            let Some(process) = &mut host.process else {
                continue;
            };
            let current = process.replica.current();
            assert_eq!(current.version(), process.max_active_version);
            self.store.oracle.check_snapshot(current);
            if !process.replica.may_serve() {
                continue;
            }
            let version = current.version();
            assert!(
                version >= host.max_served_version || process.has_known_floor_gap,
                "host {index} served version {} and serves {version} after a restart",
                host.max_served_version,
            );
            process.has_known_floor_gap = false;
            host.max_served_version = version;
        }
    }

    /// Ends all faults and runs the nodes until all of them serve the newest committed version.
    pub(crate) fn clear_faults_and_converge(&mut self) {
        while !self.delayed_transactions.is_empty() {
            self.commit_delayed(0);
            self.check_invariants();
        }
        self.store.unavailable = false;
        self.old_schema_node_is_live = false;
        self.partition(0);
        for host in 0..HOST_COUNT {
            self.resume(host);
            self.restart(host);
        }
        for _ in 0..64 {
            for host in 0..HOST_COUNT {
                self.finish_commit(host);
                self.poll_store(host);
                self.send_probe(host, (host + 1) % HOST_COUNT);
                let peer = self.rng.random_range(0..HOST_COUNT);
                self.send_probe(host, peer);
                self.run_fetch(host, (host + 1) % HOST_COUNT);
            }
            for _ in 0..1_000 {
                self.deliver_message(0, MessageDelivery::Delivered);
                self.check_invariants();
            }
            self.run_gossip_round();
            self.advance_clock(2_000);
            self.check_invariants();
            if self.has_converged() {
                return;
            }
        }
        let summarize = |host: &HostState| {
            let process = host.process.as_ref()?;
            let (state, has_joined) = (process.join.state(), process.join.has_joined());
            Some((
                process.max_active_version,
                state,
                has_joined,
                process.table.live().count(),
            ))
        };
        let states: Vec<_> = self.hosts.iter().map(summarize).collect();
        panic!(
            "not all nodes serve version {}: {states:?}",
            self.store.oracle.newest_version()
        );
    }

    fn has_converged(&self) -> bool {
        let newest = self.store.oracle.newest_version();
        self.hosts.iter().all(|host| {
            host.process.as_ref().is_some_and(|process| {
                process.replica.may_serve()
                    && process.max_active_version == newest
                    && process.table.live().count() == HOST_COUNT
            })
        })
    }
}

/// Corrupts the configuration data of a message; messages without any are unchanged.
fn corrupt(mut envelope: Envelope, delivery: MessageDelivery) -> Envelope {
    let bytes = match &mut envelope.body {
        MessageBody::Offer(_, delta, _) => delta,
        MessageBody::PullAnswer(answer) if !answer.deltas.is_empty() => &mut answer.deltas[0],
        MessageBody::PullAnswer(answer) => &mut answer.snapshot,
        _ => return envelope,
    };
    if matches!(delivery, MessageDelivery::ByteFlipped) {
        if let Some(last) = bytes.last_mut() {
            *last ^= 0x10;
        }
    } else if let Ok(mut delta) = decompress::<Delta>(bytes) {
        match delta.puts.first_mut() {
            Some(record) => record.revision += 1,
            None => delta.retired.clear(),
        }
        *bytes = compress(&delta);
    }
    envelope
}
