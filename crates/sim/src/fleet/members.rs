//! Membership: probes, member updates and joins.

use agatedeck_control::{DisseminationRequest, DisseminationScope, MemberEffect};
use agatedeck_wire::{IndirectProbe, Member, Probe};
use rand::Rng;
use rand::seq::IteratorRandom;
use std::time::Duration;

use super::{ProcessEvent, SimulatedFleet, control_address};
use crate::message::{Answer, MEMBER_BYTES, Payload, Purpose, Request};
use crate::network::received_time;
use crate::store::StoreTreatment;

/// Maximum pause between two ticks of the failure detector, as in the node.
const MAX_TICK_PAUSE: Duration = Duration::from_millis(100);

/// Pause before a join is sent to another node.
const JOIN_RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Time from the read of the directory to the first join, which is a round of the join.
const FIRST_JOIN_PAUSE: Duration = Duration::from_secs(1);

/// Pause before the directory is read again.
const DIRECTORY_RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Slots of each target.
const TARGET_SLOTS: u32 = 16;

impl SimulatedFleet<'_> {
    pub(super) fn tick_detector(&mut self, host: usize) {
        let now = self.now();
        let Some(process) = &mut self.hosts[host].process else {
            return;
        };
        let mut effects = Vec::new();
        if process.detector.next_deadline().is_past(now) {
            effects = process.detector.tick(now, &mut self.rng);
        }
        let next = process.detector.next_deadline();
        self.apply_member_effects(host, effects);
        let next = next.min(now.after(MAX_TICK_PAUSE)).max(now);
        self.schedule_process(host, next, ProcessEvent::DetectorTick);
    }

    pub(super) fn apply_member_effects(&mut self, host: usize, effects: Vec<MemberEffect>) {
        for effect in effects {
            match effect {
                MemberEffect::Probe {
                    node,
                    address,
                    probe,
                } => {
                    let purpose = Purpose::Probe { node };
                    self.send_request(host, &address, Request::Probe(probe), purpose);
                }
                MemberEffect::RequestIndirectProbe { address, request } => {
                    let node = request.node.clone();
                    let purpose = Purpose::ProbeThrough { node };
                    self.send_request(host, &address, Request::ProbeThrough(request), purpose);
                }
                MemberEffect::Sync { address, sync } => {
                    let purpose = Purpose::Sync {
                        address: address.clone(),
                    };
                    self.send_request(host, &address, Request::Sync(sync), purpose);
                }
                MemberEffect::ReportUpdates(report) => {
                    let address = report.address.clone();
                    let request = Request::ReportUpdates(report.members.clone());
                    let purpose = Purpose::ReportUpdates(report);
                    self.send_request(host, &address, request, purpose);
                }
                MemberEffect::Broadcast(members) => {
                    let request = DisseminationRequest {
                        salt: self.rng.random(),
                        scope: DisseminationScope::AllRegions,
                    };
                    self.relay(host, request, &Payload::Rumor { members });
                }
                MemberEffect::ViewChanged => {}
            }
        }
    }

    /// Probes a node on behalf of another one.
    pub(super) fn probe_for(
        &mut self,
        host: usize,
        requester: usize,
        request: u64,
        indirect: &IndirectProbe,
    ) {
        let process = self.process(host);
        let local_member = process.detector.local_member();
        let probe = Probe {
            node: local_member.node.clone(),
            incarnation: local_member.incarnation,
            version: process.current_version(),
            ..Probe::default()
        };
        let purpose = Purpose::ProbeFor { requester, request };
        let address = indirect.control_address.clone();
        self.send_request(host, &address, Request::Probe(probe), purpose);
    }

    /// Writes the row of a host and reads the others.
    pub(super) fn read_directory(&mut self, host: usize) {
        let now = self.now();
        self.rows[host] = self.process(host).detector.local_member().clone();
        let is_served = self.store.treatments[host] == StoreTreatment::Answers;
        if !is_served || self.hosts[host].is_cut_from_store {
            let retry_at = now.after(DIRECTORY_RETRY_PAUSE);
            return self.schedule_process(host, retry_at, ProcessEvent::DirectoryRetry);
        }
        let call_time = self.store_delay(host) * 2 + self.store.answer_time;
        let bytes = self.rows.len() * MEMBER_BYTES;
        let answered_at = now.after(call_time * 2);
        let received_at = received_time(&mut self.hosts[host], bytes, answered_at);
        self.store.calls += 2;
        self.schedule_process(host, received_at, ProcessEvent::DirectoryRead);
    }

    pub(super) fn merge_directory(&mut self, host: usize) {
        let now = self.now();
        let mut members = self.rows.clone();
        members.remove(host);
        let process = self.process(host);
        process.knows_directory = true;
        let effects = process.detector.merge_member_list(&members, now);
        self.apply_member_effects(host, effects);
        self.start_serving(host);
        let join_at = now.after(FIRST_JOIN_PAUSE);
        self.schedule_process(host, join_at, ProcessEvent::JoinAgain);
    }

    /// Opens the target of a node.
    pub(super) fn register_target(&mut self, host: usize) {
        let now = self.now();
        let detector = &mut self.process(host).detector;
        let effects = detector.set_target("service", "", TARGET_SLOTS, false, now);
        self.apply_member_effects(host, effects);
    }

    /// Asks a random node for its members.
    pub(super) fn send_join(&mut self, host: usize) {
        if self.process(host).has_joined {
            return;
        }
        let others = (0..self.hosts.len()).filter(|other| *other != host);
        let Some(peer) = others.choose(&mut self.rng) else {
            return;
        };
        let member = self.process(host).detector.local_member().clone();
        self.send_request(
            host,
            &control_address(peer),
            Request::Join(member),
            Purpose::Join,
        );
    }

    pub(super) fn retry_join(&mut self, host: usize) {
        let retry_at = self.now().after(JOIN_RETRY_PAUSE);
        self.schedule_process(host, retry_at, ProcessEvent::JoinAgain);
    }

    pub(super) fn answer_join(&mut self, host: usize, member: &Member) -> Answer {
        let now = self.now();
        let process = self.process(host);
        let members = if process.knows_directory {
            process.detector.table().members().cloned().collect()
        } else {
            Vec::new()
        };
        let effects = process
            .detector
            .merge_updates(std::slice::from_ref(member), now);
        self.apply_member_effects(host, effects);
        Answer::Joined(members)
    }

    pub(super) fn finish_join(&mut self, host: usize, members: &[Member]) {
        if members.is_empty() {
            return self.retry_join(host);
        }
        let now = self.now();
        let process = self.process(host);
        process.has_joined = true;
        let effects = process.detector.merge_member_list(members, now);
        self.apply_member_effects(host, effects);
        let newest = members.iter().map(|member| member.version).max();
        self.observe_version(host, newest.unwrap_or(0));
        self.start_serving(host);
    }
}
