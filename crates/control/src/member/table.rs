//! Member table: the entries of all nodes that this node knows.
//!
//! Cost: about 200 bytes per node of the fleet, O(log n) per update, and one digest per failure
//! domain. No state is kept for pairs of nodes. A copy of the table shares its entries and names, since
//! one is made at each change of the view: while a fleet starts, that is once for each node.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use agatedeck_clock::Instant;
use agatedeck_wire::{DomainDigest, Member, MemberStatus};
use slotmap::{SlotMap, new_key_type};

use super::chart::{MEMBER_CHART, MemberAction, MemberEvent, MemberState};
use super::settings::MemberSettings;

new_key_type! {
    /// Key of an entry in a [`MemberTable`].
    pub struct MemberKey;
}

/// Entry of one node, with its local timestamps.
#[derive(Clone, Debug)]
pub struct MemberEntry {
    /// The entry as it is sent to other nodes, shared with the copies of the table.
    pub member: Arc<Member>,
    /// When the status last changed in this table.
    pub changed_at: Instant,
    /// End of the suspicion of a suspect or draining node, or of the retention of a left or dead
    /// node.
    deadline: Option<Instant>,
}

impl MemberEntry {
    /// Records that the node holds `version`. Leaves the shared entry as it is if that is not news.
    fn raise_version(&mut self, version: u64) {
        if version > self.member.version {
            Arc::make_mut(&mut self.member).version = version;
        }
    }
}

/// Result of merging an update.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MergeOutcome {
    /// The update changed the table and must be disseminated.
    Applied,
    /// The table already held this entry or a newer one.
    Stale,
}

/// Last known state of a removed entry, kept to reject older updates.
#[derive(Clone, Debug)]
struct Tombstone {
    member: Arc<Member>,
    expires_at: Instant,
}

/// All known nodes, by name.
///
/// Invariant: for each node, the incarnation never decreases, and within one incarnation the
/// status only follows `charts/member.toml`, in whatever order updates arrive. This also holds for
/// removed nodes until their tombstone expires.
///
/// Invariant: of two live entries with one control address, the one of the later incarnation stays
/// live. The host of the other one is gone and its address is in use again.
///
/// Invariant: the digest of a domain is the XOR of the hashes of its live entries, so it depends
/// neither on the order of updates nor on which entries were removed.
#[derive(Clone, Debug, Default)]
pub struct MemberTable {
    settings: MemberSettings,
    entries: SlotMap<MemberKey, MemberEntry>,
    keys_by_name: BTreeMap<Arc<str>, MemberKey>,
    /// The entry that joined last at each control address.
    keys_by_address: BTreeMap<Arc<str>, MemberKey>,
    keys_by_deadline: BTreeSet<(Instant, MemberKey)>,
    digests: BTreeMap<String, u64>,
    tombstones: BTreeMap<Arc<str>, Tombstone>,
}

/// Whether a node in this status takes part in dissemination and is offered versions.
pub(crate) fn is_live(status: MemberStatus) -> bool {
    matches!(
        status,
        MemberStatus::Alive | MemberStatus::Suspect | MemberStatus::Draining
    )
}

/// Hash of an entry in the digest of its domain; 0 for entries that the digest excludes.
///
/// A suspect entry hashes like an alive one, since a suspicion is resolved within seconds and a
/// differing digest costs a `Sync`. Left and dead entries are excluded so that nodes may remove
/// them at different times.
fn entry_hash(member: &Member) -> u64 {
    if !is_live(member.status()) {
        return 0;
    }
    let draining = u8::from(member.status() == MemberStatus::Draining);
    let mut hasher = blake3::Hasher::new();
    hasher.update(&member.incarnation.to_le_bytes());
    hasher.update(&[draining]);
    hasher.update(member.node.as_bytes());
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(prefix)
}

impl MemberTable {
    /// Creates an empty table.
    pub fn new(settings: &MemberSettings) -> Self {
        Self {
            settings: settings.clone(),
            ..Self::default()
        }
    }

    /// Merges an update that was received or decided locally.
    pub fn merge(&mut self, update: &Member, now: Instant) -> MergeOutcome {
        let tombstone = self.tombstones.get(update.node.as_str());
        if tombstone.is_some_and(|tombstone| tombstone.member.incarnation >= update.incarnation) {
            return MergeOutcome::Stale;
        }
        let Some(key) = self.keys_by_name.get(update.node.as_str()).copied() else {
            self.insert(update, now);
            return MergeOutcome::Applied;
        };
        self.entries[key].raise_version(update.version);
        let previous = Arc::clone(&self.entries[key].member);
        if update.incarnation < previous.incarnation {
            return MergeOutcome::Stale;
        }
        if update.incarnation > previous.incarnation {
            self.toggle_in_digest(key);
            self.entries[key].member = Arc::new(Member {
                version: previous.version,
                status: previous.status,
                ..update.clone()
            });
            self.toggle_in_digest(key);
            self.apply_event(key, MemberEvent::IncarnationRaised, now);
            self.claim_address(key, now);
        }
        self.apply_event(key, MemberEvent::received(update.status()), now);
        let current = &self.entries[key].member;
        if (current.incarnation, current.status) == (previous.incarnation, previous.status) {
            MergeOutcome::Stale
        } else {
            MergeOutcome::Applied
        }
    }

    fn insert(&mut self, update: &Member, now: Instant) {
        let tombstone = self.tombstones.remove(update.node.as_str());
        let version = tombstone.map_or(0, |tombstone| tombstone.member.version);
        let key = self.entries.insert(MemberEntry {
            member: Arc::new(Member {
                status: MemberStatus::Alive.into(),
                version: update.version.max(version),
                ..update.clone()
            }),
            changed_at: now,
            deadline: None,
        });
        self.keys_by_name.insert(update.node.as_str().into(), key);
        self.toggle_in_digest(key);
        self.apply_event(key, MemberEvent::received(update.status()), now);
        self.claim_address(key, now);
    }

    /// Makes `key` the entry at its control address if it is live and of a later incarnation than the
    /// entry there, and the other one of the two dead.
    fn claim_address(&mut self, key: MemberKey, now: Instant) {
        let member = &self.entries[key].member;
        if member.control_address.is_empty() || !is_live(member.status()) {
            return;
        }
        let address = member.control_address.clone();
        if let Some(holder) = self.other_live_holder(key, &address) {
            let order = |key: MemberKey| {
                let member = &self.entries[key].member;
                (member.incarnation, member.node.as_str())
            };
            if order(holder) > order(key) {
                self.apply_event(key, MemberEvent::AddressTaken, now);
                return;
            }
            self.apply_event(holder, MemberEvent::AddressTaken, now);
        }
        self.keys_by_address.insert(address.into(), key);
    }

    /// The live entry other than `key` at a control address.
    fn other_live_holder(&self, key: MemberKey, address: &str) -> Option<MemberKey> {
        let holder = *self.keys_by_address.get(address)?;
        let member = &self.entries.get(holder)?.member;
        let is_other = holder != key && member.control_address == address;
        (is_other && is_live(member.status())).then_some(holder)
    }

    /// Adds the entry to the digest of its domain, or removes it if included: XOR does both.
    fn toggle_in_digest(&mut self, key: MemberKey) {
        let member = &self.entries[key].member;
        let hash = entry_hash(member);
        if let Some(digest) = self.digests.get_mut(&member.domain) {
            *digest ^= hash;
        } else {
            self.digests.insert(member.domain.clone(), hash);
        }
    }

    /// Applies `event` to an entry; returns whether the entry must be disseminated.
    fn apply_event(&mut self, key: MemberKey, event: MemberEvent, now: Instant) -> bool {
        let status = self.entries[key].member.status();
        let mut state = MemberState::from(status);
        let actions = MEMBER_CHART.advance(&mut state, event);
        if MemberStatus::from(state) != status {
            self.toggle_in_digest(key);
            let entry = &mut self.entries[key];
            Arc::make_mut(&mut entry.member).status = MemberStatus::from(state).into();
            entry.changed_at = now;
            self.toggle_in_digest(key);
        }
        let mut disseminate = false;
        for action in actions {
            match action {
                MemberAction::StartSuspicionTimer => {
                    if self.entries[key].deadline.is_none() {
                        self.set_deadline(
                            key,
                            Some(after_ms(now, self.settings.suspicion_timeout_ms)),
                        );
                    }
                }
                MemberAction::StartRetentionTimer => {
                    self.set_deadline(
                        key,
                        Some(after_ms(now, self.settings.dead_entry_retention_ms)),
                    );
                }
                MemberAction::CancelTimer => self.set_deadline(key, None),
                MemberAction::CreateTombstone => self.replace_with_tombstone(key, now),
                MemberAction::Disseminate => disseminate = true,
            }
        }
        disseminate
    }

    fn set_deadline(&mut self, key: MemberKey, deadline: Option<Instant>) {
        let entry = &mut self.entries[key];
        if let Some(old_deadline) = std::mem::replace(&mut entry.deadline, deadline) {
            self.keys_by_deadline.remove(&(old_deadline, key));
        }
        if let Some(deadline) = deadline {
            self.keys_by_deadline.insert((deadline, key));
        }
    }

    fn replace_with_tombstone(&mut self, key: MemberKey, now: Instant) {
        self.set_deadline(key, None);
        if let Some(entry) = self.entries.remove(key) {
            let member = entry.member;
            self.keys_by_name.remove(member.node.as_str());
            let address = member.control_address.as_str();
            if self.keys_by_address.get(address) == Some(&key) {
                self.keys_by_address.remove(address);
            }
            let tombstone = Tombstone {
                expires_at: after_ms(now, self.settings.tombstone_retention_ms),
                member: Arc::clone(&member),
            };
            self.tombstones
                .insert(member.node.as_str().into(), tombstone);
        }
    }

    /// Applies an event that this node observed; returns whether the entry must be disseminated.
    pub(crate) fn apply_local_event(
        &mut self,
        node: &str,
        event: MemberEvent,
        now: Instant,
    ) -> bool {
        match self.keys_by_name.get(node) {
            Some(key) => self.apply_event(*key, event, now),
            None => false,
        }
    }

    /// Expires suspicions, retained entries and tombstones; returns the names of the nodes that
    /// became dead.
    pub(crate) fn expire_deadlines(&mut self, now: Instant) -> Vec<String> {
        let mut dead_nodes = Vec::new();
        while let Some((deadline, key)) = self.keys_by_deadline.first().copied() {
            if !deadline.is_past(now) {
                break;
            }
            let member = &self.entries[key].member;
            let event = if is_live(member.status()) {
                dead_nodes.push(member.node.clone());
                MemberEvent::SuspicionExpired
            } else {
                MemberEvent::RetentionExpired
            };
            self.set_deadline(key, None);
            self.apply_event(key, event, now);
        }
        self.tombstones
            .retain(|_, tombstone| !tombstone.expires_at.is_past(now));
        dead_nodes
    }

    /// Restarts the suspicion timeout of every suspected node, after a pause of this process.
    pub(crate) fn restart_suspicions(&mut self, now: Instant) {
        let keys: Vec<MemberKey> = self.keys_by_deadline.iter().map(|(_, key)| *key).collect();
        for key in keys {
            if is_live(self.entries[key].member.status()) {
                self.set_deadline(key, Some(after_ms(now, self.settings.suspicion_timeout_ms)));
            }
        }
    }

    /// Returns when [`Self::expire_deadlines`] must run next.
    pub(crate) fn next_deadline(&self) -> Option<Instant> {
        self.keys_by_deadline.first().map(|(deadline, _)| *deadline)
    }

    /// Records that `node` holds `version`. Versions are not disseminated as updates, since each
    /// configuration change would then cost a message per pair of nodes.
    pub fn observe_version(&mut self, node: &str, version: u64) {
        if let Some(key) = self.keys_by_name.get(node) {
            self.entries[*key].raise_version(version);
        }
    }

    /// Returns the entry of `node`.
    pub fn get(&self, node: &str) -> Option<&Member> {
        self.keys_by_name
            .get(node)
            .map(|key| &*self.entries[*key].member)
    }

    /// Returns the entry of `node` or, after its removal, the one in its tombstone.
    pub(crate) fn latest_known(&self, node: &str) -> Option<&Member> {
        let tombstone = || {
            self.tombstones
                .get(node)
                .map(|tombstone| &*tombstone.member)
        };
        self.get(node).or_else(tombstone)
    }

    /// Iterates over all entries, sorted by name.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.keys_by_name
            .values()
            .map(|key| &*self.entries[*key].member)
    }

    /// Iterates over the entries that take part in dissemination: alive, suspect or draining.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        self.members().filter(|member| is_live(member.status()))
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.keys_by_name.len()
    }

    /// Returns whether the table has no entries.
    pub fn is_empty(&self) -> bool {
        self.keys_by_name.is_empty()
    }

    /// Returns the digest of all live entries.
    pub fn digest(&self) -> u64 {
        self.digests.values().fold(0, |all, digest| all ^ digest)
    }

    /// Returns the number of known failure domains.
    pub(crate) fn domain_count(&self) -> usize {
        self.digests.len()
    }

    /// Returns the digests of the failure domains that have live entries.
    pub fn domain_digests(&self) -> Vec<DomainDigest> {
        let non_empty = self.digests.iter().filter(|(_, digest)| **digest != 0);
        non_empty
            .map(|(domain, digest)| DomainDigest {
                domain: domain.clone(),
                digest: *digest,
            })
            .collect()
    }

    /// Returns the failure domains whose local digest differs from that in `remote_digests`.
    pub(crate) fn differing_domains(&self, remote_digests: &[DomainDigest]) -> BTreeSet<String> {
        let remote_by_domain: BTreeMap<&str, u64> = remote_digests
            .iter()
            .map(|digest| (digest.domain.as_str(), digest.digest))
            .collect();
        let local_digest = |domain: &str| self.digests.get(domain).copied().unwrap_or(0);
        let local_domains = self.digests.keys().map(String::as_str);
        local_domains
            .chain(remote_by_domain.keys().copied())
            .filter(|domain| {
                local_digest(domain) != remote_by_domain.get(domain).copied().unwrap_or(0)
            })
            .map(str::to_owned)
            .collect()
    }
}

pub(crate) fn after_ms(now: Instant, delay_ms: u64) -> Instant {
    now.after(Duration::from_millis(delay_ms))
}
