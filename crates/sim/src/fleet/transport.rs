//! Requests between nodes and their answers.

use std::time::Duration;

use agatedeck_control::{PullSettings, RelaySettings};
use agatedeck_wire::IndirectAnswer;

use super::{Event, ProcessEvent, ProcessId, SimulatedFleet, host_at};
use crate::message::{Answer, Envelope, Payload, Purpose, Request};
use crate::network::{arrival_time, delay_between, received_time};

/// Timeout of a request for missing versions, as in the node.
const PULL_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout of a report to a collector, as in the node.
const REPORT_TIMEOUT: Duration = Duration::from_millis(200);

/// Timeout of a probe, as in the node.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout of an anti-entropy exchange, an indirect probe and a join, as in the node.
const SYNC_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout of a floor record, which is that of the witnesses.
const FLOOR_TIMEOUT: Duration = Duration::from_millis(150);

impl SimulatedFleet<'_> {
    /// Sends a request to the node at `address`.
    pub(super) fn send_request(
        &mut self,
        from: usize,
        address: &str,
        request: Request,
        purpose: Purpose,
    ) {
        let Some(to) = host_at(address) else {
            return;
        };
        let number = self.draw_number();
        let timeout = request_timeout(&request);
        self.process(from).requests.insert(number, purpose);
        let deadline = self.now().after(timeout);
        self.schedule_process(from, deadline, ProcessEvent::RequestTimeout(number));
        let envelope = Envelope::Request {
            from,
            number,
            request,
        };
        self.send(from, to, envelope);
    }

    pub(super) fn send_answer(&mut self, from: usize, to: usize, number: u64, answer: Answer) {
        self.send(from, to, Envelope::Answer { number, answer });
    }

    fn send(&mut self, from: usize, to: usize, envelope: Envelope) {
        let now = self.now();
        self.report.count_message(envelope.kind(), now);
        self.hosts[from].sending_work += self.settings.costs.message;
        // What is sent into a cut is lost: the connection is given up before it heals.
        if self.hosts[from].cut_group != self.hosts[to].cut_group {
            return;
        }
        let size = &self.settings.config_size;
        let bytes = envelope.size(size.delta_bytes, size.snapshot_bytes);
        let delay = delay_between(&self.settings.delays, &self.hosts[from], &self.hosts[to]);
        let sender = &mut self.hosts[from];
        let arrival = arrival_time(sender, bytes, delay, now, &mut self.rng);
        self.schedule(arrival, Event::ReachesLink(to, envelope));
    }

    pub(super) fn receive_message(&mut self, host: usize, envelope: Envelope) {
        let now = self.now();
        if self.hosts[host].process.is_none() {
            if let Envelope::Request { from, number, .. } = envelope
                && self.hosts[host].refuses_connections
            {
                let delay =
                    delay_between(&self.settings.delays, &self.hosts[host], &self.hosts[from]);
                let refusal = Envelope::Refused { number };
                self.schedule(now.after(delay), Event::ReachesLink(from, refusal));
            }
            return;
        }
        let size = &self.settings.config_size;
        let bytes = envelope.size(size.delta_bytes, size.snapshot_bytes);
        let received_at = received_time(&mut self.hosts[host], bytes, now);
        self.schedule_process(host, received_at, ProcessEvent::Received(envelope));
    }

    /// Lets a received message wait for the processor and the work on it.
    pub(super) fn queue_for_processor(&mut self, id: ProcessId, envelope: Envelope) {
        let work = self.settings.costs.message + self.version_work(id.host, &envelope);
        self.queue_work(id, work, ProcessEvent::Handle(envelope));
    }

    /// Work on the versions in a message.
    fn version_work(&mut self, host: usize, envelope: &Envelope) -> Duration {
        let costs = self.settings.costs;
        let process = self.process(host);
        match envelope {
            Envelope::Request {
                request:
                    Request::Disseminate {
                        payload: Payload::Version { version, .. },
                        ..
                    },
                ..
            } if *version > process.latest_version() => costs.apply,
            Envelope::Request {
                request: Request::Pull { version },
                ..
            } if *version < process.current_version()
                && process.compressed_version < process.current_version() =>
            {
                process.compressed_version = process.current_version();
                costs.compress
            }
            Envelope::Answer {
                answer: Answer::Pulled(pulled),
                ..
            } => {
                let count = pulled.deltas.len() + usize::from(!pulled.snapshot.is_empty());
                costs.apply * u32::try_from(count).unwrap_or(u32::MAX)
            }
            _ => Duration::ZERO,
        }
    }

    pub(super) fn handle_message(&mut self, host: usize, envelope: Envelope) {
        match envelope {
            Envelope::Request {
                from,
                number,
                request,
            } => self.handle_request(host, from, number, request),
            Envelope::Answer { number, answer } => {
                if let Some(purpose) = self.process(host).requests.remove(&number) {
                    self.handle_answer(host, purpose, answer);
                }
            }
            Envelope::Refused { number } => self.fail_request(host, number),
        }
    }

    fn handle_request(&mut self, host: usize, from: usize, number: u64, request: Request) {
        let now = self.now();
        let answer = match request {
            Request::Disseminate {
                salt,
                scope,
                payload,
            } => {
                self.receive_dissemination(host, salt, scope, &payload);
                Answer::Received
            }
            Request::ReportUpdates(members) => {
                let effects = self.process(host).detector.on_update_report(&members, now);
                self.apply_member_effects(host, effects);
                Answer::Received
            }
            Request::Pull { version } => self.answer_pull(host, version),
            Request::Probe(probe) => {
                let (answer, effects) = self.process(host).detector.on_probe(&probe, now);
                self.apply_member_effects(host, effects);
                self.report_peer_version(host, probe.version);
                Answer::Probed(answer)
            }
            Request::ProbeThrough(probe) => {
                return self.probe_for(host, from, number, &probe);
            }
            Request::Sync(sync) => {
                let (answer, effects) = self.process(host).detector.on_sync(&sync, now);
                self.apply_member_effects(host, effects);
                Answer::Synced(answer)
            }
            Request::RecordFloor(record) => {
                let _ = self.process(host).floor_table.record(&record);
                Answer::Received
            }
            Request::Join(member) => self.answer_join(host, &member),
        };
        self.send_answer(host, from, number, answer);
    }

    fn handle_answer(&mut self, host: usize, purpose: Purpose, answer: Answer) {
        let now = self.now();
        match (purpose, answer) {
            (Purpose::Hop { hop, .. }, Answer::Received) => {
                self.process(host).silences.record_answer(&hop.hop.node);
            }
            (Purpose::ReportUpdates(report), Answer::Received) => {
                let detector = &mut self.process(host).detector;
                detector.on_report_accepted(&report.collector);
            }
            (Purpose::Pull { node, round }, Answer::Pulled(pulled)) => {
                self.handle_pulled(host, &node, round, &pulled);
            }
            (Purpose::Probe { node }, Answer::Probed(answer)) => {
                self.report_peer_version(host, answer.version);
                let detector = &mut self.process(host).detector;
                let effects = detector.on_probe_answer(&node, &answer, now);
                self.apply_member_effects(host, effects);
            }
            (Purpose::ProbeFor { requester, request }, Answer::Probed(_)) => {
                let answer = Answer::ProbedThrough(IndirectAnswer { reached: true });
                self.send_answer(host, requester, request, answer);
            }
            (Purpose::ProbeThrough { node }, Answer::ProbedThrough(answer)) => {
                let detector = &mut self.process(host).detector;
                detector.on_indirect_answer(&node, &answer);
            }
            (Purpose::Sync { address }, Answer::Synced(answer)) => {
                let detector = &mut self.process(host).detector;
                let effects = detector.on_sync_answer(&address, &answer, now);
                self.apply_member_effects(host, effects);
            }
            (Purpose::RecordFloor { version }, Answer::Received) => {
                self.count_witness(host, version, true);
            }
            (Purpose::Join, Answer::Joined(members)) => self.finish_join(host, &members),
            _ => {}
        }
    }

    /// Handles a request that was refused, or that had no answer in time.
    pub(super) fn fail_request(&mut self, host: usize, number: u64) {
        let now = self.now();
        let Some(purpose) = self.process(host).requests.remove(&number) else {
            return;
        };
        match purpose {
            Purpose::Hop { hop, salt, payload } => {
                self.handle_failed_hop(host, &hop, salt, &payload);
            }
            Purpose::ReportUpdates(report) => {
                let detector = &mut self.process(host).detector;
                let effects = detector.on_report_failed(&report, now);
                self.apply_member_effects(host, effects);
            }
            Purpose::Pull { round, .. } => {
                let pull = self.process(host).pull.as_mut();
                if let Some(pull) = pull.filter(|pull| pull.number == round) {
                    pull.round.on_failed_request(now);
                    self.drive_pull(host);
                }
            }
            Purpose::ProbeFor { requester, request } => {
                let answer = Answer::ProbedThrough(IndirectAnswer { reached: false });
                self.send_answer(host, requester, request, answer);
            }
            Purpose::RecordFloor { version } => self.count_witness(host, version, false),
            Purpose::Join => self.retry_join(host),
            Purpose::Probe { .. } | Purpose::ProbeThrough { .. } | Purpose::Sync { .. } => {}
        }
    }
}

fn request_timeout(request: &Request) -> Duration {
    match request {
        Request::Disseminate { payload, .. } => {
            RelaySettings::default().timeout_of(payload.relayed_kind())
        }
        Request::ReportUpdates(_) => REPORT_TIMEOUT,
        Request::Pull { .. } => PULL_TIMEOUT.max(PullSettings::default().next_peer_delay),
        Request::Probe(_) => PROBE_TIMEOUT,
        Request::ProbeThrough(_) | Request::Sync(_) | Request::Join(_) => SYNC_TIMEOUT,
        Request::RecordFloor(_) => FLOOR_TIMEOUT,
    }
}
