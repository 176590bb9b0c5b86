//! The failure detector of one node, in the manner of SWIM.
//!
//! Cost for each node: one probe per period and its answer, with at most `updates_per_message`
//! entries of about 200 bytes each while something changes and none otherwise; state for the probes
//! in flight and the recent changes. Only nodes of the own failure domain are declared dead: a
//! probe that fails between domains may be a partition, on both sides of which nodes go on serving.

use std::collections::{BTreeMap, BTreeSet};

use agatedeck_clock::Instant;
use agatedeck_wire::{
    IndirectAnswer, IndirectProbe, Member, MemberStatus, Probe, ProbeAnswer, Sync, SyncAnswer,
};
use rand::Rng;
use rand::seq::{IteratorRandom, SliceRandom};

use super::chart::MemberEvent;
use super::delegate::{PeerGroup, groups_of};
use super::settings::MemberSettings;
use super::table::{MemberTable, MergeOutcome, after_ms, is_live};
use super::update_queue::UpdateQueue;

/// What the caller of a [`FailureDetector`] is to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberEffect {
    /// Send a probe; its answer goes to [`FailureDetector::on_probe_answer`].
    Probe {
        /// Name of the node to probe.
        node: String,
        /// Its control address.
        address: String,
        /// The message.
        probe: Probe,
    },
    /// Ask a helper; its answer goes to [`FailureDetector::on_indirect_answer`].
    RequestIndirectProbe {
        /// Control address of the helper.
        address: String,
        /// The message.
        request: IndirectProbe,
    },
    /// Compare tables; the answer goes to [`FailureDetector::on_sync_answer`].
    Sync {
        /// Control address of the node to compare with.
        address: String,
        /// The message.
        sync: Sync,
    },
    /// An update was decided here and is to be sent through the distribution tree. Updates that
    /// were received are only piggybacked, so that each travels the tree once.
    Broadcast(Member),
    /// The set of nodes or the status of one of them changed.
    ViewChanged,
}

/// A probe of a node of the own domain that is not answered yet.
#[derive(Clone, Copy, Debug)]
struct OpenProbe {
    deadline: Instant,
    helpers_asked: bool,
}

/// Membership as one node sees it: its table, its probes in flight and its own entry.
///
/// Invariant: the own entry is live, or left after [`FailureDetector::leave`]; a message that says
/// otherwise is refuted with a higher incarnation.
#[derive(Clone, Debug)]
pub struct FailureDetector {
    settings: MemberSettings,
    own: Member,
    table: MemberTable,
    updates: UpdateQueue,
    contacts: Vec<String>,
    /// Nodes of the domain that are still to be probed in this round, in random order.
    round: Vec<String>,
    open: BTreeMap<String, OpenProbe>,
    probe_at: Instant,
    domain_at: Instant,
    region_at: Instant,
    reconnect_at: Instant,
    sync_at: Instant,
    /// A tick after this point shows that the process was paused.
    paused_if_after: Instant,
}

impl FailureDetector {
    /// Membership of the node `own`, which knows no other node yet.
    ///
    /// Deadlines start at random points of their periods so that nodes started together do not
    /// probe at the same moment.
    pub fn new(own: &Member, settings: &MemberSettings, now: Instant, rng: &mut impl Rng) -> Self {
        let mut table = MemberTable::new(settings);
        table.merge(own, now);
        let mut first = |period_ms: u64| after_ms(now, rng.random_range(0..=period_ms));
        let probe_at = first(settings.probe_period_ms);
        Self {
            own: own.clone(),
            table,
            updates: UpdateQueue::default(),
            contacts: Vec::new(),
            round: Vec::new(),
            open: BTreeMap::new(),
            probe_at,
            domain_at: first(settings.domain_period_ms),
            region_at: first(settings.region_period_ms),
            reconnect_at: first(settings.reconnect_period_ms),
            sync_at: now,
            paused_if_after: after_ms(probe_at, settings.pause_ms),
            settings: settings.clone(),
        }
    }

    /// The member table.
    pub fn table(&self) -> &MemberTable {
        &self.table
    }

    /// The own entry.
    pub fn local_member(&self) -> &Member {
        &self.own
    }

    /// Replaces the control addresses at which nodes are expected, such as those of the bootstrap
    /// rows. An address at which no live node is listed is sent a `Sync` now and then.
    pub fn set_seed_addresses(&mut self, addresses: &[&str]) {
        self.contacts = addresses
            .iter()
            .map(|address| (*address).to_owned())
            .collect();
    }

    /// Notes the version in force at this node.
    pub fn set_version(&mut self, version: u64) {
        self.own.version = version;
        self.table.note_version(&self.own.node, version);
    }

    /// When [`Self::tick`] next has something to do.
    pub fn next_deadline(&self) -> Instant {
        let open = self.open.values().map(|probe| probe.deadline);
        let periods = [
            self.probe_at,
            self.domain_at,
            self.region_at,
            self.reconnect_at,
        ];
        open.chain(self.table.next_deadline())
            .chain(periods)
            .min()
            .unwrap_or(self.probe_at)
    }

    /// Carries out what is due: new probes, requests to helpers, suspicions and their ends.
    pub fn tick(&mut self, now: Instant, rng: &mut impl Rng) -> Vec<MemberEffect> {
        let mut effects = Vec::new();
        if self.own.status() == MemberStatus::Left {
            self.probe_at = after_ms(now, self.settings.probe_period_ms);
            (self.domain_at, self.region_at) = (self.probe_at, self.probe_at);
            self.reconnect_at = self.probe_at;
            self.open.clear();
            self.table.expire(now);
            return effects;
        }
        if self.paused_if_after.is_past(now) {
            // Answers may wait unread in the sockets, so nothing may be concluded from silence.
            self.open.clear();
            self.table.restart_suspicions(now);
        }
        for node in self.table.expire(now) {
            self.decided(&node, &mut effects);
        }
        self.advance_open_probes(now, rng, &mut effects);
        if self.probe_at.is_past(now) {
            self.probe_at = after_ms(now, self.settings.probe_period_ms);
            self.probe_next(now, rng, &mut effects);
        }
        self.probe_groups(now, rng, &mut effects);
        if self.reconnect_at.is_past(now) {
            self.reconnect_at = after_ms(now, self.settings.reconnect_period_ms);
            self.reconnect(rng, &mut effects);
        }
        self.paused_if_after = after_ms(self.next_deadline().max(now), self.settings.pause_ms);
        effects
    }

    /// Asks helpers about probes that were not answered, and suspects where they failed too.
    fn advance_open_probes(
        &mut self,
        now: Instant,
        rng: &mut impl Rng,
        effects: &mut Vec<MemberEffect>,
    ) {
        let due = self
            .open
            .iter()
            .filter(|(_, open)| open.deadline.is_past(now));
        let due: Vec<(String, OpenProbe)> = due.map(|(node, open)| (node.clone(), *open)).collect();
        for (node, open) in due {
            let Some(suspect) = self.table.get(&node).cloned() else {
                self.open.remove(&node);
                continue;
            };
            if open.helpers_asked {
                self.open.remove(&node);
                if self.table.observe(&node, MemberEvent::Unreached, now) {
                    self.decided(&node, effects);
                }
                continue;
            }
            let peers = self.domain_peers().filter(|member| member.node != node);
            for helper in peers.choose_multiple(rng, self.settings.helpers) {
                effects.push(MemberEffect::RequestIndirectProbe {
                    address: helper.control_address.clone(),
                    request: IndirectProbe {
                        node: node.clone(),
                        control_address: suspect.control_address.clone(),
                    },
                });
            }
            let asked = OpenProbe {
                deadline: after_ms(now, self.settings.helper_timeout_ms),
                helpers_asked: true,
            };
            self.open.insert(node, asked);
        }
    }

    /// Probes the next node of the round. A shuffled round bounds the time until a failed node is
    /// noticed, which independent draws would not.
    fn probe_next(&mut self, now: Instant, rng: &mut impl Rng, effects: &mut Vec<MemberEffect>) {
        if self.round.is_empty() {
            self.round = self.domain_peers().map(|peer| peer.node.clone()).collect();
            self.round.shuffle(rng);
        }
        while let Some(node) = self.round.pop() {
            let live = self
                .table
                .get(&node)
                .filter(|member| is_live(member.status()));
            let Some(member) = live.cloned() else {
                continue;
            };
            let open = OpenProbe {
                deadline: after_ms(now, self.settings.probe_timeout_ms),
                helpers_asked: false,
            };
            self.open.entry(node).or_insert(open);
            effects.push(self.probe(&member));
            return;
        }
    }

    /// Probes one node of each domain and region for which this node is the delegate.
    fn probe_groups(&mut self, now: Instant, rng: &mut impl Rng, effects: &mut Vec<MemberEffect>) {
        let domains_due = self.domain_at.is_past(now);
        let regions_due = self.region_at.is_past(now);
        if domains_due {
            self.domain_at = after_ms(now, self.settings.domain_period_ms);
        }
        if regions_due {
            self.region_at = after_ms(now, self.settings.region_period_ms);
        }
        if !domains_due && !regions_due {
            return;
        }
        let mut chosen = Vec::new();
        for group in groups_of(&self.table, &self.own) {
            let due = match group {
                PeerGroup::Domain(_) => domains_due,
                PeerGroup::Region(_) => regions_due,
            };
            if due {
                chosen.extend(self.pick(group, rng).cloned());
            }
        }
        for member in chosen {
            effects.push(self.probe(&member));
        }
    }

    /// Contacts a dead node of the domain and a known address at which no live node is listed.
    ///
    /// The first joins the two sides of a split domain. The second joins nodes that started
    /// together and so far know only each other, and nodes that have forgotten one another.
    fn reconnect(&mut self, rng: &mut impl Rng, effects: &mut Vec<MemberEffect>) {
        let dead = self.table.members().filter(|member| {
            member.status() == MemberStatus::Dead && member.domain == self.own.domain
        });
        if let Some(member) = dead.choose(rng).cloned() {
            effects.push(self.probe(&member));
        }
        let live: BTreeSet<&str> = self
            .table
            .live()
            .map(|member| member.control_address.as_str())
            .collect();
        let unlisted = self
            .contacts
            .iter()
            .filter(|address| !live.contains(address.as_str()));
        effects.extend(unlisted.choose(rng).map(|address| MemberEffect::Sync {
            address: address.clone(),
            sync: Sync {
                digests: self.table.domain_digests(),
                entries: Vec::new(),
            },
        }));
    }

    /// A live node of the group or, where all are thought dead, one of those: after a partition
    /// they may be alive.
    fn pick(&self, group: PeerGroup<'_>, rng: &mut impl Rng) -> Option<&Member> {
        let members = || self.table.members().filter(|member| group.contains(member));
        let live = members().filter(|member| is_live(member.status()));
        live.choose(rng).or_else(|| {
            let dead = members().filter(|member| member.status() == MemberStatus::Dead);
            dead.choose(rng)
        })
    }

    /// A helper's part: the probe to send on behalf of another node.
    pub fn on_indirect_probe(&mut self, request: &IndirectProbe) -> MemberEffect {
        let member = Member {
            node: request.node.clone(),
            control_address: request.control_address.clone(),
            ..Member::default()
        };
        self.probe(&member)
    }

    /// Answers a probe.
    pub fn on_probe(&mut self, probe: &Probe, now: Instant) -> (ProbeAnswer, Vec<MemberEffect>) {
        let effects = self.merge(&probe.updates, now);
        self.table.note_version(&probe.node, probe.version);
        let mut updates = self.take_updates();
        // The sender can refute only what it hears.
        let known = self.table.newest(&probe.node).filter(|known| {
            known.incarnation > probe.incarnation || known.status() != MemberStatus::Alive
        });
        add_once(&mut updates, known);
        let answer = ProbeAnswer {
            incarnation: self.own.incarnation,
            version: self.own.version,
            member_digest: self.table.digest(),
            updates,
        };
        (answer, effects)
    }

    /// Takes in the answer of the probed node `node`.
    pub fn on_probe_answer(
        &mut self,
        node: &str,
        answer: &ProbeAnswer,
        now: Instant,
    ) -> Vec<MemberEffect> {
        self.open.remove(node);
        let mut effects = self.merge(&answer.updates, now);
        let Some(known) = self.table.get(node) else {
            return effects;
        };
        // An answer of an earlier incarnation says nothing about the present one.
        if answer.incarnation >= known.incarnation {
            self.table.observe(node, MemberEvent::Answered, now);
        }
        self.table.note_version(node, answer.version);
        if answer.member_digest != self.table.digest() && self.sync_at.is_past(now) {
            self.sync_at = after_ms(now, self.settings.sync_gap_ms);
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

    /// Takes in what a helper found out about `node`.
    pub fn on_indirect_answer(&mut self, node: &str, answer: &IndirectAnswer) {
        if answer.reached {
            self.open.remove(node);
        }
    }

    /// Answers a comparison: the entries of the domains that differ and, for entries that the
    /// sender gave, those of which this node knows newer ones.
    pub fn on_sync(&mut self, sync: &Sync, now: Instant) -> (SyncAnswer, Vec<MemberEffect>) {
        let mut entries = Vec::new();
        if !sync.digests.is_empty() {
            let differing = self.table.differing_domains(&sync.digests);
            let members = self.table.members();
            entries.extend(members.filter(|m| differing.contains(&m.domain)).cloned());
        }
        let effects = self.merge(&sync.entries, now);
        for entry in &sync.entries {
            let newer = self.table.newest(&entry.node);
            add_once(&mut entries, newer.filter(|newer| is_newer(newer, entry)));
        }
        // Without digests, the answer ends the exchange.
        let digests = if sync.digests.is_empty() {
            Vec::new()
        } else {
            self.table.domain_digests()
        };
        let answer = SyncAnswer { digests, entries };
        (answer, effects)
    }

    /// Takes in the answer to a comparison and sends back what the answering node lacks. The answer
    /// to that is taken in without a further message, so that two nodes that cannot agree on an
    /// entry exchange at most two requests per comparison.
    pub fn on_sync_answer(
        &mut self,
        address: &str,
        answer: &SyncAnswer,
        now: Instant,
    ) -> Vec<MemberEffect> {
        if answer.digests.is_empty() {
            return self.merge(&answer.entries, now);
        }
        let theirs: BTreeMap<&str, &Member> = answer
            .entries
            .iter()
            .map(|entry| (entry.node.as_str(), entry))
            .collect();
        let differing = self.table.differing_domains(&answer.digests);
        let mut entries: Vec<Member> = Vec::new();
        for member in self
            .table
            .members()
            .filter(|m| differing.contains(&m.domain))
        {
            let lacks = match theirs.get(member.node.as_str()) {
                Some(entry) => is_newer(member, entry),
                None => is_live(member.status()),
            };
            if lacks {
                entries.push(member.clone());
            }
        }
        // An entry that is forgotten here may still be live there.
        for entry in &answer.entries {
            let newer = self.table.newest(&entry.node);
            add_once(&mut entries, newer.filter(|newer| is_newer(newer, entry)));
        }
        let mut effects = self.merge(&answer.entries, now);
        if !entries.is_empty() {
            effects.push(MemberEffect::Sync {
                address: address.to_owned(),
                sync: Sync {
                    digests: Vec::new(),
                    entries,
                },
            });
        }
        effects
    }

    /// Merges updates that arrived in any message and refutes those about this node.
    pub fn merge(&mut self, updates: &[Member], now: Instant) -> Vec<MemberEffect> {
        let mut effects = Vec::new();
        let mut applied = Vec::new();
        for update in updates {
            if update.node == self.own.node {
                self.refute(update, now, &mut effects);
            } else if self.table.merge(update, now) == MergeOutcome::Applied {
                applied.push(update.node.as_str());
            }
        }
        if !applied.is_empty() {
            self.queue(&applied);
            effects.push(MemberEffect::ViewChanged);
        }
        effects
    }

    /// Takes in all members on joining. Unlike [`Self::merge`] it spreads none of them, since the
    /// other nodes know them; only the own entry is announced.
    pub fn merge_member_list(&mut self, members: &[Member], now: Instant) -> Vec<MemberEffect> {
        let mut effects = Vec::new();
        for member in members {
            if member.node != self.own.node {
                self.table.merge(member, now);
            } else if member.incarnation >= self.own.incarnation {
                // Left by an earlier process of this host whose wall clock was ahead or equal.
                self.own.incarnation = member.incarnation.saturating_add(1);
            }
        }
        self.publish_own(now, &mut effects);
        effects.push(MemberEffect::ViewChanged);
        effects
    }

    /// Announces that this node takes no new work.
    pub fn drain(&mut self, now: Instant) -> Vec<MemberEffect> {
        self.change_own(MemberStatus::Draining, now)
    }

    /// Announces that this node stops.
    pub fn leave(&mut self, now: Instant) -> Vec<MemberEffect> {
        self.change_own(MemberStatus::Left, now)
    }

    /// Announces which service the target beside this node takes calls for, the calls that it runs at
    /// the same time, and whether it is still slow after its start. An empty service says that it
    /// takes none.
    pub fn set_target(
        &mut self,
        service: &str,
        slots: u32,
        warming: bool,
        now: Instant,
    ) -> Vec<MemberEffect> {
        let mut effects = Vec::new();
        if self.own.service == service && self.own.slots == slots && self.own.warming == warming {
            return effects;
        }
        service.clone_into(&mut self.own.service);
        self.own.slots = slots;
        self.own.warming = warming;
        // Entries of one incarnation differ only in their status.
        self.own.incarnation = self.own.incarnation.saturating_add(1);
        self.publish_own(now, &mut effects);
        effects.push(MemberEffect::ViewChanged);
        effects
    }

    fn change_own(&mut self, status: MemberStatus, now: Instant) -> Vec<MemberEffect> {
        let mut effects = Vec::new();
        if self.own.status < i32::from(status) {
            self.own.status = status.into();
            self.publish_own(now, &mut effects);
            effects.push(MemberEffect::ViewChanged);
        }
        effects
    }

    /// Answers an update about this node itself. One of a later incarnation stems from an earlier
    /// process of this host whose wall clock was ahead; a node that left refutes only those, since
    /// it would otherwise stay listed as live.
    fn refute(&mut self, update: &Member, now: Instant, effects: &mut Vec<MemberEffect>) {
        let has_left = self.own.status() == MemberStatus::Left;
        let same = update.incarnation == self.own.incarnation;
        let worse = update.status > self.own.status;
        let foreign = update.control_address != self.own.control_address;
        if update.incarnation > self.own.incarnation || same && !has_left && (worse || foreign) {
            self.own.incarnation = update.incarnation.saturating_add(1);
            self.publish_own(now, effects);
        }
    }

    fn publish_own(&mut self, now: Instant, effects: &mut Vec<MemberEffect>) {
        let own = self.own.clone();
        self.table.merge(&own, now);
        self.queue(&[&own.node]);
        effects.push(MemberEffect::Broadcast(own));
    }

    /// Spreads a status that was decided here.
    fn decided(&mut self, node: &str, effects: &mut Vec<MemberEffect>) {
        self.queue(&[node]);
        effects.extend(self.table.get(node).cloned().map(MemberEffect::Broadcast));
        effects.push(MemberEffect::ViewChanged);
    }

    fn queue(&mut self, nodes: &[&str]) {
        let size = self.domain_peers().count() + 1;
        for node in nodes {
            self.updates.push(node, self.settings.update_repeats, size);
        }
    }

    fn domain_peers(&self) -> impl Iterator<Item = &Member> {
        self.table
            .live()
            .filter(|member| member.domain == self.own.domain && member.node != self.own.node)
    }

    fn take_updates(&mut self) -> Vec<Member> {
        self.updates
            .take(&self.table, self.settings.updates_per_message)
    }

    fn probe(&mut self, member: &Member) -> MemberEffect {
        let mut updates = self.take_updates();
        // A node that is thought to be failing refutes in its answer.
        let known = self.table.get(&member.node);
        let doubted = |known: &&Member| known.status() != MemberStatus::Alive;
        add_once(&mut updates, known.filter(doubted));
        MemberEffect::Probe {
            node: member.node.clone(),
            address: member.control_address.clone(),
            probe: Probe {
                node: self.own.node.clone(),
                incarnation: self.own.incarnation,
                version: self.own.version,
                member_digest: self.table.digest(),
                updates,
            },
        }
    }
}

/// Whether `ours` is to replace `theirs`, as `charts/member.toml` orders them.
fn is_newer(ours: &Member, theirs: &Member) -> bool {
    (ours.incarnation, ours.status) > (theirs.incarnation, theirs.status)
}

fn add_once(updates: &mut Vec<Member>, member: Option<&Member>) {
    if let Some(member) = member
        && !updates.iter().any(|update| update.node == member.node)
    {
        updates.push(member.clone());
    }
}
