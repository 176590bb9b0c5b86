//! Model of a fleet over a network that drops, duplicates, delays and reorders messages.

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
pub(crate) const HOST_LOCALITIES: [(&str, &str); 8] = [
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
const FLOOR_RECORD_RETRY_MS: u64 = 500;

#[derive(Clone, Debug)]
enum MessageBody {
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

/// A message in flight. `process_id` is that of the sender of a request; only the same process
/// handles the answer.
#[derive(Clone, Debug)]
struct Envelope {
    from: usize,
    to: usize,
    process_id: u64,
    body: MessageBody,
}

/// A version to be activated, and the witnesses that have not recorded it yet.
#[derive(Clone, Debug)]
struct FloorRecording {
    version: u64,
    awaited_witnesses: BTreeSet<usize>,
    requested_witnesses: Vec<(usize, u64)>,
    retry_at: Instant,
}

#[derive(Debug)]
struct NodeProcess {
    process_id: u64,
    detector: FailureDetector,
    join: JoinMachine,
    responder: JoinResponder,
    floor_table: FloorTable,
    fetched_version: u64,
    active_version: u64,
    recording: Option<FloorRecording>,
    indirect_probes: Vec<(String, usize, u64)>,
    joined_members: Vec<Member>,
}

/// History of a host across its restarts, kept by the oracle.
#[derive(Clone, Debug, Default)]
struct HostHistory {
    max_active_version: u64,
    /// Each witness of the highest active version, with its process id at that time.
    witnesses: Vec<(usize, u64)>,
}

#[derive(Debug)]
struct HostState {
    process: Option<NodeProcess>,
    paused: bool,
    /// Newest version that was offered to this host.
    offered_version: u64,
    history: HostHistory,
    /// Last incarnation and status of each node in the table of this process. They never decrease.
    seen_statuses: BTreeMap<String, (u64, i32)>,
}

/// Percentages of messages that are dropped, duplicated or delayed by one step.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FaultPercentages {
    pub(crate) drop: u32,
    pub(crate) duplicate: u32,
    pub(crate) delay: u32,
}

#[derive(Debug)]
pub(crate) struct FleetModel {
    hosts: Vec<HostState>,
    in_flight: Vec<Envelope>,
    rng: SmallRng,
    now: Instant,
    last_process_id: u64,
    head_version: u64,
    pub(crate) fault_percentages: FaultPercentages,
    pub(crate) store_available: bool,
    /// Bit `i` is the side of the network partition that host `i` is on.
    pub(crate) partition_sides: u8,
}

fn node_name(host: usize) -> String {
    format!("n{host}")
}

fn address(host: usize) -> String {
    format!("127.0.0.1:{}", 1000 + host)
}

fn host_index(address: &str) -> usize {
    let port: usize = address.rsplit(':').next().unwrap().parse().unwrap();
    port - 1000
}

fn member_settings() -> MemberSettings {
    MemberSettings {
        // Short, so that entries expire within a test.
        dead_entry_retention_ms: 20_000,
        ..MemberSettings::default()
    }
}

impl FleetModel {
    pub(crate) fn new(seed: u64) -> Self {
        let host = || HostState {
            process: None,
            paused: false,
            offered_version: 0,
            history: HostHistory::default(),
            seen_statuses: BTreeMap::new(),
        };
        let mut fleet = Self {
            hosts: HOST_LOCALITIES.iter().map(|_| host()).collect(),
            in_flight: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            now: Instant::from_millis(1_000_000),
            last_process_id: 0,
            head_version: 1,
            fault_percentages: FaultPercentages::default(),
            store_available: true,
            partition_sides: 0,
        };
        for host in 0..HOST_LOCALITIES.len() {
            fleet.start(host, false);
        }
        fleet
    }

    /// Starts a process without persistent state; `clock_moved_back` gives it an incarnation far
    /// below that of its predecessor.
    pub(crate) fn start(&mut self, host: usize, clock_moved_back: bool) {
        let millis = self.now.as_micros() / 1_000;
        let local_member = Member {
            node: node_name(host),
            incarnation: if clock_moved_back { millis / 2 } else { millis },
            domain: HOST_LOCALITIES[host].0.to_owned(),
            region: HOST_LOCALITIES[host].1.to_owned(),
            control_address: address(host),
            ..Member::default()
        };
        let seed_addresses: Vec<String> = (0..HOST_LOCALITIES.len()).map(address).collect();
        let seed_addresses: Vec<&str> = seed_addresses.iter().map(String::as_str).collect();
        self.last_process_id += 1;
        let mut process = NodeProcess {
            process_id: self.last_process_id,
            detector: FailureDetector::new(
                &local_member,
                &member_settings(),
                self.now,
                &mut self.rng,
            ),
            join: JoinMachine::new(&local_member, &seed_addresses, &JoinSettings::default()),
            responder: JoinResponder::new(&ResponderSettings::default()),
            floor_table: FloorTable::new(&local_member.domain),
            fetched_version: 0,
            active_version: 0,
            recording: None,
            indirect_probes: Vec::new(),
            joined_members: Vec::new(),
        };
        process.detector.set_seed_addresses(&seed_addresses);
        let effects = process.join.start(self.now, &mut self.rng);
        self.hosts[host].process = Some(process);
        self.hosts[host].paused = false;
        self.hosts[host].seen_statuses.clear();
        self.apply_join_effects(host, effects);
    }

    pub(crate) fn crash(&mut self, host: usize) {
        self.hosts[host].process = None;
        self.hosts[host].paused = false;
    }

    pub(crate) fn set_paused(&mut self, host: usize, paused: bool) {
        self.hosts[host].paused = paused;
    }

    pub(crate) fn drain(&mut self, host: usize) {
        let now = self.now;
        if let Some(process) = &mut self.hosts[host].process {
            let effects = process.detector.drain(now);
            self.apply_effects(host, effects);
        }
    }

    pub(crate) fn leave(&mut self, host: usize) {
        let now = self.now;
        if let Some(process) = &mut self.hosts[host].process {
            let effects = process.detector.leave(now);
            self.apply_effects(host, effects);
        }
    }

    /// Publishes a new head version and offers it to `host`, or to all hosts if that is `None`.
    pub(crate) fn publish_version(&mut self, host: Option<usize>) {
        if self.store_available {
            self.head_version += 1;
            let all = 0..self.hosts.len();
            for host in all.filter(|other| host.is_none_or(|host| host == *other)) {
                self.hosts[host].offered_version = self.head_version;
            }
        }
    }

    pub(crate) fn clear_faults(&mut self) {
        self.partition_sides = 0;
        self.fault_percentages = FaultPercentages::default();
    }

    fn connected(&self, one: usize, other: usize) -> bool {
        (self.partition_sides >> one) & 1 == (self.partition_sides >> other) & 1
    }

    fn send(&mut self, from: usize, to: usize, process_id: u64, body: MessageBody) {
        let envelope = Envelope {
            from,
            to,
            process_id,
            body,
        };
        if self.rng.random_range(0..100) < self.fault_percentages.duplicate {
            self.in_flight.push(envelope.clone());
        }
        self.in_flight.push(envelope);
    }

    pub(crate) fn advance(&mut self, millis: u64) {
        let end = self.now.after(Duration::from_millis(millis));
        while self.now < end {
            self.now = self.now.after(Duration::from_millis(STEP_MS));
            for host in 0..self.hosts.len() {
                self.run_host(host);
            }
            self.deliver_messages();
        }
    }

    /// Delivers the messages in flight in random order; answers are delivered within the same step.
    fn deliver_messages(&mut self) {
        let mut delayed = Vec::new();
        while !self.in_flight.is_empty() {
            let index = self.rng.random_range(0..self.in_flight.len());
            let envelope = self.in_flight.swap_remove(index);
            let percentile = self.rng.random_range(0..100);
            if !self.connected(envelope.from, envelope.to)
                || percentile < self.fault_percentages.drop
            {
                continue;
            }
            if self.hosts[envelope.to].paused
                || percentile < self.fault_percentages.drop + self.fault_percentages.delay
            {
                delayed.push(envelope);
                continue;
            }
            self.handle_message(envelope);
        }
        self.in_flight = delayed;
    }

    /// Runs one step of the process of a host.
    fn run_host(&mut self, host: usize) {
        let (now, offered_version) = (self.now, self.hosts[host].offered_version);
        if self.hosts[host].paused {
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
        if serving && self.store_available {
            process.fetched_version = process.fetched_version.max(offered_version);
        }
        for member in process.detector.table().members() {
            process.floor_table.observe(member);
        }
        self.apply_effects(host, effects);
        self.apply_join_effects(host, join_effects);
        self.record_floor(host);
    }

    /// Records the fetched version with two witnesses, and retries until both have answered.
    fn record_floor(&mut self, host: usize) {
        let now = self.now;
        let process_ids: Vec<u64> = self.hosts.iter().map(process_id_of).collect();
        let Some(process) = &mut self.hosts[host].process else {
            return;
        };
        if process.active_version >= process.fetched_version {
            return;
        }
        let is_waiting = process.recording.as_ref().is_some_and(|recording| {
            recording.version == process.fetched_version && recording.retry_at > now
        });
        if is_waiting {
            return;
        }
        let witnesses =
            select_witnesses(process.detector.table(), process.detector.local_member(), 2);
        let witness_hosts: Vec<usize> = witnesses
            .iter()
            .map(|member| host_index(&member.control_address))
            .collect();
        process.recording = Some(FloorRecording {
            version: process.fetched_version,
            awaited_witnesses: witness_hosts.iter().copied().collect(),
            requested_witnesses: witness_hosts
                .iter()
                .map(|witness| (*witness, process_ids[*witness]))
                .collect(),
            retry_at: now.after(Duration::from_millis(FLOOR_RECORD_RETRY_MS)),
        });
        let (process_id, version) = (process.process_id, process.fetched_version);
        for witness in &witness_hosts {
            let node = node_name(host);
            self.send(
                host,
                *witness,
                process_id,
                MessageBody::Floor(FloorRecord { node, version }),
            );
        }
        if witness_hosts.is_empty() {
            self.activate_version(host);
        }
    }

    fn activate_version(&mut self, host: usize) {
        let now = self.now;
        let entry = &mut self.hosts[host];
        let process = entry.process.as_mut().unwrap();
        let recording = process.recording.take().unwrap();
        assert!(recording.version >= process.active_version);
        process.active_version = recording.version;
        process.detector.set_version(recording.version);
        let effects = process
            .join
            .on_held_version(recording.version, now, &mut self.rng);
        let is_serving = effects.contains(&JoinEffect::Serve);
        if is_serving {
            self.check_join_floor(host);
        }
        let history = &mut self.hosts[host].history;
        if recording.version >= history.max_active_version {
            history.max_active_version = recording.version;
            history.witnesses = recording.requested_witnesses;
        }
    }

    /// Checks that the join floor is not below the highest version that was active on the host,
    /// unless each witness of that version was restarted since or is not live in the member list
    /// that the joining node received.
    fn check_join_floor(&self, host: usize) {
        let history = &self.hosts[host].history;
        let process = self.hosts[host].process.as_ref().unwrap();
        let floor = process.join.floor().expect("a serving node has a floor");
        assert!(
            process.active_version >= floor,
            "n{host} serves a version below its floor"
        );
        let still_recorded = |(witness, process_id): &(usize, u64)| {
            let listed = process.joined_members.iter().any(|member| {
                member.node == node_name(*witness)
                    && !matches!(member.status(), MemberStatus::Left | MemberStatus::Dead)
            });
            process_id_of(&self.hosts[*witness]) == *process_id && listed
        };
        let is_known_gap = !history.witnesses.iter().any(still_recorded);
        assert!(
            floor >= history.max_active_version || is_known_gap,
            "n{host} had active version {} and joined with floor {floor}",
            history.max_active_version
        );
    }

    fn apply_effects(&mut self, host: usize, effects: Vec<MemberEffect>) {
        let process_id = process_id_of(&self.hosts[host]);
        for effect in effects {
            let (address, body) = match effect {
                MemberEffect::Probe { address, probe, .. } => (address, MessageBody::Probe(probe)),
                MemberEffect::RequestIndirectProbe { address, request } => {
                    (address, MessageBody::Indirect(request))
                }
                MemberEffect::Sync { address, sync } => (address, MessageBody::Sync(sync)),
                // Without the dissemination tree, piggybacked updates and anti-entropy must carry
                // every update.
                MemberEffect::ReportUpdates(_)
                | MemberEffect::Broadcast(_)
                | MemberEffect::ViewChanged => continue,
            };
            self.send(host, host_index(&address), process_id, body);
        }
    }

    fn apply_join_effects(&mut self, host: usize, effects: Vec<JoinEffect>) {
        let process_id = process_id_of(&self.hosts[host]);
        let now = self.now;
        for effect in effects {
            match effect {
                JoinEffect::ReadHead => {
                    let head = self.store_available.then_some(self.head_version);
                    let process = self.hosts[host].process.as_mut().unwrap();
                    let effects = process.join.on_head(head, now, &mut self.rng);
                    self.apply_join_effects(host, effects);
                }
                JoinEffect::Join { address, join } => {
                    self.send(
                        host,
                        host_index(&address),
                        process_id,
                        MessageBody::Join(join),
                    );
                }
                JoinEffect::QueryFloor {
                    address, record, ..
                } => {
                    self.send(
                        host,
                        host_index(&address),
                        process_id,
                        MessageBody::Floor(record),
                    );
                }
                JoinEffect::MergeMemberList(members) => {
                    let process = self.hosts[host].process.as_mut().unwrap();
                    let effects = process.detector.merge_member_list(&members, now);
                    process.joined_members = members;
                    self.apply_effects(host, effects);
                }
                JoinEffect::Fetch { floor } => self.fetch_version(host, floor),
                JoinEffect::Serve | JoinEffect::Drain | JoinEffect::Stop => {}
            }
        }
    }

    fn fetch_version(&mut self, host: usize, floor: u64) {
        let others = (0..self.hosts.len()).filter(|other| self.connected(host, *other));
        let active_versions =
            others.filter_map(|other| Some(self.hosts[other].process.as_ref()?.active_version));
        let newest_at_peers = active_versions.max().unwrap_or(0);
        let available = if self.store_available {
            self.head_version
        } else {
            newest_at_peers
        };
        let now = self.now;
        let process = self.hosts[host].process.as_mut().unwrap();
        if available >= floor {
            process.fetched_version = process.fetched_version.max(available);
        } else {
            process.join.on_fetch_failed(now, &mut self.rng);
        }
    }

    fn handle_message(&mut self, envelope: Envelope) {
        let Envelope {
            from,
            to,
            process_id,
            body,
        } = envelope;
        let now = self.now;
        let Some(process) = &mut self.hosts[to].process else {
            return;
        };
        let is_same_process = process.process_id == process_id;
        match body {
            MessageBody::Probe(probe) => {
                let (answer, effects) = process.detector.on_probe(&probe, now);
                self.apply_effects(to, effects);
                self.send(to, from, process_id, MessageBody::ProbeAnswer(answer));
            }
            MessageBody::ProbeAnswer(answer) if is_same_process => {
                let node = node_name(from);
                let effects = process.detector.on_probe_answer(&node, &answer, now);
                let answered_probes: Vec<_> = process
                    .indirect_probes
                    .extract_if(.., |probe| probe.0 == node)
                    .collect();
                self.apply_effects(to, effects);
                for (node, requester, requester_process_id) in answered_probes {
                    let answer = IndirectAnswer { reached: true };
                    let body = MessageBody::IndirectAnswer(node, answer);
                    self.send(to, requester, requester_process_id, body);
                }
            }
            MessageBody::Indirect(request) => {
                process
                    .indirect_probes
                    .push((request.node.clone(), from, process_id));
                let effect = process.detector.on_indirect_probe(&request);
                self.apply_effects(to, vec![effect]);
            }
            MessageBody::IndirectAnswer(node, answer) if is_same_process => {
                process.detector.on_indirect_answer(&node, &answer);
            }
            MessageBody::Sync(sync) => {
                let (answer, effects) = process.detector.on_sync(&sync, now);
                self.apply_effects(to, effects);
                self.send(to, from, process_id, MessageBody::SyncAnswer(answer));
            }
            MessageBody::SyncAnswer(answer) if is_same_process => {
                let effects = process
                    .detector
                    .on_sync_answer(&address(from), &answer, now);
                self.apply_effects(to, effects);
            }
            MessageBody::Join(join) => {
                let table = process.detector.table();
                let answer = process.responder.answer_join(
                    &join,
                    table,
                    &process.floor_table,
                    process.active_version,
                    now,
                );
                let member = join.member.filter(|_| answer.accepted);
                let effects = process.detector.merge_updates(member.as_slice(), now);
                self.apply_effects(to, effects);
                self.send(to, from, process_id, MessageBody::JoinAnswer(answer));
            }
            MessageBody::JoinAnswer(answer) if is_same_process => {
                let effects = process.join.on_join_answer(&answer, now, &mut self.rng);
                self.apply_join_effects(to, effects);
            }
            MessageBody::Floor(record) => {
                let version = record.version;
                let answer = process.floor_table.record(&record);
                let body = MessageBody::FloorAnswer(version, answer);
                self.send(to, from, process_id, body);
            }
            MessageBody::FloorAnswer(0, answer) if is_same_process => {
                let node = node_name(from);
                let effects = process
                    .join
                    .on_floor_answer(&node, &answer, now, &mut self.rng);
                self.apply_join_effects(to, effects);
            }
            MessageBody::FloorAnswer(version, _) if is_same_process => {
                if let Some(recording) = &mut process.recording
                    && recording.version == version
                    && recording.awaited_witnesses.remove(&from)
                    && recording.awaited_witnesses.is_empty()
                {
                    self.activate_version(to);
                }
            }
            _ => {}
        }
    }

    /// Checks the invariants that hold after each step.
    pub(crate) fn check_invariants(&mut self) {
        for host in &mut self.hosts {
            let Some(process) = &host.process else {
                continue;
            };
            let local_member = process.detector.local_member();
            assert_ne!(local_member.status(), MemberStatus::Dead);
            let mut rebuilt = MemberTable::default();
            let members: Vec<&Member> = process.detector.table().members().collect();
            for member in members.iter().rev() {
                let (incarnation, status) = (member.incarnation, member.status);
                let last = host
                    .seen_statuses
                    .insert(member.node.clone(), (incarnation, status));
                assert!(
                    last.is_none_or(|last| last <= (incarnation, status)),
                    "{} moved the status of {} back from {last:?} to {:?}",
                    local_member.node,
                    member.node,
                    (incarnation, status)
                );
                rebuilt.merge(member, self.now);
            }
            assert_eq!(
                rebuilt.digest(),
                process.detector.table().digest(),
                "digest of the member table of {} differs from its entries",
                local_member.node
            );
        }
    }

    /// Checks that all running nodes agree on the live members. Expects that faults have ended and
    /// enough rounds have passed.
    pub(crate) fn check_converged(&self) {
        let processes = self.hosts.iter().filter_map(|host| host.process.as_ref());
        let running: Vec<&NodeProcess> = processes
            .filter(|process| process.detector.local_member().status() != MemberStatus::Left)
            .collect();
        let domains: BTreeSet<&str> = running
            .iter()
            .map(|process| process.detector.local_member().domain.as_str())
            .collect();
        let expected: BTreeSet<(&str, u64, MemberStatus)> = running
            .iter()
            .map(|process| liveness_entry(process.detector.local_member()))
            .collect();
        for process in &running {
            let node = &process.detector.local_member().node;
            assert_eq!(
                process.join.state(),
                JoinState::Serving,
                "join state of {node}"
            );
            // A domain without a running node is taken to be partitioned off: none of its members
            // is declared dead.
            let live = process.detector.table().live();
            let live: BTreeSet<_> = live
                .filter(|member| domains.contains(member.domain.as_str()))
                .map(liveness_entry)
                .collect();
            assert_eq!(live, expected, "live members in the table of {node}");
        }
    }
}

fn liveness_entry(member: &Member) -> (&str, u64, MemberStatus) {
    (member.node.as_str(), member.incarnation, member.status())
}

fn process_id_of(host: &HostState) -> u64 {
    host.process
        .as_ref()
        .map_or(0, |process| process.process_id)
}
