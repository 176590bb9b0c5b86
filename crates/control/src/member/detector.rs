//! SWIM failure detector of one node. Received updates and the node's own entry are in `updates.rs`,
//! their way to the fleet in `collector.rs`, anti-entropy between member tables in
//! `anti_entropy.rs`.
//!
//! Cost per node: one probe and its answer per period, in addition to the probes of delegates (see
//! `delegate.rs`) and of reconnects. Each message piggybacks at most `max_updates_per_message`
//! entries of about 200 bytes while membership changes and none otherwise. State is kept for probes
//! in flight and for recent updates.
//!
//! A node declares only nodes of its own failure domain dead: a probe that fails between domains
//! may be due to a partition, on both sides of which nodes continue to serve.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use agatedeck_clock::Instant;
use agatedeck_wire::{
    IndirectAnswer, IndirectProbe, Member, MemberStatus, Probe, ProbeAnswer, Sync,
};
use rand::Rng;
use rand::seq::{IteratorRandom, SliceRandom};

use super::chart::MemberEvent;
use super::collector::{UnconfirmedUpdates, UpdateReport};
use super::delegate::{PeerGroup, delegated_groups};
use super::settings::MemberSettings;
use super::table::{MemberTable, after_ms, is_live};
use super::update_batch::UpdateBatch;
use super::update_queue::UpdateQueue;
use crate::silence::SilenceLog;

/// Side effect that the caller of a [`FailureDetector`] must perform.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberEffect {
    /// Send a probe and pass its answer to [`FailureDetector::on_probe_answer`].
    Probe {
        /// Name of the node to probe.
        node: String,
        /// Control address of the node to probe.
        address: String,
        /// The message.
        probe: Probe,
    },
    /// Ask another node to probe on behalf of this one and pass its answer to
    /// [`FailureDetector::on_indirect_answer`].
    RequestIndirectProbe {
        /// Control address of the node that is asked.
        address: String,
        /// The message.
        request: IndirectProbe,
    },
    /// Start or finish an anti-entropy exchange and pass the answer to
    /// [`FailureDetector::on_sync_answer`].
    Sync {
        /// Control address of the other node.
        address: String,
        /// The message.
        sync: Sync,
    },
    /// Send updates to the collector of the domain and pass the result to
    /// [`FailureDetector::on_report_accepted`] or [`FailureDetector::on_report_failed`].
    ReportUpdates(UpdateReport),
    /// Send updates that this node has collected through the dissemination tree. Other received updates
    /// are only piggybacked, so that each update travels the tree once.
    Broadcast(Vec<Member>),
    /// The membership view changed: a node was added or removed, or its entry changed.
    ViewChanged,
}

/// Unanswered probe of a node of the local failure domain.
#[derive(Clone, Copy, Debug)]
struct PendingProbe {
    deadline: Instant,
    indirect_requested: bool,
}

/// Membership as seen by one node: its table, its pending probes and its own entry.
///
/// Invariant: the local entry is live, or `left` after [`FailureDetector::leave`]. An update that
/// says otherwise is refuted with a higher incarnation.
#[derive(Clone, Debug)]
pub struct FailureDetector {
    pub(super) settings: MemberSettings,
    pub(super) local_member: Member,
    pub(super) table: MemberTable,
    update_queue: UpdateQueue,
    /// What this node broadcasts as the collector of its domain.
    pub(super) update_batch: UpdateBatch,
    /// What this node has sent to a collector.
    pub(super) unconfirmed_updates: UnconfirmedUpdates,
    pub(super) silent_collectors: SilenceLog,
    seed_addresses: Vec<String>,
    /// Nodes of the domain not yet probed in this round, in random order.
    probe_round: Vec<String>,
    pending_probes: BTreeMap<String, PendingProbe>,
    next_probe_at: Instant,
    next_domain_probe_at: Instant,
    next_region_probe_at: Instant,
    next_reconnect_at: Instant,
    next_sync_at: Instant,
    /// A tick later than this means that the process was paused.
    pause_detected_after: Instant,
}

impl FailureDetector {
    /// Creates the detector of `local_member`, with a table that holds only that node.
    ///
    /// Deadlines start at random points of their periods so that nodes started together do not
    /// probe at the same time.
    pub fn new(
        local_member: &Member,
        settings: &MemberSettings,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Self {
        let mut table = MemberTable::new(settings);
        table.merge(local_member, now);
        let mut random_deadline = |period_ms: u64| after_ms(now, rng.random_range(0..=period_ms));
        let next_probe_at = random_deadline(settings.probe_period_ms);
        Self {
            local_member: local_member.clone(),
            table,
            update_queue: UpdateQueue::default(),
            update_batch: UpdateBatch::new(),
            unconfirmed_updates: UnconfirmedUpdates::new(),
            silent_collectors: SilenceLog::new(Duration::from_millis(
                settings.collector_silence_ms,
            )),
            seed_addresses: Vec::new(),
            probe_round: Vec::new(),
            pending_probes: BTreeMap::new(),
            next_probe_at,
            next_domain_probe_at: random_deadline(settings.domain_probe_period_ms),
            next_region_probe_at: random_deadline(settings.region_probe_period_ms),
            next_reconnect_at: random_deadline(settings.reconnect_period_ms),
            next_sync_at: now,
            pause_detected_after: after_ms(next_probe_at, settings.pause_threshold_ms),
            settings: settings.clone(),
        }
    }

    /// Returns the member table.
    pub fn table(&self) -> &MemberTable {
        &self.table
    }

    /// Returns the entry of this node.
    pub fn local_member(&self) -> &Member {
        &self.local_member
    }

    /// Replaces the control addresses at which nodes are expected, such as those in the bootstrap
    /// rows of the store. Addresses without a live member are periodically sent a `Sync`.
    pub fn set_seed_addresses(&mut self, addresses: &[&str]) {
        self.seed_addresses = addresses
            .iter()
            .map(|address| (*address).to_owned())
            .collect();
    }

    /// Sets the configuration version that is active at this node.
    pub fn set_version(&mut self, version: u64) {
        self.local_member.version = version;
        self.table.observe_version(&self.local_member.node, version);
    }

    /// Returns when [`Self::tick`] must run next.
    pub fn next_deadline(&self) -> Instant {
        let probe_deadlines = self.pending_probes.values().map(|probe| probe.deadline);
        let period_deadlines = [
            self.next_probe_at,
            self.next_domain_probe_at,
            self.next_region_probe_at,
            self.next_reconnect_at,
        ];
        probe_deadlines
            .chain(self.table.next_deadline())
            .chain(self.next_collector_deadline())
            .chain(period_deadlines)
            .min()
            .unwrap_or(self.next_probe_at)
    }

    /// Processes expired deadlines: starts probes and indirect probes, and raises and expires
    /// suspicions.
    pub fn tick(&mut self, now: Instant, rng: &mut impl Rng) -> Vec<MemberEffect> {
        let mut effects = Vec::new();
        if self.local_member.status() == MemberStatus::Left {
            self.next_probe_at = after_ms(now, self.settings.probe_period_ms);
            (self.next_domain_probe_at, self.next_region_probe_at) =
                (self.next_probe_at, self.next_probe_at);
            self.next_reconnect_at = self.next_probe_at;
            self.pending_probes.clear();
            self.table.expire_deadlines(now);
            self.drive_reports(now, &mut effects);
            return effects;
        }
        if self.pause_detected_after.is_past(now) {
            // Answers may be unread in the socket buffers, so missing answers prove nothing.
            self.pending_probes.clear();
            self.table.restart_suspicions(now);
        }
        let dead_nodes = self.table.expire_deadlines(now);
        self.disseminate_decisions(&dead_nodes, now, &mut effects);
        self.advance_pending_probes(now, rng, &mut effects);
        self.drive_reports(now, &mut effects);
        if self.next_probe_at.is_past(now) {
            self.next_probe_at = after_ms(now, self.settings.probe_period_ms);
            self.probe_next_in_round(now, rng, &mut effects);
        }
        self.probe_delegated_groups(now, rng, &mut effects);
        if self.next_reconnect_at.is_past(now) {
            self.next_reconnect_at = after_ms(now, self.settings.reconnect_period_ms);
            self.reconnect(rng, &mut effects);
        }
        self.pause_detected_after = after_ms(
            self.next_deadline().max(now),
            self.settings.pause_threshold_ms,
        );
        effects
    }

    /// Requests indirect probes of nodes that did not answer, and suspects those that the indirect
    /// probes did not reach either.
    fn advance_pending_probes(
        &mut self,
        now: Instant,
        rng: &mut impl Rng,
        effects: &mut Vec<MemberEffect>,
    ) {
        let expired_probes = self
            .pending_probes
            .iter()
            .filter(|(_, probe)| probe.deadline.is_past(now));
        let expired_probes: Vec<(String, PendingProbe)> = expired_probes
            .map(|(node, probe)| (node.clone(), *probe))
            .collect();
        let mut suspects = Vec::new();
        for (node, probe) in expired_probes {
            let Some(member) = self.table.get(&node).cloned() else {
                self.pending_probes.remove(&node);
                continue;
            };
            if probe.indirect_requested {
                self.pending_probes.remove(&node);
                if self
                    .table
                    .apply_local_event(&node, MemberEvent::ProbeFailed, now)
                {
                    suspects.push(node);
                }
                continue;
            }
            let peers = self.domain_peers().filter(|member| member.node != node);
            for peer in peers.choose_multiple(rng, self.settings.indirect_probe_count) {
                effects.push(MemberEffect::RequestIndirectProbe {
                    address: peer.control_address.clone(),
                    request: IndirectProbe {
                        node: node.clone(),
                        control_address: member.control_address.clone(),
                    },
                });
            }
            let indirect_probe = PendingProbe {
                deadline: after_ms(now, self.settings.indirect_probe_timeout_ms),
                indirect_requested: true,
            };
            self.pending_probes.insert(node, indirect_probe);
        }
        self.disseminate_decisions(&suspects, now, effects);
    }

    /// Probes the next node of the shuffled round. Unlike independent random choices, a round
    /// bounds the time until a failed node is detected.
    fn probe_next_in_round(
        &mut self,
        now: Instant,
        rng: &mut impl Rng,
        effects: &mut Vec<MemberEffect>,
    ) {
        if self.probe_round.is_empty() {
            self.probe_round = self.domain_peers().map(|peer| peer.node.clone()).collect();
            self.probe_round.shuffle(rng);
        }
        while let Some(node) = self.probe_round.pop() {
            let live_member = self
                .table
                .get(&node)
                .filter(|member| is_live(member.status()));
            let Some(member) = live_member.cloned() else {
                continue;
            };
            let pending_probe = PendingProbe {
                deadline: after_ms(now, self.settings.probe_timeout_ms),
                indirect_requested: false,
            };
            self.pending_probes.entry(node).or_insert(pending_probe);
            effects.push(self.build_probe(&member));
            return;
        }
    }

    /// Probes one node of each domain and region for which this node is the delegate.
    fn probe_delegated_groups(
        &mut self,
        now: Instant,
        rng: &mut impl Rng,
        effects: &mut Vec<MemberEffect>,
    ) {
        let domains_due = self.next_domain_probe_at.is_past(now);
        let regions_due = self.next_region_probe_at.is_past(now);
        if domains_due {
            self.next_domain_probe_at = after_ms(now, self.settings.domain_probe_period_ms);
        }
        if regions_due {
            self.next_region_probe_at = after_ms(now, self.settings.region_probe_period_ms);
        }
        if !domains_due && !regions_due {
            return;
        }
        let mut chosen_members = Vec::new();
        for group in delegated_groups(&self.table, &self.local_member) {
            let due = match group {
                PeerGroup::Domain(_) => domains_due,
                PeerGroup::Region(_) => regions_due,
            };
            if due {
                chosen_members.extend(self.choose_group_member(group, rng).cloned());
            }
        }
        for member in chosen_members {
            effects.push(self.build_probe(&member));
        }
    }

    /// Contacts a dead node of the domain and a seed address without a live member.
    ///
    /// The dead node merges the two sides of a partitioned domain. The seed address merges groups
    /// of nodes that started together and know only each other, and nodes that have removed each
    /// other from their tables.
    fn reconnect(&mut self, rng: &mut impl Rng, effects: &mut Vec<MemberEffect>) {
        let dead_members = self.table.members().filter(|member| {
            member.status() == MemberStatus::Dead && member.domain == self.local_member.domain
        });
        if let Some(member) = dead_members.choose(rng).cloned() {
            effects.push(self.build_probe(&member));
        }
        let live_addresses: BTreeSet<&str> = self
            .table
            .live()
            .map(|member| member.control_address.as_str())
            .collect();
        let unlisted_addresses = self
            .seed_addresses
            .iter()
            .filter(|address| !live_addresses.contains(address.as_str()));
        effects.extend(
            unlisted_addresses
                .choose(rng)
                .map(|address| MemberEffect::Sync {
                    address: address.clone(),
                    sync: Sync {
                        digests: self.table.domain_digests(),
                        entries: Vec::new(),
                    },
                }),
        );
    }

    /// Chooses a random live node of the group, or a dead one if none is live: it may be alive
    /// after a partition.
    fn choose_group_member(&self, group: PeerGroup<'_>, rng: &mut impl Rng) -> Option<&Member> {
        let members = || self.table.members().filter(|member| group.contains(member));
        let live_members = members().filter(|member| is_live(member.status()));
        live_members.choose(rng).or_else(|| {
            let dead_members = members().filter(|member| member.status() == MemberStatus::Dead);
            dead_members.choose(rng)
        })
    }

    /// Handles an indirect probe request and returns the probe to send on behalf of its sender.
    pub fn on_indirect_probe(&mut self, request: &IndirectProbe) -> MemberEffect {
        let member = Member {
            node: request.node.clone(),
            control_address: request.control_address.clone(),
            ..Member::default()
        };
        self.build_probe(&member)
    }

    /// Handles a probe and returns its answer.
    pub fn on_probe(&mut self, probe: &Probe, now: Instant) -> (ProbeAnswer, Vec<MemberEffect>) {
        let effects = self.merge_updates(&probe.updates, now);
        self.table.observe_version(&probe.node, probe.version);
        let mut updates = self.take_updates();
        // The sender can only refute an entry that it receives.
        let known = self.table.latest_known(&probe.node).filter(|known| {
            known.incarnation > probe.incarnation || known.status() != MemberStatus::Alive
        });
        push_if_absent(&mut updates, known);
        let answer = ProbeAnswer {
            incarnation: self.local_member.incarnation,
            version: self.local_member.version,
            member_digest: self.table.digest(),
            updates,
            node: self.local_member.node.clone(),
        };
        (answer, effects)
    }

    /// Handles the answer to a probe of `node`.
    pub fn on_probe_answer(
        &mut self,
        node: &str,
        answer: &ProbeAnswer,
        now: Instant,
    ) -> Vec<MemberEffect> {
        let mut effects = self.merge_updates(&answer.updates, now);
        let Some(known) = self.table.get(node) else {
            self.pending_probes.remove(node);
            return effects;
        };
        if is_probe_answer_of(answer, node) {
            // An answer from an earlier incarnation says nothing about the current one.
            if answer.incarnation >= known.incarnation {
                self.pending_probes.remove(node);
                self.table
                    .apply_local_event(node, MemberEvent::ProbeAnswered, now);
            }
            self.table.observe_version(node, answer.version);
        } else {
            self.pending_probes.remove(node);
            let event = MemberEvent::AddressTaken;
            if self.table.apply_local_event(node, event, now) {
                self.disseminate_decisions(&[node.to_owned()], now, &mut effects);
            }
        }
        if answer.member_digest != self.table.digest() && self.next_sync_at.is_past(now) {
            self.next_sync_at = after_ms(now, self.settings.min_sync_interval_ms);
            let address = self
                .table
                .get(node)
                .map(|peer| peer.control_address.clone());
            effects.extend(address.map(|address| MemberEffect::Sync {
                address,
                sync: Sync {
                    digests: self.table.domain_digests(),
                    entries: Vec::new(),
                },
            }));
        }
        effects
    }

    /// Handles the result of an indirect probe of `node`.
    pub fn on_indirect_answer(&mut self, node: &str, answer: &IndirectAnswer) {
        if answer.reached {
            self.pending_probes.remove(node);
        }
    }

    /// Disseminates status changes that this node decided.
    fn disseminate_decisions(
        &mut self,
        nodes: &[String],
        now: Instant,
        effects: &mut Vec<MemberEffect>,
    ) {
        if nodes.is_empty() {
            return;
        }
        let names: Vec<&str> = nodes.iter().map(String::as_str).collect();
        self.queue_updates(&names);
        self.report_updates(nodes, now, effects);
        effects.push(MemberEffect::ViewChanged);
    }

    pub(super) fn queue_updates(&mut self, nodes: &[&str]) {
        let domain_size = self.domain_peers().count() + 1;
        for node in nodes {
            self.update_queue
                .push(node, self.settings.retransmit_multiplier, domain_size);
        }
    }

    pub(super) fn domain_peers(&self) -> impl Iterator<Item = &Member> {
        self.table.live().filter(|member| {
            member.domain == self.local_member.domain && member.node != self.local_member.node
        })
    }

    fn take_updates(&mut self) -> Vec<Member> {
        self.update_queue
            .take(&self.table, self.settings.max_updates_per_message)
    }

    fn build_probe(&mut self, member: &Member) -> MemberEffect {
        let mut updates = self.take_updates();
        // A node that is listed as suspect or dead refutes that in its answer.
        let known = self.table.get(&member.node);
        let is_not_alive = |known: &&Member| known.status() != MemberStatus::Alive;
        push_if_absent(&mut updates, known.filter(is_not_alive));
        MemberEffect::Probe {
            node: member.node.clone(),
            address: member.control_address.clone(),
            probe: Probe {
                node: self.local_member.node.clone(),
                incarnation: self.local_member.incarnation,
                version: self.local_member.version,
                member_digest: self.table.digest(),
                updates,
            },
        }
    }
}

/// Whether `node` itself sent `answer`, and not another node that has its address by now.
pub fn is_probe_answer_of(answer: &ProbeAnswer, node: &str) -> bool {
    answer.node.is_empty() || answer.node == node
}

pub(super) fn push_if_absent(updates: &mut Vec<Member>, member: Option<&Member>) {
    if let Some(member) = member
        && !updates.iter().any(|update| update.node == member.node)
    {
        updates.push(member.clone());
    }
}
