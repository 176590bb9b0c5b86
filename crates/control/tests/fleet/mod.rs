//! Several nodes whose messages lie in a bag that drops, duplicates and reorders them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use agatedeck_clock::Instant;
use agatedeck_control::{
    FailureDetector, FloorTable, JoinEffect, JoinMachine, JoinResponder, JoinSettings, JoinState,
    MemberEffect, MemberSettings, MemberTable, ResponderSettings, select_witnesses,
};
use agatedeck_wire::{
    FloorAnswer, FloorRecord, IndirectAnswer, IndirectProbe, Join, JoinAnswer, Member,
    MemberStatus, Probe, ProbeAnswer, Sync, SyncAnswer,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Failure domain and region of each host.
pub(crate) const PLACES: [(&str, &str); 8] = [
    ("d0", "r0"),
    ("d0", "r0"),
    ("d0", "r0"),
    ("d0", "r0"),
    ("d1", "r0"),
    ("d1", "r0"),
    ("d2", "r1"),
    ("d2", "r1"),
];
const STEP_MS: u64 = 50;
const RECORD_RETRY_MS: u64 = 500;

#[derive(Clone, Debug)]
enum Body {
    Probe(Probe),
    ProbeAnswer(ProbeAnswer),
    Indirect(IndirectProbe),
    IndirectAnswer(String, IndirectAnswer),
    Sync(Sync),
    SyncAnswer(SyncAnswer),
    Join(Join),
    JoinAnswer(JoinAnswer),
    Floor(FloorRecord),
    FloorAnswer(u64, FloorAnswer),
}

/// `life` is that of the sender of a request; its answer reaches only the same process.
#[derive(Clone, Debug)]
struct Envelope {
    from: usize,
    to: usize,
    life: u64,
    body: Body,
}

/// A version on its way into force, and the witnesses that have not recorded it yet.
#[derive(Clone, Debug)]
struct Recording {
    version: u64,
    awaited: BTreeSet<usize>,
    asked: Vec<(usize, u64)>,
    retry_at: Instant,
}

#[derive(Debug)]
struct Process {
    life: u64,
    detector: FailureDetector,
    join: JoinMachine,
    gate: JoinResponder,
    ledger: FloorTable,
    fetched: u64,
    held: u64,
    recording: Option<Recording>,
    helping: Vec<(String, usize, u64)>,
    adopted: Vec<Member>,
}

/// What the oracle remembers of a host over its restarts.
#[derive(Clone, Debug, Default)]
struct HostRecord {
    max_held: u64,
    /// Each witness of the highest version held, with its life at that time.
    witnesses: Vec<(usize, u64)>,
}

#[derive(Debug)]
struct Host {
    process: Option<Process>,
    frozen: bool,
    /// Newest version that reached this host.
    offered: u64,
    record: HostRecord,
    /// Highest incarnation and status seen in this process's table for each node.
    seen: BTreeMap<String, (u64, i32)>,
}

/// Percentages of messages that are lost, doubled or delayed by a step.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Weather {
    pub(crate) drop: u32,
    pub(crate) duplicate: u32,
    pub(crate) delay: u32,
}

#[derive(Debug)]
pub(crate) struct Fleet {
    hosts: Vec<Host>,
    bag: Vec<Envelope>,
    rng: SmallRng,
    now: Instant,
    lives: u64,
    head: u64,
    pub(crate) weather: Weather,
    pub(crate) store_up: bool,
    /// Bit i is the side of the partition that host i is on.
    pub(crate) sides: u8,
}

fn name(host: usize) -> String {
    format!("n{host}")
}

fn address(host: usize) -> String {
    format!("127.0.0.1:{}", 1000 + host)
}

fn host_at(address: &str) -> usize {
    let port: usize = address.rsplit(':').next().unwrap().parse().unwrap();
    port - 1000
}

fn settings() -> MemberSettings {
    MemberSettings {
        // Short, so that entries are forgotten within a test.
        dead_entry_retention_ms: 20_000,
        ..MemberSettings::default()
    }
}

impl Fleet {
    pub(crate) fn new(seed: u64) -> Self {
        let host = || Host {
            process: None,
            frozen: false,
            offered: 0,
            record: HostRecord::default(),
            seen: BTreeMap::new(),
        };
        let mut fleet = Self {
            hosts: PLACES.iter().map(|_| host()).collect(),
            bag: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            now: Instant::from_millis(1_000_000),
            lives: 0,
            head: 1,
            weather: Weather::default(),
            store_up: true,
            sides: 0,
        };
        for host in 0..PLACES.len() {
            fleet.start(host, false);
        }
        fleet
    }

    /// Starts a process with no memory; `clock_back` gives it an incarnation that is far too low.
    pub(crate) fn start(&mut self, host: usize, clock_back: bool) {
        let millis = self.now.as_micros() / 1_000;
        let own = Member {
            node: name(host),
            incarnation: if clock_back { millis / 2 } else { millis },
            domain: PLACES[host].0.to_owned(),
            region: PLACES[host].1.to_owned(),
            control_address: address(host),
            ..Member::default()
        };
        let contacts: Vec<String> = (0..PLACES.len()).map(address).collect();
        let contacts: Vec<&str> = contacts.iter().map(String::as_str).collect();
        self.lives += 1;
        let mut process = Process {
            life: self.lives,
            detector: FailureDetector::new(&own, &settings(), self.now, &mut self.rng),
            join: JoinMachine::new(&own, &contacts, &JoinSettings::default()),
            gate: JoinResponder::new(&ResponderSettings::default()),
            ledger: FloorTable::new(&own.domain),
            fetched: 0,
            held: 0,
            recording: None,
            helping: Vec::new(),
            adopted: Vec::new(),
        };
        process.detector.set_seed_addresses(&contacts);
        let effects = process.join.start(self.now, &mut self.rng);
        self.hosts[host].process = Some(process);
        self.hosts[host].frozen = false;
        self.hosts[host].seen.clear();
        self.carry_out_join(host, effects);
    }

    pub(crate) fn crash(&mut self, host: usize) {
        self.hosts[host].process = None;
        self.hosts[host].frozen = false;
    }

    pub(crate) fn freeze(&mut self, host: usize, frozen: bool) {
        self.hosts[host].frozen = frozen;
    }

    pub(crate) fn drain(&mut self, host: usize) {
        let now = self.now;
        if let Some(process) = &mut self.hosts[host].process {
            let effects = process.detector.drain(now);
            self.carry_out(host, effects);
        }
    }

    pub(crate) fn leave(&mut self, host: usize) {
        let now = self.now;
        if let Some(process) = &mut self.hosts[host].process {
            let effects = process.detector.leave(now);
            self.carry_out(host, effects);
        }
    }

    /// Publishes a version that only `host` is offered, or all hosts if that is `None`.
    pub(crate) fn publish(&mut self, host: Option<usize>) {
        if self.store_up {
            self.head += 1;
            let all = 0..self.hosts.len();
            for host in all.filter(|other| host.is_none_or(|host| host == *other)) {
                self.hosts[host].offered = self.head;
            }
        }
    }

    pub(crate) fn heal(&mut self) {
        self.sides = 0;
        self.weather = Weather::default();
    }

    fn connected(&self, a: usize, b: usize) -> bool {
        (self.sides >> a) & 1 == (self.sides >> b) & 1
    }

    fn send(&mut self, from: usize, to: usize, life: u64, body: Body) {
        let envelope = Envelope {
            from,
            to,
            life,
            body,
        };
        if self.rng.random_range(0..100) < self.weather.duplicate {
            self.bag.push(envelope.clone());
        }
        self.bag.push(envelope);
    }

    pub(crate) fn advance(&mut self, millis: u64) {
        let end = self.now.after(Duration::from_millis(millis));
        while self.now < end {
            self.now = self.now.after(Duration::from_millis(STEP_MS));
            for host in 0..self.hosts.len() {
                self.run(host);
            }
            self.deliver();
        }
    }

    /// Delivers what is in the bag in random order; answers travel in the same step.
    fn deliver(&mut self) {
        let mut late = Vec::new();
        while !self.bag.is_empty() {
            let at = self.rng.random_range(0..self.bag.len());
            let envelope = self.bag.swap_remove(at);
            let fate = self.rng.random_range(0..100);
            if !self.connected(envelope.from, envelope.to) || fate < self.weather.drop {
                continue;
            }
            if self.hosts[envelope.to].frozen || fate < self.weather.drop + self.weather.delay {
                late.push(envelope);
                continue;
            }
            self.receive(envelope);
        }
        self.bag = late;
    }

    /// One step of a process's own work.
    fn run(&mut self, host: usize) {
        let (now, offered) = (self.now, self.hosts[host].offered);
        if self.hosts[host].frozen {
            return;
        }
        let Some(process) = &mut self.hosts[host].process else {
            return;
        };
        let mut effects = Vec::new();
        if process.detector.next_deadline() <= now {
            effects = process.detector.tick(now, &mut self.rng);
        }
        let join_effects = process.join.tick(now, &mut self.rng);
        let serving = process.join.state() == JoinState::Serving;
        if serving && self.store_up {
            process.fetched = process.fetched.max(offered);
        }
        for member in process.detector.table().members() {
            process.ledger.observe(member);
        }
        self.carry_out(host, effects);
        self.carry_out_join(host, join_effects);
        self.record(host);
    }

    /// Records the fetched version with two witnesses, again while one of them does not answer.
    fn record(&mut self, host: usize) {
        let now = self.now;
        let lives: Vec<u64> = self.hosts.iter().map(life_of).collect();
        let Some(process) = &mut self.hosts[host].process else {
            return;
        };
        if process.held >= process.fetched {
            return;
        }
        let waits = process.recording.as_ref().is_some_and(|recording| {
            recording.version == process.fetched && recording.retry_at > now
        });
        if waits {
            return;
        }
        let chosen = select_witnesses(process.detector.table(), process.detector.local_member(), 2);
        let chosen: Vec<usize> = chosen.iter().map(|m| host_at(&m.control_address)).collect();
        process.recording = Some(Recording {
            version: process.fetched,
            awaited: chosen.iter().copied().collect(),
            asked: chosen.iter().map(|w| (*w, lives[*w])).collect(),
            retry_at: now.after(Duration::from_millis(RECORD_RETRY_MS)),
        });
        let (life, version) = (process.life, process.fetched);
        for witness in &chosen {
            let node = name(host);
            self.send(
                host,
                *witness,
                life,
                Body::Floor(FloorRecord { node, version }),
            );
        }
        if chosen.is_empty() {
            self.put_in_force(host);
        }
    }

    fn put_in_force(&mut self, host: usize) {
        let now = self.now;
        let entry = &mut self.hosts[host];
        let process = entry.process.as_mut().unwrap();
        let recording = process.recording.take().unwrap();
        assert!(recording.version >= process.held);
        process.held = recording.version;
        process.detector.set_version(recording.version);
        let effects = process
            .join
            .on_held_version(recording.version, now, &mut self.rng);
        let serves = effects.contains(&JoinEffect::Serve);
        if serves {
            self.check_floor(host);
        }
        let record = &mut self.hosts[host].record;
        if recording.version >= record.max_held {
            record.max_held = recording.version;
            record.witnesses = recording.asked;
        }
    }

    /// The join floor is not below what the host held, unless each witness of that version was
    /// restarted since or was not live in the view that the joining node was given.
    fn check_floor(&self, host: usize) {
        let record = &self.hosts[host].record;
        let process = self.hosts[host].process.as_ref().unwrap();
        let floor = process.join.floor().expect("a serving node has a floor");
        assert!(process.held >= floor, "n{host} serves below its floor");
        let remembers = |(witness, life): &(usize, u64)| {
            let listed = process.adopted.iter().any(|member| {
                member.node == name(*witness)
                    && !matches!(member.status(), MemberStatus::Left | MemberStatus::Dead)
            });
            life_of(&self.hosts[*witness]) == *life && listed
        };
        let gap = !record.witnesses.iter().any(remembers);
        assert!(
            floor >= record.max_held || gap,
            "n{host} held {} and joined with floor {floor}",
            record.max_held
        );
    }

    fn carry_out(&mut self, host: usize, effects: Vec<MemberEffect>) {
        let life = life_of(&self.hosts[host]);
        for effect in effects {
            let (address, body) = match effect {
                MemberEffect::Probe { address, probe, .. } => (address, Body::Probe(probe)),
                MemberEffect::RequestIndirectProbe { address, request } => {
                    (address, Body::Indirect(request))
                }
                MemberEffect::Sync { address, sync } => (address, Body::Sync(sync)),
                // The tree is left out, so that piggybacking and comparing must repair all.
                MemberEffect::Broadcast(_) | MemberEffect::ViewChanged => continue,
            };
            self.send(host, host_at(&address), life, body);
        }
    }

    fn carry_out_join(&mut self, host: usize, effects: Vec<JoinEffect>) {
        let life = life_of(&self.hosts[host]);
        let now = self.now;
        for effect in effects {
            match effect {
                JoinEffect::ReadHead => {
                    let head = self.store_up.then_some(self.head);
                    let process = self.hosts[host].process.as_mut().unwrap();
                    let effects = process.join.on_head(head, now, &mut self.rng);
                    self.carry_out_join(host, effects);
                }
                JoinEffect::Join { address, join } => {
                    self.send(host, host_at(&address), life, Body::Join(join));
                }
                JoinEffect::QueryFloor {
                    address, record, ..
                } => {
                    self.send(host, host_at(&address), life, Body::Floor(record));
                }
                JoinEffect::MergeMemberList(members) => {
                    let process = self.hosts[host].process.as_mut().unwrap();
                    let effects = process.detector.merge_member_list(&members, now);
                    process.adopted = members;
                    self.carry_out(host, effects);
                }
                JoinEffect::Fetch { floor } => self.fetch(host, floor),
                JoinEffect::Serve | JoinEffect::Drain | JoinEffect::Stop => {}
            }
        }
    }

    fn fetch(&mut self, host: usize, floor: u64) {
        let others = (0..self.hosts.len()).filter(|other| self.connected(host, *other));
        let held = others.filter_map(|other| Some(self.hosts[other].process.as_ref()?.held));
        let at_peers = held.max().unwrap_or(0);
        let found = if self.store_up { self.head } else { at_peers };
        let now = self.now;
        let process = self.hosts[host].process.as_mut().unwrap();
        if found >= floor {
            process.fetched = process.fetched.max(found);
        } else {
            process.join.on_fetch_failed(now, &mut self.rng);
        }
    }

    fn receive(&mut self, envelope: Envelope) {
        let Envelope {
            from,
            to,
            life,
            body,
        } = envelope;
        let now = self.now;
        let Some(process) = &mut self.hosts[to].process else {
            return;
        };
        let own_life = process.life == life;
        match body {
            Body::Probe(probe) => {
                let (answer, effects) = process.detector.on_probe(&probe, now);
                self.carry_out(to, effects);
                self.send(to, from, life, Body::ProbeAnswer(answer));
            }
            Body::ProbeAnswer(answer) if own_life => {
                let node = name(from);
                let effects = process.detector.on_probe_answer(&node, &answer, now);
                let helped: Vec<_> = process.helping.extract_if(.., |h| h.0 == node).collect();
                self.carry_out(to, effects);
                for (node, asker, asker_life) in helped {
                    let answer = IndirectAnswer { reached: true };
                    self.send(to, asker, asker_life, Body::IndirectAnswer(node, answer));
                }
            }
            Body::Indirect(request) => {
                process.helping.push((request.node.clone(), from, life));
                let effect = process.detector.on_indirect_probe(&request);
                self.carry_out(to, vec![effect]);
            }
            Body::IndirectAnswer(node, answer) if own_life => {
                process.detector.on_indirect_answer(&node, &answer);
            }
            Body::Sync(sync) => {
                let (answer, effects) = process.detector.on_sync(&sync, now);
                self.carry_out(to, effects);
                self.send(to, from, life, Body::SyncAnswer(answer));
            }
            Body::SyncAnswer(answer) if own_life => {
                let effects = process
                    .detector
                    .on_sync_answer(&address(from), &answer, now);
                self.carry_out(to, effects);
            }
            Body::Join(join) => {
                let table = process.detector.table();
                let answer =
                    process
                        .gate
                        .answer_join(&join, table, &process.ledger, process.held, now);
                let member = join.member.filter(|_| answer.accepted);
                let effects = process.detector.merge_updates(member.as_slice(), now);
                self.carry_out(to, effects);
                self.send(to, from, life, Body::JoinAnswer(answer));
            }
            Body::JoinAnswer(answer) if own_life => {
                let effects = process.join.on_join_answer(&answer, now, &mut self.rng);
                self.carry_out_join(to, effects);
            }
            Body::Floor(record) => {
                let version = record.version;
                let answer = process.ledger.record(&record);
                self.send(to, from, life, Body::FloorAnswer(version, answer));
            }
            Body::FloorAnswer(0, answer) if own_life => {
                let node = name(from);
                let effects = process
                    .join
                    .on_floor_answer(&node, &answer, now, &mut self.rng);
                self.carry_out_join(to, effects);
            }
            Body::FloorAnswer(version, _) if own_life => {
                if let Some(recording) = &mut process.recording
                    && recording.version == version
                    && recording.awaited.remove(&from)
                    && recording.awaited.is_empty()
                {
                    self.put_in_force(to);
                }
            }
            _ => {}
        }
    }

    /// What must hold at any moment.
    pub(crate) fn check(&mut self) {
        for host in &mut self.hosts {
            let Some(process) = &host.process else {
                continue;
            };
            let own = process.detector.local_member();
            assert_ne!(own.status(), MemberStatus::Dead);
            let mut rebuilt = MemberTable::default();
            let members: Vec<&Member> = process.detector.table().members().collect();
            for member in members.iter().rev() {
                let (incarnation, status) = (member.incarnation, member.status);
                let last = host.seen.insert(member.node.clone(), (incarnation, status));
                assert!(
                    last.is_none_or(|last| last <= (incarnation, status)),
                    "{} moved {} back from {last:?} to {:?}",
                    own.node,
                    member.node,
                    (incarnation, status)
                );
                rebuilt.merge(member, self.now);
            }
            assert_eq!(
                rebuilt.digest(),
                process.detector.table().digest(),
                "{} keeps a digest that differs from its entries",
                own.node
            );
        }
    }

    /// After healing and enough rounds, all running nodes agree on who is live.
    pub(crate) fn check_converged(&self) {
        let processes = self.hosts.iter().filter_map(|host| host.process.as_ref());
        let running: Vec<&Process> = processes
            .filter(|process| process.detector.local_member().status() != MemberStatus::Left)
            .collect();
        let domains: BTreeSet<&str> = running
            .iter()
            .map(|process| process.detector.local_member().domain.as_str())
            .collect();
        let expected: BTreeSet<(&str, u64, MemberStatus)> = running
            .iter()
            .map(|process| summary(process.detector.local_member()))
            .collect();
        for process in &running {
            let own = &process.detector.local_member().node;
            assert_eq!(process.join.state(), JoinState::Serving, "{own}");
            // A domain without a running node is treated as cut off: none of it is declared dead.
            let live = process.detector.table().live();
            let live: BTreeSet<_> = live
                .filter(|member| domains.contains(member.domain.as_str()))
                .map(summary)
                .collect();
            assert_eq!(live, expected, "view of {own}");
        }
    }
}

fn summary(member: &Member) -> (&str, u64, MemberStatus) {
    (member.node.as_str(), member.incarnation, member.status())
}

fn life_of(host: &Host) -> u64 {
    host.process.as_ref().map_or(0, |process| process.life)
}
