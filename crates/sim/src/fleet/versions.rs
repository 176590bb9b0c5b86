//! Versions at a node: dissemination, activation and pulls.

use std::sync::Arc;

use agatedeck_control::{
    DisseminationHop, DisseminationPolicy, DisseminationRequest, DisseminationScope, LikelySilence,
    OfferResult, PlannedHop, PullReply, PullRound, PullSettings, PullStep, RelaySettings,
    VersionEffect, VersionOrigin, plan_hops, select_pull_peers, select_witnesses,
};
use agatedeck_wire::{FloorRecord, Member};

use super::{ProcessEvent, SimulatedFleet};
use crate::message::{Answer, Payload, PulledVersions, Purpose, Request};
use crate::node_process::{CurrentPull, FloorCount};

/// Number of witnesses of a version, as in the node.
const WITNESS_COUNT: usize = 2;

impl SimulatedFleet<'_> {
    /// Relays a payload that a message holds or that begins at this node.
    pub(super) fn relay(&mut self, host: usize, request: DisseminationRequest, payload: &Payload) {
        let kind = payload.relayed_kind();
        let (now, policy) = (self.now(), self.policy.clone());
        let process = self.process(host);
        if let Payload::Heartbeat { node, .. } = payload
            && !process.heartbeat_filter.admits(node, now)
        {
            return;
        }
        if !process.relay_log.record(kind, request) {
            return;
        }
        let (table, local_member) = (process.detector.table(), process.detector.local_member());
        let hops = policy.next_hops(table, local_member, request);
        self.send_hops(host, hops, request.salt, payload);
    }

    fn send_hops(
        &mut self,
        host: usize,
        hops: Vec<DisseminationHop>,
        salt: u64,
        payload: &Payload,
    ) {
        let (now, policy) = (self.now(), self.policy.clone());
        let process = self.process(host);
        let (table, local_member) = (process.detector.table(), process.detector.local_member());
        let likely = LikelySilence {
            silences: &process.silences,
            min_silence: RelaySettings::default().min_silence_of(payload.relayed_kind()),
            now,
        };
        for hop in plan_hops(&policy, table, local_member, salt, hops, likely) {
            let request = Request::Disseminate {
                salt,
                scope: hop.hop.scope,
                payload: payload.clone(),
            };
            let address = hop.hop.address.clone();
            let payload = payload.clone();
            let purpose = Purpose::Hop { hop, salt, payload };
            self.send_request(host, &address, request, purpose);
        }
    }

    /// Sends a payload to the fallbacks of a hop that was not acknowledged.
    pub(super) fn handle_failed_hop(
        &mut self,
        host: usize,
        failed: &PlannedHop,
        salt: u64,
        payload: &Payload,
    ) {
        let (now, policy) = (self.now(), self.policy.clone());
        let process = self.process(host);
        process.silences.record_silence(&failed.hop.node, now);
        if failed.is_hedged {
            return;
        }
        let (table, local_member) = (process.detector.table(), process.detector.local_member());
        let hops = policy.fallback_hops(table, local_member, salt, &failed.hop);
        self.send_hops(host, hops, salt, payload);
    }

    pub(super) fn receive_dissemination(
        &mut self,
        host: usize,
        salt: u64,
        scope: DisseminationScope,
        payload: &Payload,
    ) {
        let now = self.now();
        match payload {
            Payload::Version { version, delta } => {
                let replica = &mut self.process(host).replica;
                let (result, effects) = replica.offer(*version, delta, VersionOrigin::Tree, now);
                self.apply_version_effects(host, effects);
                if matches!(result, OfferResult::Refused(_)) {
                    return;
                }
                if result == OfferResult::Behind {
                    self.trace_host(host, || format!("lacks the base of {version}"));
                }
            }
            Payload::Heartbeat {
                node,
                version,
                position,
            } => {
                self.handle_heartbeat(host, node, *version, *position);
                self.report_peer_version(host, *version);
            }
            Payload::Rumor { members } => {
                let effects = self.process(host).detector.on_broadcast(members, now);
                self.apply_member_effects(host, effects);
            }
        }
        self.relay(host, DisseminationRequest { salt, scope }, payload);
    }

    pub(super) fn apply_version_effects(&mut self, host: usize, effects: Vec<VersionEffect>) {
        for effect in effects {
            match effect {
                VersionEffect::RecordFloor { version, .. } => self.record_floor(host, version),
                VersionEffect::Activate {
                    snapshot, origin, ..
                } => {
                    let version = snapshot.version();
                    self.process(host).detector.set_version(version);
                    self.trace_host(host, || format!("has {version} in force, from {origin}"));
                    self.start_serving(host);
                }
                VersionEffect::PullAfter(version) => self.observe_version(host, version + 1),
            }
        }
    }

    /// Starts to serve, and to read, if the node has joined and has a version.
    pub(super) fn start_serving(&mut self, host: usize) {
        let now = self.now();
        let Some(process) = &mut self.hosts[host].process else {
            return;
        };
        let was_serving = process.reader.is_some();
        process.start_serving(now, &mut self.rng);
        if !was_serving && process.reader.is_some() {
            self.drive_reader(host);
        }
    }

    fn record_floor(&mut self, host: usize, version: u64) {
        let detector = &self.process(host).detector;
        let node = detector.local_member().node.clone();
        let (table, local_member) = (detector.table(), detector.local_member());
        let witnesses: Vec<String> = select_witnesses(table, local_member, WITNESS_COUNT)
            .into_iter()
            .map(|member| member.control_address.clone())
            .collect();
        let count = FloorCount {
            open: witnesses.len(),
            recorded: 0,
        };
        self.process(host).floor_counts.insert(version, count);
        if witnesses.is_empty() {
            return self.finish_floor(host, version);
        }
        for address in witnesses {
            let node = node.clone();
            let request = Request::RecordFloor(FloorRecord { node, version });
            self.send_request(host, &address, request, Purpose::RecordFloor { version });
        }
    }

    pub(super) fn count_witness(&mut self, host: usize, version: u64, is_recorded: bool) {
        let Some(count) = self.process(host).floor_counts.get_mut(&version) else {
            return;
        };
        count.open -= 1;
        count.recorded += usize::from(is_recorded);
        if count.open == 0 {
            self.finish_floor(host, version);
        }
    }

    fn finish_floor(&mut self, host: usize, version: u64) {
        let process = self.process(host);
        let count = process.floor_counts.remove(&version).unwrap_or_default();
        let effects = if count.recorded > 0 {
            process.replica.on_witnesses_recorded(version)
        } else {
            process.replica.on_witnesses_failed(version)
        };
        self.apply_version_effects(host, effects);
    }

    /// Handles a version that a peer holds, which may yet arrive over the tree.
    pub(super) fn report_peer_version(&mut self, host: usize, version: u64) {
        let process = self.process(host);
        if version <= process.current_version() || version <= process.latest_version() {
            return;
        }
        let ends_at = self.now().after(PullSettings::default().tree_grace_period);
        self.schedule_process(host, ends_at, ProcessEvent::GraceEnded(version));
    }

    /// Starts a pull if a version that another node holds is missing here.
    pub(super) fn observe_version(&mut self, host: usize, version: u64) {
        let process = self.process(host);
        let latest = process.latest_version();
        if process.pull_machine.on_report(version, latest) {
            self.start_pull(host);
        }
    }

    fn start_pull(&mut self, host: usize) {
        let (now, number) = (self.now(), self.draw_number());
        let Some(process) = &mut self.hosts[host].process else {
            return;
        };
        let version = process.latest_version();
        let silent = process.pull_machine.silent_peers(now);
        let detector = &process.detector;
        let peers = select_pull_peers(
            detector.table(),
            detector.local_member(),
            version,
            &silent,
            &mut self.rng,
        );
        let peers: Vec<Member> = peers.into_iter().cloned().collect();
        process.pull = Some(CurrentPull {
            number,
            version,
            round: PullRound::new(peers, PullSettings::default(), now),
        });
        self.trace_host(host, || format!("pulls the versions after {version}"));
        self.drive_pull(host);
    }

    /// Carries out the next steps of the pull in progress.
    pub(super) fn drive_pull(&mut self, host: usize) {
        let now = self.now();
        while let Some(pull) = &mut self.process(host).pull {
            let (round, version) = (pull.number, pull.version);
            match pull.round.poll(now) {
                PullStep::Ask(peer) => {
                    let node = peer.node.clone();
                    let purpose = Purpose::Pull { node, round };
                    let request = Request::Pull { version };
                    self.send_request(host, &peer.control_address, request, purpose);
                }
                PullStep::WaitUntil(at) => {
                    return self.schedule_process(host, at, ProcessEvent::PullTick);
                }
                PullStep::Unanswered => return self.end_unanswered_pull(host),
            }
        }
    }

    fn end_unanswered_pull(&mut self, host: usize) {
        self.trace_host(host, || "no peer returned a newer version".to_owned());
        let process = self.process(host);
        if let Some(pull) = process.pull.take() {
            process.unanswered_pulls.insert(pull.number);
            self.record_silent_peers(host, &pull);
        }
        let process = self.process(host);
        let latest = process.latest_version();
        if process.pull_machine.on_no_answer(latest) {
            self.start_pull(host);
        }
    }

    fn record_silent_peers(&mut self, host: usize, pull: &CurrentPull) {
        let now = self.now();
        let process = self.process(host);
        for node in pull.round.silent_peers(now) {
            process.pull_machine.record_silence(node, now);
        }
    }

    pub(super) fn handle_pulled(
        &mut self,
        host: usize,
        node: &str,
        round: u64,
        pulled: &PulledVersions,
    ) {
        let now = self.now();
        let process = self.process(host);
        if process.unanswered_pulls.contains(&round) {
            return self.apply_pulled(host, pulled);
        }
        let Some(mut pull) = process.pull.take_if(|pull| pull.number == round) else {
            return;
        };
        if pulled.version <= pull.version {
            pull.round.on_outdated_reply(node, now);
            process.pull = Some(pull);
            return self.drive_pull(host);
        }
        pull.round.on_newer_reply(node);
        self.record_silent_peers(host, &pull);
        self.apply_pulled(host, pulled);
        let process = self.process(host);
        let latest = process.latest_version();
        if process.pull_machine.on_answer(latest) {
            self.start_pull(host);
        }
    }

    fn apply_pulled(&mut self, host: usize, pulled: &PulledVersions) {
        let now = self.now();
        let replica = &mut self.process(host).replica;
        let effects = if pulled.snapshot.is_empty() {
            replica.offer_pulled(&pulled.deltas, now)
        } else {
            let origin = VersionOrigin::Pull;
            let (_, effects) =
                replica.offer_snapshot(&pulled.snapshot, &pulled.digest, origin, now);
            effects
        };
        self.apply_version_effects(host, effects);
    }

    pub(super) fn answer_pull(&mut self, host: usize, version: u64) -> Answer {
        let replica = &self.process(host).replica;
        let (deltas, snapshot) = match replica.answer_pull(version) {
            PullReply::Deltas(deltas) => (deltas, Vec::new()),
            PullReply::Snapshot(snapshot) => (Vec::new(), snapshot),
        };
        let current = replica.current();
        Answer::Pulled(PulledVersions {
            version: current.version(),
            deltas,
            snapshot,
            digest: current.digest().as_bytes().to_vec(),
        })
    }

    /// Sends a version that this node has read to others.
    pub(super) fn disseminate_version(&mut self, host: usize, version: u64, delta: Vec<u8>) {
        let is_home = self.hosts[host].region == super::STORE_REGION;
        let scope = if is_home || self.leads(host) {
            DisseminationScope::AllRegions
        } else {
            DisseminationScope::Region
        };
        let request = DisseminationRequest {
            salt: version,
            scope,
        };
        let delta = Arc::new(delta);
        self.relay(host, request, &Payload::Version { version, delta });
    }

    pub(super) fn trace_host(&mut self, host: usize, line: impl FnOnce() -> String) {
        let name = &self.hosts[host].name;
        if self.settings.keeps_timeline {
            let line = format!("{name} {}", line());
            self.trace(|| line);
        }
    }
}
