//! The hosts and the messages between them.

use std::collections::{BTreeMap, BTreeSet};

use agatedeck_clock::Instant;
use agatedeck_control::{
    CommitAction, CommitEvent, CommitOutcome, ConfigReplica, DisseminationHop, DisseminationPolicy,
    DisseminationRequest, DisseminationScope, FloorLedger, GateSettings, JoinEffect, JoinGate,
    JoinProcess, JoinSettings, MemberTable, PullReply, ReplicaSettings, TreeDissemination,
    VersionEffect, witnesses,
};
use agatedeck_records::{compress, decompress};
use agatedeck_wire::{
    Change, Delta, FloorAnswer, FloorRecord, Join, JoinAnswer, Member, MemberStatus, PullAnswer,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::acceptance::{Fate, PendingChange};
use super::store::{Store, Transaction};

/// Region and failure domain of each host. Four hosts share a domain, so that a host has peers
/// beside its two witnesses.
const PLACES: [(&str, &str); HOSTS] = [
    ("home", "home-a"),
    ("home", "home-a"),
    ("home", "home-a"),
    ("home", "home-a"),
    ("away", "away-a"),
    ("away", "away-b"),
];
pub(crate) const HOSTS: usize = 6;

#[derive(Clone, Debug)]
enum Body {
    Offer(u64, Vec<u8>, DisseminationHop),
    Pull(u64),
    PullAnswer(PullAnswer),
    RecordFloor(FloorRecord),
    FloorRecorded(u64),
    AskFloor(FloorRecord),
    FloorAnswer(FloorAnswer),
    Join(Join),
    JoinAnswer(JoinAnswer),
    /// The head's version as the store gave it; it raises the floor.
    Head(u64),
    Probe(Member),
    ProbeAnswer(u64),
}

#[derive(Clone, Debug)]
struct Envelope {
    from: usize,
    to: usize,
    /// Process that an answer belongs to; `None` for a request, which any process at the address
    /// takes.
    process: Option<u64>,
    body: Body,
}

/// What happens to a message.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Passage {
    Once,
    Twice,
    Lost,
    /// A record in the delta is altered; the stated digest stays.
    Altered,
    /// One byte is flipped.
    Flipped,
}

#[derive(Debug)]
struct Process {
    own: Member,
    holder: ConfigReplica,
    table: MemberTable,
    ledger: FloorLedger,
    gate: JoinGate,
    join: JoinProcess,
    /// Highest version in force since this process started.
    highest: u64,
    fetch: Option<u64>,
    pulling: bool,
    /// Highest version that witnesses were asked to record.
    highest_asked: u64,
    /// Witnesses whose answer is open, by version.
    asked: BTreeMap<u64, usize>,
    orders: BTreeSet<DisseminationRequest>,
    /// What this process was asked to remember, by the model's own count.
    recorded: BTreeMap<usize, u64>,
    pending: Option<PendingChange>,
    /// Whether the floor came from peers while none of them remembered what the host served: the
    /// gap that section 3 of the design page states.
    gap: bool,
}

#[derive(Debug, Default)]
struct Host {
    process: Option<Process>,
    incarnation: u64,
    frozen: bool,
    cut: bool,
    /// Highest version that calls were served by on this host.
    served: u64,
}

#[derive(Debug)]
pub(crate) struct World {
    now: Instant,
    rng: SmallRng,
    policy: TreeDissemination,
    pub(crate) store: Store,
    hosts: Vec<Host>,
    bag: Vec<Envelope>,
    late: Vec<Transaction>,
    submitted: Vec<Change>,
    /// Whether a node that reads only schema version 1 is live.
    pub(crate) old_reader: bool,
    /// Changes whose operators were told that nothing is or will be written.
    told_absent: BTreeSet<String>,
    /// Changes that an operator was told nothing certain about.
    unsettled: BTreeSet<String>,
}

fn name_of(host: usize) -> String {
    format!("n{host}")
}

/// Whether a host has peers in its domain. One without can have no witnesses, so that only the store
/// may name its floor.
fn has_peers(host: usize) -> bool {
    PLACES
        .iter()
        .filter(|place| place.1 == PLACES[host].1)
        .count()
        > 1
}

fn host_of(name: &str) -> usize {
    name[1..].parse().unwrap()
}

impl World {
    pub(crate) fn new() -> Self {
        let mut world = Self {
            now: Instant::from_millis(1),
            rng: SmallRng::seed_from_u64(1),
            policy: TreeDissemination {
                store_region: "home".to_owned(),
                ..TreeDissemination::default()
            },
            store: Store::default(),
            hosts: std::iter::repeat_with(Host::default).take(HOSTS).collect(),
            bag: Vec::new(),
            late: Vec::new(),
            submitted: Vec::new(),
            old_reader: false,
            told_absent: BTreeSet::new(),
            unsettled: BTreeSet::new(),
        };
        world.settle();
        world
    }

    fn process(&mut self, host: usize) -> Option<&mut Process> {
        self.hosts[host].process.as_mut()
    }

    fn runs(&self, host: usize) -> bool {
        self.hosts[host].process.is_some() && !self.hosts[host].frozen
    }

    fn connected(&self, one: usize, other: usize) -> bool {
        self.hosts[one].cut == self.hosts[other].cut
    }

    /// The platform stands on the side that is not cut off.
    fn store_answers(&self, host: usize) -> bool {
        !self.store.away && !self.hosts[host].cut
    }

    fn send(&mut self, from: usize, to: usize, body: Body) {
        let process = None;
        self.bag.push(Envelope {
            from,
            to,
            process,
            body,
        });
    }

    fn reply(&mut self, request: &Envelope, process: u64, body: Body) {
        let (from, to, process) = (request.to, request.from, Some(process));
        self.bag.push(Envelope {
            from,
            to,
            process,
            body,
        });
    }

    pub(crate) fn restart(&mut self, host: usize) {
        if self.hosts[host].process.is_some() {
            return;
        }
        self.hosts[host].incarnation += 1;
        let (region, domain) = PLACES[host];
        let own = Member {
            node: name_of(host),
            control_address: name_of(host),
            incarnation: self.hosts[host].incarnation,
            region: region.to_owned(),
            domain: domain.to_owned(),
            reads_schema: agatedeck_records::NEWEST_SCHEMA,
            ..Member::default()
        };
        let contacts: Vec<String> = (0..HOSTS).map(name_of).collect();
        let contacts: Vec<&str> = contacts.iter().map(String::as_str).collect();
        let mut join = JoinProcess::new(&own, &contacts, &JoinSettings::default());
        let effects = join.start(self.now, &mut self.rng);
        let mut table = MemberTable::default();
        table.merge(&own, self.now);
        self.hosts[host].process = Some(Process {
            holder: ConfigReplica::new(ReplicaSettings::default()).unwrap(),
            table,
            ledger: FloorLedger::new(domain),
            gate: JoinGate::new(&GateSettings::default()),
            join,
            highest: 0,
            fetch: None,
            pulling: false,
            highest_asked: 0,
            asked: BTreeMap::new(),
            orders: BTreeSet::new(),
            recorded: BTreeMap::new(),
            pending: None,
            gap: false,
            own,
        });
        self.carry_out_join(host, effects);
    }

    pub(crate) fn crash(&mut self, host: usize) {
        if let Some(process) = self.hosts[host].process.take()
            && let Some(pending) = process.pending
        {
            self.unsettled.insert(pending.change.change_id);
        }
        self.hosts[host].frozen = false;
        // What a process that is gone has yet to send of its own version is gone with it.
        self.bag.retain(|envelope| {
            envelope.from != host || !matches!(envelope.body, Body::RecordFloor(_) | Body::Probe(_))
        });
    }

    /// Passes the messages between a host and its witnesses, ahead of all others.
    pub(crate) fn pass_records(&mut self, host: usize) {
        for _ in 0..4 {
            let place = self.bag.iter().position(|envelope| match envelope.body {
                Body::RecordFloor(_) => envelope.from == host,
                Body::FloorRecorded(_) => envelope.to == host,
                _ => false,
            });
            if let Some(place) = place {
                self.pass(place, Passage::Once);
            }
        }
    }

    /// The store fails and the host is replaced at once; what it had sent is lost with it.
    pub(crate) fn replace_in_outage(&mut self, host: usize) {
        self.store.away = true;
        self.crash(host);
        let sent = self.bag.extract_if(.., |envelope| envelope.from == host);
        for envelope in sent.collect::<Vec<_>>() {
            self.lose(envelope);
        }
        self.restart(host);
    }

    pub(crate) fn freeze(&mut self, host: usize) {
        self.hosts[host].frozen = self.hosts[host].process.is_some();
    }

    pub(crate) fn thaw(&mut self, host: usize) {
        self.hosts[host].frozen = false;
        self.share_members();
    }

    pub(crate) fn cut(&mut self, hosts: u8) {
        for (index, host) in self.hosts.iter_mut().enumerate() {
            host.cut = hosts & (1 << index) != 0;
        }
        self.share_members();
    }

    pub(crate) fn declare_dead(&mut self, host: usize) {
        if self.hosts[host].process.is_some() {
            return;
        }
        let now = self.now;
        for peer in &mut self.hosts {
            let Some(process) = peer.process.as_mut().filter(|_| !peer.frozen) else {
                continue;
            };
            if let Some(known) = process.table.get(&name_of(host)).cloned() {
                let status = MemberStatus::Dead.into();
                process.table.merge(&Member { status, ..known }, now);
            }
        }
    }

    /// One gossip round: every node that has joined and runs learns what the others on its side
    /// know.
    fn share_members(&mut self) {
        let joined = |host: &Host| {
            !host.frozen
                && host
                    .process
                    .as_ref()
                    .is_some_and(|process| process.join.has_adopted())
        };
        let known: Vec<(bool, Vec<Member>)> = self
            .hosts
            .iter()
            .filter(|host| joined(host))
            .map(|host| {
                let table = &host.process.as_ref().unwrap().table;
                (host.cut, table.members().cloned().collect())
            })
            .collect();
        let now = self.now;
        for host in self.hosts.iter_mut().filter(|host| joined(host)) {
            let Some(process) = &mut host.process else {
                continue;
            };
            for member in known
                .iter()
                .filter(|(cut, _)| *cut == host.cut)
                .flat_map(|(_, all)| all)
            {
                process.table.merge(member, now);
            }
        }
    }

    pub(crate) fn advance(&mut self, ms: u64) {
        self.now = self.now.after(std::time::Duration::from_millis(ms));
        let now = self.now;
        for host in 0..HOSTS {
            if !self.runs(host) {
                continue;
            }
            let effects = self.process(host).unwrap().holder.tick(now);
            self.carry_out(host, effects);
            let mut rng = self.rng.clone();
            let effects = self.process(host).unwrap().join.tick(now, &mut rng);
            self.rng = rng;
            self.carry_out_join(host, effects);
        }
    }

    fn carry_out(&mut self, host: usize, effects: Vec<VersionEffect>) {
        for effect in effects {
            let Some(process) = self.process(host) else {
                return;
            };
            match effect {
                VersionEffect::RecordFloor { version, .. } => {
                    let peers = witnesses(&process.table, &process.own, 2);
                    let peers: Vec<usize> = peers.iter().map(|peer| host_of(&peer.node)).collect();
                    process.asked.insert(version, peers.len());
                    process.highest_asked = version;
                    for peer in &peers {
                        let node = name_of(host);
                        self.send(
                            host,
                            *peer,
                            Body::RecordFloor(FloorRecord { node, version }),
                        );
                    }
                    if peers.is_empty() {
                        self.witness_answered(host, version, 0);
                    }
                }
                VersionEffect::Activate(snapshot) => {
                    let version = snapshot.version();
                    process.own.version = version;
                    process.table.note_version(&name_of(host), version);
                    assert!(
                        version > process.highest,
                        "a node moved back to version {version}"
                    );
                    process.highest = version;
                    let asked = process.highest_asked >= version;
                    assert!(asked, "version {version} is in force with no witness asked");
                    self.store.oracle.check_snapshot(&snapshot);
                    self.version_held(host, version);
                }
                VersionEffect::PullAfter(version) => self.pull(host, version),
            }
        }
    }

    fn version_held(&mut self, host: usize, version: u64) {
        let (now, mut rng) = (self.now, self.rng.clone());
        let effects = self
            .process(host)
            .unwrap()
            .join
            .on_version(version, now, &mut rng);
        self.rng = rng;
        self.carry_out_join(host, effects);
    }

    fn witness_answered(&mut self, host: usize, version: u64, answers: usize) {
        let Some(process) = self.process(host) else {
            return;
        };
        let Some(open) = process.asked.get_mut(&version) else {
            return;
        };
        *open = open.saturating_sub(answers);
        if *open == 0 {
            process.asked.remove(&version);
            let effects = process.holder.on_witnesses_recorded(version);
            self.carry_out(host, effects);
        }
    }

    /// Asks the node that is farthest ahead among those that can be reached.
    fn pull(&mut self, host: usize, version: u64) {
        let ahead = |peer: &usize| self.hosts[*peer].process.as_ref().map(|peer| peer.highest);
        let peers = (0..HOSTS).filter(|peer| *peer != host && self.connected(host, *peer));
        let Some(peer) = peers.max_by_key(ahead) else {
            return;
        };
        let process = self.process(host).unwrap();
        if !process.pulling {
            process.pulling = true;
            self.send(host, peer, Body::Pull(version));
        }
    }

    fn carry_out_join(&mut self, host: usize, effects: Vec<JoinEffect>) {
        for effect in effects {
            match effect {
                JoinEffect::ReadHead => {
                    if self.store_answers(host) {
                        let version = self.store.head().0.version;
                        let process = Some(self.hosts[host].incarnation);
                        let body = Body::Head(version);
                        self.bag.push(Envelope {
                            from: host,
                            to: host,
                            process,
                            body,
                        });
                    }
                }
                JoinEffect::Join { address, join } => {
                    self.send(host, host_of(&address), Body::Join(join));
                }
                JoinEffect::AskFloor {
                    address, record, ..
                } => {
                    self.send(host, host_of(&address), Body::AskFloor(record));
                }
                JoinEffect::Adopt(members) => {
                    let now = self.now;
                    let process = self.process(host).unwrap();
                    for member in &members {
                        process.table.merge(member, now);
                        process.ledger.observe(member);
                    }
                    self.share_members();
                }
                JoinEffect::Fetch { floor } => {
                    let gap = has_peers(host) && !self.remembered_by_peers(host);
                    let process = self.process(host).unwrap();
                    process.fetch = Some(floor);
                    process.gap = gap;
                }
                JoinEffect::Serve => {
                    let process = self.process(host).unwrap();
                    process.fetch = None;
                    let floor = process.join.floor().unwrap();
                    process.holder.raise_floor(floor);
                }
                JoinEffect::Drain | JoinEffect::Stop => {}
            }
        }
    }

    /// Whether a process in the domain remembers the highest version served on `host`.
    fn remembered_by_peers(&self, host: usize) -> bool {
        let peers = (0..HOSTS).filter(|peer| *peer != host && PLACES[*peer].1 == PLACES[host].1);
        let mut processes = peers.filter_map(|peer| self.hosts[peer].process.as_ref());
        let served = self.hosts[host].served;
        processes.any(|process| process.recorded.get(&host) >= Some(&served))
    }

    /// Carries out the open fetch of a joining host: from a peer, then from the store.
    pub(crate) fn fetch(&mut self, host: usize, peer: usize) {
        if !self.runs(host) {
            return;
        }
        let Some(floor) = self.process(host).unwrap().fetch.take() else {
            return;
        };
        let held = self.process(host).unwrap().highest;
        if held < floor && peer != host && self.runs(peer) && self.connected(host, peer) {
            let answer = self.pull_answer(peer, held);
            self.take_pulled(host, &answer);
        }
        if self.process(host).unwrap().holder.latest().version() < floor {
            self.catch_up(host);
        }
        let held = self.process(host).unwrap().holder.latest().version();
        self.version_held(host, held);
        let (now, mut rng) = (self.now, self.rng.clone());
        let join = &mut self.process(host).unwrap().join;
        let effects = join.on_fetch_failed(now, &mut rng);
        self.rng = rng;
        self.carry_out_join(host, effects);
    }

    /// Takes in every version that the store holds; returns those with their deltas.
    fn catch_up(&mut self, host: usize) -> Option<Vec<(u64, Vec<u8>)>> {
        if !self.store_answers(host) {
            return None;
        }
        let tip = self.process(host).unwrap().holder.latest().version();
        let found = self.store.deltas_after(tip);
        for (version, delta) in &found {
            self.offer(host, *version, delta);
        }
        Some(found)
    }

    fn offer(&mut self, host: usize, version: u64, delta: &[u8]) -> bool {
        let now = self.now;
        let (verdict, effects) = self
            .process(host)
            .unwrap()
            .holder
            .offer(version, delta, now);
        self.carry_out(host, effects);
        !matches!(verdict, agatedeck_control::OfferResult::Refused(_))
    }

    fn spread(&mut self, host: usize, order: DisseminationRequest, delta: &[u8]) {
        let policy = self.policy.clone();
        let process = self.process(host).unwrap();
        if process.orders.insert(order) {
            let deliveries = policy.next_hops(&process.table, &process.own, order);
            self.send_deliveries(host, order.salt, delta, deliveries);
        }
    }

    fn send_deliveries(
        &mut self,
        host: usize,
        version: u64,
        delta: &[u8],
        all: Vec<DisseminationHop>,
    ) {
        for delivery in all {
            let to = host_of(&delivery.node);
            self.send(host, to, Body::Offer(version, delta.to_vec(), delivery));
        }
    }

    fn pull_answer(&self, host: usize, version: u64) -> PullAnswer {
        let holder = &self.hosts[host].process.as_ref().unwrap().holder;
        let (deltas, snapshot) = match holder.answer_pull(version) {
            PullReply::Deltas(deltas) => (deltas, Vec::new()),
            PullReply::Snapshot(snapshot) => (Vec::new(), snapshot),
        };
        PullAnswer {
            version: holder.current().version(),
            deltas,
            snapshot,
            digest: holder.current().digest().as_bytes().to_vec(),
        }
    }

    fn take_pulled(&mut self, host: usize, answer: &PullAnswer) {
        if answer.snapshot.is_empty() {
            let now = self.now;
            let holder = &mut self.process(host).unwrap().holder;
            let effects = holder.offer_pulled(&answer.deltas, now);
            self.carry_out(host, effects);
        } else {
            let now = self.now;
            let holder = &mut self.process(host).unwrap().holder;
            let (_, effects) = holder.offer_snapshot(&answer.snapshot, &answer.digest, now);
            self.carry_out(host, effects);
        }
    }

    pub(crate) fn poll(&mut self, host: usize) {
        if !self.runs(host) || !self.store_answers(host) {
            return;
        }
        let policy = self.policy.clone();
        let process = self.process(host).unwrap();
        if policy.poll_interval(&process.table, &process.own).is_none() {
            return;
        }
        for (version, delta) in self.catch_up(host).unwrap_or_default() {
            let scope = DisseminationScope::Region;
            self.spread(
                host,
                DisseminationRequest {
                    salt: version,
                    scope,
                },
                &delta,
            );
        }
    }

    pub(crate) fn probe(&mut self, host: usize, peer: usize) {
        if self.runs(host) && host != peer {
            let own = self.process(host).unwrap().own.clone();
            self.send(host, peer, Body::Probe(own));
        }
    }

    pub(crate) fn pass(&mut self, pick: usize, passage: Passage) {
        if self.bag.is_empty() {
            return;
        }
        let envelope = self.bag.swap_remove(pick % self.bag.len());
        let frozen = self.hosts[envelope.to].frozen;
        if frozen && !matches!(passage, Passage::Lost) {
            self.bag.push(envelope);
            return;
        }
        let arrives = self.connected(envelope.from, envelope.to)
            && self.hosts[envelope.to].process.is_some()
            && envelope
                .process
                .is_none_or(|process| process == self.hosts[envelope.to].incarnation);
        match passage {
            _ if !arrives => self.lose(envelope),
            Passage::Lost => self.lose(envelope),
            Passage::Once => self.deliver(&envelope),
            Passage::Twice => {
                // An answer comes over a connection, which does not repeat it.
                if envelope.process.is_none() {
                    self.bag.push(envelope.clone());
                }
                self.deliver(&envelope);
            }
            Passage::Altered | Passage::Flipped => self.deliver(&damaged(envelope, passage)),
        }
    }

    /// What the sender learns at its deadline from a message that is not answered.
    fn lose(&mut self, envelope: Envelope) {
        let Envelope {
            from,
            to,
            process,
            body,
        } = envelope;
        let same = process.is_none_or(|process| process == self.hosts[to].incarnation);
        match body {
            Body::Offer(version, delta, failed) if self.runs(from) => {
                let policy = self.policy.clone();
                let sender = self.process(from).unwrap();
                let next = policy.fallback_hops(&sender.table, &sender.own, version, &failed);
                self.send_deliveries(from, version, &delta, next);
            }
            Body::Pull(_) => {
                if let Some(process) = self.process(from) {
                    process.pulling = false;
                }
            }
            Body::PullAnswer(_) if same => {
                if let Some(process) = self.process(to) {
                    process.pulling = false;
                }
            }
            Body::RecordFloor(record) => self.witness_answered(from, record.version, 1),
            Body::FloorRecorded(version) if same => self.witness_answered(to, version, 1),
            Body::Join(_) => self.join_failed(from),
            Body::JoinAnswer(_) if same => self.join_failed(to),
            _ => {}
        }
    }

    fn join_failed(&mut self, host: usize) {
        let mut rng = self.rng.clone();
        let Some(process) = self.process(host) else {
            return;
        };
        let effects = process.join.on_join_failed(&mut rng);
        self.rng = rng;
        self.carry_out_join(host, effects);
    }

    fn deliver(&mut self, envelope: &Envelope) {
        let (from, host, now) = (envelope.from, envelope.to, self.now);
        let sender = self.hosts[from].incarnation;
        let mut rng = self.rng.clone();
        let process = self.process(host).unwrap();
        let mut join_effects = Vec::new();
        match &envelope.body {
            Body::Offer(version, delta, delivery) => {
                if self.offer(host, *version, delta) {
                    let (salt, scope) = (*version, delivery.scope);
                    self.spread(host, DisseminationRequest { salt, scope }, delta);
                }
            }
            Body::Pull(version) => {
                let answer = self.pull_answer(host, *version);
                self.reply(envelope, sender, Body::PullAnswer(answer));
            }
            Body::PullAnswer(answer) => {
                process.pulling = false;
                self.take_pulled(host, answer);
            }
            Body::RecordFloor(record) => {
                process.ledger.record(record);
                let recorded = process.recorded.entry(from).or_default();
                *recorded = record.version.max(*recorded);
                let version = record.version;
                self.reply(envelope, sender, Body::FloorRecorded(version));
            }
            Body::FloorRecorded(version) => self.witness_answered(host, *version, 1),
            Body::AskFloor(record) => {
                let answer = process.ledger.record(record);
                self.reply(envelope, sender, Body::FloorAnswer(answer));
            }
            Body::FloorAnswer(answer) => {
                let peer = name_of(from);
                join_effects = process.join.on_floor_answer(&peer, answer, now, &mut rng);
            }
            Body::Join(join) => {
                let served = process.holder.may_serve().then_some(process.highest);
                let (table, ledger) = (&process.table, &process.ledger);
                let gate = &mut process.gate;
                let answer = gate.answer(join, table, ledger, served.unwrap_or(0), now);
                if answer.accepted {
                    let joined = join.member.clone().unwrap();
                    process.table.merge(&joined, now);
                }
                self.reply(envelope, sender, Body::JoinAnswer(answer));
                self.share_members();
            }
            Body::JoinAnswer(answer) => {
                join_effects = process.join.on_join_answer(answer, now, &mut rng);
            }
            Body::Head(version) => {
                join_effects = process.join.on_head(Some(*version), now, &mut rng);
            }
            Body::Probe(member) => {
                process.ledger.observe(member);
                process.table.note_version(&member.node, member.version);
                let (tip, own) = (process.holder.latest().version(), process.highest);
                if member.version > tip {
                    self.pull(host, tip);
                }
                self.reply(envelope, sender, Body::ProbeAnswer(own));
            }
            Body::ProbeAnswer(version) => {
                let tip = process.holder.latest().version();
                if *version > tip {
                    self.pull(host, tip);
                }
            }
        }
        self.rng = rng;
        self.carry_out_join(host, join_effects);
    }

    /// An operator sends a change to a node; `make` gets the configuration that the node shows.
    pub(crate) fn submit(
        &mut self,
        host: usize,
        make: impl FnOnce(&agatedeck_records::ConfigSnapshot) -> Vec<agatedeck_wire::RecordWrite>,
    ) {
        let change_id = format!("c{}", self.submitted.len());
        let Some(process) = self
            .process(host)
            .filter(|process| process.pending.is_none())
        else {
            return;
        };
        let writes = make(process.holder.current());
        let change = Change {
            change_id,
            writes,
            ..Change::default()
        };
        process.pending = Some(PendingChange::new(&change));
        self.submitted.push(change);
    }

    /// An operator who was not told that a change is accepted sends it again.
    pub(crate) fn resend(&mut self, host: usize, pick: usize) {
        if self.submitted.is_empty() {
            return;
        }
        // The last few are the ones whose pending may still be open.
        let back = pick % self.submitted.len().min(3);
        let change = self.submitted[self.submitted.len() - 1 - back].clone();
        let Some(process) = self
            .process(host)
            .filter(|process| process.pending.is_none())
        else {
            return;
        };
        process.pending = Some(PendingChange::new(&change));
        self.told_absent.remove(&change.change_id);
        // What one node then says of its own attempt does not speak for the other attempts.
        self.unsettled.insert(change.change_id);
    }

    /// One of the hosts that are accepting a change.
    fn accepting(&self, pick: usize) -> Option<usize> {
        let open = |host: &usize| {
            let process = self.hosts[*host].process.as_ref();
            process.is_some_and(|process| process.pending.is_some())
        };
        let hosts: Vec<usize> = (0..HOSTS).filter(open).collect();
        (!hosts.is_empty()).then(|| hosts[pick % hosts.len()])
    }

    /// Carries out the next request to the store of one of the changes that are being accepted.
    pub(crate) fn proceed_with(&mut self, pick: usize, fate: Fate) {
        let Some(host) = self.accepting(pick) else {
            return;
        };
        self.proceed(host, fate);
        let pending = self
            .process(host)
            .and_then(|process| process.pending.as_ref());
        if pending.is_some_and(|pending| pending.next == CommitAction::MakePlan) {
            self.proceed(host, fate);
        }
    }

    /// Carries out the next action of the change that `host` accepts.
    pub(crate) fn proceed(&mut self, host: usize, fate: Fate) {
        if !self.runs(host) {
            return;
        }
        let Some(mut pending) = self.process(host).unwrap().pending.take() else {
            return;
        };
        let reached = self.store_answers(host);
        let fate = if reached { fate } else { Fate::Away };
        let event = match pending.next {
            CommitAction::ReadHead | CommitAction::RetryRead => {
                if matches!(fate, Fate::Answered) {
                    let head = self.store.head();
                    self.catch_up(host);
                    pending.head = Some(head);
                    CommitEvent::HeadRead
                } else {
                    CommitEvent::Unreachable
                }
            }
            CommitAction::MakePlan => {
                let process = self.process(host).unwrap();
                let tip = std::sync::Arc::clone(process.holder.latest());
                let mut live: Vec<Member> = process.table.live().cloned().collect();
                if self.old_reader {
                    live.push(Member {
                        node: "old".to_owned(),
                        reads_schema: 1,
                        ..Member::default()
                    });
                }
                pending.make_plan(&tip, &live)
            }
            CommitAction::Write => pending.write(&mut self.store, &mut self.late, fate),
            CommitAction::LookUp | CommitAction::RetryLookUp | CommitAction::Answer => {
                pending.look_up(&self.store, fate)
            }
        };
        self.go_on(host, pending, event);
    }

    /// Takes the change that `host` accepts to its end, without a fault.
    pub(crate) fn finish(&mut self, host: usize) {
        for _ in 0..32 {
            self.proceed(host, Fate::Answered);
        }
    }

    pub(crate) fn time_out(&mut self, pick: usize) {
        let Some(host) = self.accepting(pick).filter(|host| self.runs(*host)) else {
            return;
        };
        if let Some(pending) = self.process(host).unwrap().pending.take() {
            self.go_on(host, pending, CommitEvent::Deadline);
        }
    }

    fn go_on(&mut self, host: usize, mut pending: PendingChange, event: CommitEvent) {
        let Some(outcome) = pending.advance(event) else {
            self.process(host).unwrap().pending = Some(pending);
            return;
        };
        let id = pending.change.change_id.clone();
        let processes = self.hosts.iter().filter_map(|host| host.process.as_ref());
        let mut changes = processes.filter_map(|process| process.pending.as_ref());
        let elsewhere = changes.any(|pending| pending.change.change_id == id);
        match &outcome {
            CommitOutcome::Accepted(version) => {
                assert_eq!(self.store.oracle.version_of(&id), Some(*version));
                if let Some(plan) = pending.own_plan(*version) {
                    let delta = compress(&plan.delta);
                    let scope = DisseminationScope::AllRegions;
                    let salt = *version;
                    self.spread(host, DisseminationRequest { salt, scope }, &delta);
                    self.offer(host, salt, &delta);
                }
            }
            CommitOutcome::NotYetKnown => drop(self.unsettled.insert(id)),
            // Another node may be writing the same change.
            _ if elsewhere => drop(self.unsettled.insert(id)),
            CommitOutcome::Refused(refusal) => {
                self.store.oracle.check_refusal(refusal);
                self.told_absent.insert(id);
            }
            // Another attempt of the operator may have been written or still be on its way.
            CommitOutcome::Unreadable(_) | CommitOutcome::Unreachable => {
                if !self.unsettled.contains(&id) {
                    self.told_absent.insert(id);
                }
            }
        }
    }

    /// A write that was thought lost takes effect, if its conditions hold.
    pub(crate) fn land(&mut self, pick: usize) {
        if !self.late.is_empty() {
            let transaction = self.late.remove(pick % self.late.len());
            self.store.transact(&transaction);
        }
    }

    /// Checks what must hold after each step.
    pub(crate) fn check(&mut self) {
        for id in &self.told_absent {
            let found = self.store.oracle.version_of(id);
            assert_eq!(found, None, "change `{id}` was reported as not accepted");
        }
        for (index, host) in self.hosts.iter_mut().enumerate() {
            let Some(process) = &mut host.process else {
                continue;
            };
            let current = process.holder.current();
            assert_eq!(current.version(), process.highest);
            self.store.oracle.check_snapshot(current);
            if !process.holder.may_serve() {
                continue;
            }
            let version = current.version();
            assert!(
                version >= host.served || process.gap,
                "host {index} served version {} and serves {version} after a restart",
                host.served,
            );
            process.gap = false;
            host.served = version;
        }
    }

    /// Ends all faults and lets the nodes work until all hold the newest accepted version.
    pub(crate) fn settle(&mut self) {
        while !self.late.is_empty() {
            self.land(0);
            self.check();
        }
        self.store.away = false;
        self.old_reader = false;
        self.cut(0);
        for host in 0..HOSTS {
            self.thaw(host);
            self.restart(host);
        }
        for _ in 0..64 {
            for host in 0..HOSTS {
                self.finish(host);
                self.poll(host);
                self.probe(host, (host + 1) % HOSTS);
                let peer = self.rng.random_range(0..HOSTS);
                self.probe(host, peer);
                self.fetch(host, (host + 1) % HOSTS);
            }
            for _ in 0..1_000 {
                self.pass(0, Passage::Once);
                self.check();
            }
            self.share_members();
            self.advance(2_000);
            self.check();
            if self.converged() {
                return;
            }
        }
        let state = |host: &Host| {
            let process = host.process.as_ref()?;
            let (phase, adopted) = (process.join.state(), process.join.has_adopted());
            Some((
                process.highest,
                phase,
                adopted,
                process.table.live().count(),
            ))
        };
        let states: Vec<_> = self.hosts.iter().map(state).collect();
        panic!(
            "not all nodes hold version {}: {states:?}",
            self.store.oracle.newest()
        );
    }

    fn converged(&self) -> bool {
        let newest = self.store.oracle.newest();
        self.hosts.iter().all(|host| {
            host.process.as_ref().is_some_and(|process| {
                process.holder.may_serve()
                    && process.highest == newest
                    && process.table.live().count() == HOSTS
            })
        })
    }
}

/// The message with its configuration damaged; other messages are left as they are.
fn damaged(mut envelope: Envelope, passage: Passage) -> Envelope {
    let bytes = match &mut envelope.body {
        Body::Offer(_, delta, _) => delta,
        Body::PullAnswer(answer) if !answer.deltas.is_empty() => &mut answer.deltas[0],
        Body::PullAnswer(answer) => &mut answer.snapshot,
        _ => return envelope,
    };
    if matches!(passage, Passage::Flipped) {
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
