//! Member updates on their way to the whole fleet, through the collectors of failure domains.
//!
//! A node does not broadcast an update itself: when many hosts are lost, late or start together, each
//! of them and each of their observers has news at the same time, and one broadcast for each piece of
//! news would send the square of the size of the fleet. It sends the update to the collector of its
//! failure domain, a node selected by rank, which broadcasts what it has collected at most once in a
//! pause. The pause grows with the number of domains, so that each node receives about
//! `1_000 / broadcast_pause_per_domain_ms` broadcasts a second at most, whatever the size of the
//! fleet and the number of changes.
//!
//! A collector that does not answer is passed over, in favour of the next one by rank and at last of the
//! sender itself. The pause also grows with the rank: when all hosts of a domain are late, each may take
//! the others for lost, and the sum of their broadcasts must stay small. One that has answered may be lost
//! before it broadcasts; the sender therefore waits for the broadcast, and sends the update to another
//! collector if it does not come.

use std::collections::BTreeMap;
use std::time::Duration;

use agatedeck_clock::Instant;
use agatedeck_wire::{Member, MemberStatus};

use super::detector::{FailureDetector, MemberEffect};
use super::table::after_ms;
use super::update_batch::EntryState;
use crate::rendezvous::{rank_candidates, rendezvous_score};

/// Number of collectors that are tried one after the other, before a while passes.
const ATTEMPTS_PER_ROUND: usize = 3;

/// Number of collectors that are tried before a node collects its updates itself.
const MAX_ATTEMPTS: usize = 3 * ATTEMPTS_PER_ROUND;

/// Number of collectors to which a node that leaves sends its entry: it ends before it could try
/// another one.
const LEAVE_COLLECTOR_COUNT: usize = 2;

/// Salt of the ranking that selects collectors.
const COLLECTOR_RANK_SALT: u64 = 0x636f_6c6c;

/// Updates on their way to a collector.
#[derive(Clone, Debug, PartialEq)]
pub struct UpdateReport {
    /// Name of the collector.
    pub collector: String,
    /// Control address of the collector.
    pub address: String,
    /// The updates.
    pub members: Vec<Member>,
    /// Number of collectors that were tried before.
    pub attempt: usize,
}

/// An update that a collector has accepted and not broadcast yet, as far as this node knows.
#[derive(Clone, Debug)]
pub(super) struct UnconfirmedUpdate {
    state: EntryState,
    collector: String,
    /// Number of collectors that were tried.
    attempt: usize,
    resend_at: Instant,
}

/// Updates that wait for their broadcast, by the name of their node.
pub(super) type UnconfirmedUpdates = BTreeMap<String, UnconfirmedUpdate>;

impl FailureDetector {
    /// Handles updates that a node sent to this one as the collector of its domain.
    pub fn on_update_report(&mut self, updates: &[Member], now: Instant) -> Vec<MemberEffect> {
        let mut effects = self.merge_updates(updates, now);
        for update in updates {
            self.collect(&update.node, now, &mut effects);
        }
        effects
    }

    /// Handles updates that were broadcast.
    pub fn on_broadcast(&mut self, updates: &[Member], now: Instant) -> Vec<MemberEffect> {
        self.update_batch.mark_broadcast(updates, &self.table);
        for update in updates {
            let state = EntryState::from(update);
            let unconfirmed = self.unconfirmed_updates.get(&update.node);
            if unconfirmed.is_some_and(|unconfirmed| unconfirmed.state <= state) {
                self.unconfirmed_updates.remove(&update.node);
            }
        }
        self.merge_updates(updates, now)
    }

    /// Handles that the collector has accepted a report.
    pub fn on_report_accepted(&mut self, collector: &str) {
        self.silent_collectors.record_answer(collector);
    }

    /// Handles that the collector did not answer; sends the updates to the next one, or all of them again
    /// after a while.
    pub fn on_report_failed(&mut self, report: &UpdateReport, now: Instant) -> Vec<MemberEffect> {
        let mut effects = Vec::new();
        let collector = &report.collector;
        self.silent_collectors.record_silence(collector, now);
        let attempt = report.attempt + 1;
        if attempt.is_multiple_of(ATTEMPTS_PER_ROUND) {
            let resend_at = after_ms(now, self.settings.report_retry_ms);
            self.await_broadcast(&report.members, collector, attempt, resend_at);
        } else {
            let nodes = report.members.iter();
            let nodes: Vec<String> = nodes.map(|member| member.node.clone()).collect();
            self.send_report(&nodes, attempt, now, &mut effects);
        }
        effects
    }

    /// Sends the entries of `nodes` to the collector, which broadcasts them.
    pub(super) fn report_updates(
        &mut self,
        nodes: &[String],
        now: Instant,
        effects: &mut Vec<MemberEffect>,
    ) {
        self.send_report(nodes, 0, now, effects);
    }

    /// Reports that this node leaves, without waiting for anything: the process ends soon.
    pub(super) fn report_leave(&mut self, now: Instant, effects: &mut Vec<MemberEffect>) {
        let local_member = self.local_member.clone();
        let mut collectors = self.ranked_collectors();
        collectors.retain(|collector| {
            collector.node != local_member.node
                && !self.silent_collectors.is_silent(&collector.node, now)
        });
        let receivers = collectors.iter().take(LEAVE_COLLECTOR_COUNT);
        let reports: Vec<UpdateReport> = receivers
            .map(|collector| UpdateReport {
                collector: collector.node.clone(),
                address: collector.control_address.clone(),
                members: vec![local_member.clone()],
                attempt: 0,
            })
            .collect();
        if reports.is_empty() {
            let pause = self.broadcast_pause();
            let _ = self.update_batch.collect(&local_member, pause, now);
        }
        effects.extend(reports.into_iter().map(MemberEffect::ReportUpdates));
        self.unconfirmed_updates.clear();
        // What others have sent to this node would be lost.
        self.broadcast_collected(effects);
    }

    /// Broadcasts what has waited long enough, and sends updates again whose broadcast did not come.
    pub(super) fn drive_reports(&mut self, now: Instant, effects: &mut Vec<MemberEffect>) {
        let pause_end = self.update_batch.pause_end();
        if pause_end.is_some_and(|end| end.is_past(now)) {
            let pause = self.broadcast_pause();
            if self.update_batch.end_pause(pause, now) {
                self.broadcast_collected(effects);
            }
        }
        let is_due = |_: &String, update: &mut UnconfirmedUpdate| update.resend_at.is_past(now);
        let due: Vec<_> = self.unconfirmed_updates.extract_if(.., is_due).collect();
        let (mut nodes, mut attempt) = (Vec::new(), 0);
        for (node, update) in due {
            self.silent_collectors
                .record_silence(&update.collector, now);
            let entry = self.table.latest_known(&node);
            if entry.is_some_and(|entry| EntryState::from(entry) == update.state) {
                nodes.push(node);
                attempt = attempt.max(update.attempt);
            }
        }
        if !nodes.is_empty() {
            // A broadcast that did not reach this node is not repeated by its collector.
            self.send_report(&nodes, attempt + 1, now, effects);
        }
    }

    /// When [`Self::drive_reports`] must be called.
    pub(super) fn next_collector_deadline(&self) -> Option<Instant> {
        let resends = self.unconfirmed_updates.values();
        let resend_at = resends.map(|update| update.resend_at).min();
        let pause_ends_at = self.update_batch.pause_end();
        resend_at.into_iter().chain(pause_ends_at).min()
    }

    fn send_report(
        &mut self,
        nodes: &[String],
        attempt: usize,
        now: Instant,
        effects: &mut Vec<MemberEffect>,
    ) {
        let collector = self.select_collector(attempt, now).clone();
        if collector.node == self.local_member.node {
            for node in nodes {
                self.collect(node, now, effects);
            }
            return;
        }
        let entries = nodes
            .iter()
            .filter_map(|node| self.table.latest_known(node));
        let members: Vec<Member> = entries.cloned().collect();
        let resend_at = after_ms(now, self.settings.broadcast_timeout_ms);
        self.await_broadcast(&members, &collector.node, attempt, resend_at);
        effects.push(MemberEffect::ReportUpdates(UpdateReport {
            collector: collector.node,
            address: collector.control_address,
            members,
            attempt,
        }));
    }

    /// Sends updates again at `resend_at`, unless they have been broadcast by then.
    fn await_broadcast(
        &mut self,
        members: &[Member],
        collector: &str,
        attempt: usize,
        resend_at: Instant,
    ) {
        for member in members {
            let update = UnconfirmedUpdate {
                state: member.into(),
                collector: collector.to_owned(),
                attempt,
                resend_at,
            };
            self.unconfirmed_updates.insert(member.node.clone(), update);
        }
    }

    /// The first collector that is not known to be silent, or this node if it comes first or enough others
    /// were tried.
    fn select_collector(&self, attempt: usize, now: Instant) -> &Member {
        let is_local = |collector: &&Member| collector.node == self.local_member.node;
        let is_silent = |collector: &Member| self.silent_collectors.is_silent(&collector.node, now);
        let collectors = self.ranked_collectors().into_iter();
        let mut ahead = collectors.take_while(|collector| !is_local(collector));
        let usable = ahead.find(|collector| attempt < MAX_ATTEMPTS && !is_silent(collector));
        usable.unwrap_or(&self.local_member)
    }

    /// The live nodes of the domain in the order in which they are used as collectors.
    fn ranked_collectors(&self) -> Vec<&Member> {
        let peers = self.domain_peers();
        let alive = peers.filter(|peer| peer.status() == MemberStatus::Alive);
        let mut collectors: Vec<&Member> = alive.chain([&self.local_member]).collect();
        rank_candidates(COLLECTOR_RANK_SALT, &mut collectors, |member| &member.node);
        collectors
    }

    /// Pause of this node between two broadcasts. Suspects count: a node that is cut off suspects all
    /// others, as those do that are cut off with it.
    fn broadcast_pause(&self) -> Duration {
        let score = |node: &str| rendezvous_score(COLLECTOR_RANK_SALT, node);
        let local_score = score(&self.local_member.node);
        let peers = self.domain_peers();
        let ahead = peers.filter(|peer| score(&peer.node) > local_score).count();
        let pauses = self.table.domain_count() * (ahead + 1);
        let pauses = u64::try_from(pauses).unwrap_or(u64::MAX);
        let pause_ms = pauses.saturating_mul(self.settings.broadcast_pause_per_domain_ms);
        Duration::from_millis(pause_ms.min(self.settings.max_broadcast_pause_ms))
    }

    fn collect(&mut self, node: &str, now: Instant, effects: &mut Vec<MemberEffect>) {
        let Some(entry) = self.table.latest_known(node).cloned() else {
            return;
        };
        // Most reports of a death repeat it, and the pause is computed from all members.
        if self.update_batch.is_broadcast(&entry) {
            return;
        }
        let pause = self.broadcast_pause();
        if self.update_batch.collect(&entry, pause, now) {
            self.broadcast_collected(effects);
        }
    }

    fn broadcast_collected(&mut self, effects: &mut Vec<MemberEffect>) {
        let entries = self.update_batch.take(&self.table);
        if !entries.is_empty() {
            effects.push(MemberEffect::Broadcast(entries));
        }
    }
}
