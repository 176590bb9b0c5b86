//! The joining side: how a node without a disk obtains its floor.

use std::collections::{BTreeMap, BTreeSet};

use agatedeck_clock::Instant;
use agatedeck_wire::{FloorAnswer, FloorRecord, Join, JoinAnswer, Member};
use rand::Rng;
use rand::seq::IteratorRandom;

use super::chart::{JOIN_CHART, JoinAction, JoinEvent, JoinState};
use crate::member::{after_ms, is_live};

/// Times and counts of a join.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct JoinSettings {
    /// Time allowed for one round of questions, in milliseconds.
    pub round_timeout_ms: u64,
    /// Upper end of the first wait between rounds, in milliseconds. Each wait is drawn between
    /// zero and its upper end, which spreads the nodes of a failure domain that start together.
    pub backoff_ms: u64,
    /// Largest upper end, in milliseconds.
    pub backoff_limit_ms: u64,
    /// Peers sent a `Join` at once; each answer holds the whole member table.
    pub joins_at_once: usize,
}

impl Default for JoinSettings {
    fn default() -> Self {
        Self {
            round_timeout_ms: 1_000,
            backoff_ms: 500,
            backoff_limit_ms: 15_000,
            joins_at_once: 2,
        }
    }
}

/// What the caller of a [`JoinProcess`] is to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum JoinEffect {
    /// Read the store's head; the result goes to [`JoinProcess::on_head`].
    ReadHead,
    /// Send a `Join`; the answer goes to [`JoinProcess::on_join_answer`].
    Join {
        /// Control address of the peer.
        address: String,
        /// The message.
        join: Join,
    },
    /// Ask a node of the own domain what it remembers of this host; the answer goes to
    /// [`JoinProcess::on_floor_answer`].
    QueryFloor {
        /// Name of the peer.
        node: String,
        /// Its control address.
        address: String,
        /// The message; its version is 0, so nothing is recorded.
        record: FloorRecord,
    },
    /// Take these members into the member table.
    MergeMemberList(Vec<Member>),
    /// Fetch a version that is not below `floor`, from the store or any peer.
    Fetch {
        /// Lowest version that may be put in force.
        floor: u64,
    },
    /// Start to serve.
    Serve,
    /// Finish the work in flight and accept no more.
    Drain,
    /// End the process.
    Stop,
}

/// One node's way from its start to serving and to its end, by `charts/join.toml`.
///
/// Invariant: `Serve` is returned only after the floor is known and a version at or above it is
/// held. The floor is known when the store's head was read, or when a serving peer accepted the
/// join, every node of the domain that is live in the members it sent has answered, and one of them remembers
/// this host.
///
/// Asking the whole domain costs one short message for each of its nodes, and only while the store
/// is unavailable. Asking the present witnesses alone would miss the former ones where the
/// membership changed since the last record.
#[derive(Clone, Debug)]
pub struct JoinProcess {
    settings: JoinSettings,
    own: Member,
    state: JoinState,
    contacts: BTreeSet<String>,
    /// Contacts not asked in this round.
    unasked: BTreeSet<String>,
    adopted: bool,
    /// Highest version that a peer remembers for this host.
    remembered: u64,
    /// Whether a node of the domain remembers this host in this round.
    remembered_in_domain: bool,
    /// Highest version that an answering peer holds.
    held_by_peers: u64,
    /// Nodes of the domain, by name, that have not answered in this round; `None` until a peer
    /// sent its members.
    awaited: Option<BTreeMap<String, String>>,
    floor: Option<u64>,
    failed_rounds: u32,
    round_ends_at: Option<Instant>,
    retry_at: Option<Instant>,
}

impl JoinProcess {
    /// The join of node `own`, which may ask the peers at the control addresses `contacts`.
    pub fn new(own: &Member, contacts: &[&str], settings: &JoinSettings) -> Self {
        let own_address = own.control_address.as_str();
        let contacts = contacts.iter().filter(|address| **address != own_address);
        Self {
            settings: settings.clone(),
            own: own.clone(),
            state: JOIN_CHART.initial(),
            contacts: contacts.map(|address| (*address).to_owned()).collect(),
            unasked: BTreeSet::new(),
            adopted: false,
            remembered: 0,
            remembered_in_domain: false,
            held_by_peers: 0,
            awaited: None,
            floor: None,
            failed_rounds: 0,
            round_ends_at: None,
            retry_at: None,
        }
    }

    /// How far the node has come.
    pub fn state(&self) -> JoinState {
        self.state
    }

    /// Lowest version that may be put in force, once it is known.
    pub fn floor(&self) -> Option<u64> {
        self.floor
    }

    /// Whether a peer has sent its members.
    pub fn has_joined(&self) -> bool {
        self.adopted
    }

    /// When [`Self::tick`] next has something to do.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.round_ends_at.into_iter().chain(self.retry_at).min()
    }

    /// Adds control addresses, such as those of a bootstrap row that was read later.
    pub fn add_seed_addresses(&mut self, addresses: &[&str]) {
        for address in addresses {
            if *address != self.own.control_address && self.contacts.insert((*address).to_owned()) {
                self.unasked.insert((*address).to_owned());
            }
        }
    }

    /// Begins to ask.
    pub fn start(&mut self, now: Instant, rng: &mut impl Rng) -> Vec<JoinEffect> {
        self.advance(JoinEvent::Start, now, rng)
    }

    /// Ends rounds and starts retries that are due.
    pub fn tick(&mut self, now: Instant, rng: &mut impl Rng) -> Vec<JoinEffect> {
        let mut effects = Vec::new();
        if self.round_ends_at.is_some_and(|end| end.is_past(now)) {
            self.round_ends_at = None;
            if self.state == JoinState::Asking {
                effects.extend(self.advance(JoinEvent::RoundFailed, now, rng));
            } else if !self.adopted {
                // The store gave the floor, but no peer has taken this node in yet.
                self.unasked = self.contacts.clone();
                self.ask_next(rng, &mut effects);
                let pause = rng.random_range(0..=self.settings.backoff_limit_ms);
                let end = after_ms(now, self.settings.round_timeout_ms + pause);
                self.round_ends_at = Some(end);
            }
        }
        if self.retry_at.is_some_and(|retry| retry.is_past(now)) {
            self.retry_at = None;
            effects.extend(self.advance(JoinEvent::RetryDue, now, rng));
        }
        effects
    }

    /// Takes in the version in the store's head; `None` if the store is unavailable.
    pub fn on_head(
        &mut self,
        head: Option<u64>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Vec<JoinEffect> {
        match head {
            Some(version) => self.found(version, now, rng),
            None => Vec::new(),
        }
    }

    /// Takes in the answer to a `Join`.
    pub fn on_join_answer(
        &mut self,
        answer: &JoinAnswer,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Vec<JoinEffect> {
        let mut effects = Vec::new();
        if !answer.accepted {
            self.ask_next(rng, &mut effects);
            return effects;
        }
        self.adopted = true;
        self.remembered = self.remembered.max(answer.floor);
        self.held_by_peers = self.held_by_peers.max(answer.version);
        for member in answer.members.iter().filter(|m| is_live(m.status())) {
            self.contacts.insert(member.control_address.clone());
        }
        self.contacts.remove(&self.own.control_address);
        effects.push(JoinEffect::MergeMemberList(answer.members.clone()));
        // A peer that serves nothing yet may know only a part of the domain.
        let knows_domain = answer.version > 0 && self.awaited.is_none();
        if self.state == JoinState::Asking && knows_domain {
            let peers = answer.members.iter().filter(|member| {
                member.domain == self.own.domain
                    && member.node != self.own.node
                    && is_live(member.status())
            });
            let mut awaited = BTreeMap::new();
            for peer in peers {
                awaited.insert(peer.node.clone(), peer.control_address.clone());
                effects.push(JoinEffect::QueryFloor {
                    node: peer.node.clone(),
                    address: peer.control_address.clone(),
                    record: FloorRecord {
                        node: self.own.node.clone(),
                        version: 0,
                    },
                });
            }
            self.awaited = Some(awaited);
        }
        effects.extend(self.conclude(now, rng));
        effects
    }

    /// Notes that a `Join` was not answered, and asks another peer.
    pub fn on_join_failed(&mut self, rng: &mut impl Rng) -> Vec<JoinEffect> {
        let mut effects = Vec::new();
        self.ask_next(rng, &mut effects);
        effects
    }

    /// Takes in what the node `node` of the domain remembers of this host.
    pub fn on_floor_answer(
        &mut self,
        node: &str,
        answer: &FloorAnswer,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Vec<JoinEffect> {
        self.remembered = self.remembered.max(answer.version);
        self.remembered_in_domain |= answer.version > 0;
        if let Some(awaited) = &mut self.awaited {
            awaited.remove(node);
        }
        self.conclude(now, rng)
    }

    /// Notes the version that this node holds and would put in force. One below the floor counts as
    /// a failed fetch, since a late answer may have raised the floor after the fetch began.
    pub fn on_held_version(
        &mut self,
        version: u64,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Vec<JoinEffect> {
        let event = match self.floor {
            Some(floor) if version >= floor => JoinEvent::CaughtUp,
            _ => JoinEvent::FetchFailed,
        };
        self.advance(event, now, rng)
    }

    /// Notes that a fetch brought nothing at or above the floor.
    pub fn on_fetch_failed(&mut self, now: Instant, rng: &mut impl Rng) -> Vec<JoinEffect> {
        self.advance(JoinEvent::FetchFailed, now, rng)
    }

    /// Begins the end of the process.
    pub fn drain(&mut self, now: Instant, rng: &mut impl Rng) -> Vec<JoinEffect> {
        self.advance(JoinEvent::Drain, now, rng)
    }

    /// Notes that no work is left.
    pub fn on_drained(&mut self, now: Instant, rng: &mut impl Rng) -> Vec<JoinEffect> {
        self.advance(JoinEvent::Drained, now, rng)
    }

    /// Decides whether the peers' answers give the floor.
    fn conclude(&mut self, now: Instant, rng: &mut impl Rng) -> Vec<JoinEffect> {
        let all_answered = self.awaited.as_ref().is_some_and(BTreeMap::is_empty);
        // Nodes of other domains are no witnesses, and the version that they show for this host may
        // be older than the one it served.
        if all_answered && self.remembered_in_domain {
            self.found(self.remembered.max(self.held_by_peers), now, rng)
        } else {
            Vec::new()
        }
    }

    /// Sets the floor; a later source may raise it until the node serves, but never lower it.
    fn found(&mut self, floor: u64, now: Instant, rng: &mut impl Rng) -> Vec<JoinEffect> {
        if self.floor.is_none() {
            self.failed_rounds = 0;
        }
        self.floor = self.floor.max(Some(floor));
        let effects = self.advance(JoinEvent::FloorKnown, now, rng);
        // A store that answers after the round ended leaves no round in which a peer is asked to
        // take this node in.
        if self.state == JoinState::Fetching && !self.adopted && self.round_ends_at.is_none() {
            self.round_ends_at = Some(now);
        }
        effects
    }

    fn advance(&mut self, event: JoinEvent, now: Instant, rng: &mut impl Rng) -> Vec<JoinEffect> {
        let mut effects = Vec::new();
        for action in JOIN_CHART.advance(&mut self.state, event) {
            match action {
                JoinAction::Ask => {
                    self.awaited = None;
                    self.remembered_in_domain = false;
                    self.unasked = self.contacts.clone();
                    self.round_ends_at = Some(after_ms(now, self.settings.round_timeout_ms));
                    effects.push(JoinEffect::ReadHead);
                    for _ in 0..self.settings.joins_at_once {
                        self.ask_next(rng, &mut effects);
                    }
                }
                JoinAction::ScheduleRetry => self.schedule_retry(now, rng),
                JoinAction::Fetch => {
                    effects.push(JoinEffect::Fetch {
                        floor: self.floor.unwrap_or(0),
                    });
                }
                JoinAction::Serve => effects.push(JoinEffect::Serve),
                JoinAction::Drain => effects.push(JoinEffect::Drain),
                JoinAction::Stop => {
                    (self.round_ends_at, self.retry_at) = (None, None);
                    effects.push(JoinEffect::Stop);
                }
            }
        }
        effects
    }

    /// Sends a `Join` to a contact that was not asked in this round.
    fn ask_next(&mut self, rng: &mut impl Rng, effects: &mut Vec<JoinEffect>) {
        let asks = match self.state {
            JoinState::Asking => self.awaited.is_none(),
            JoinState::Fetching | JoinState::Serving => !self.adopted,
            _ => false,
        };
        if !asks {
            return;
        }
        let Some(address) = self.unasked.iter().choose(rng).cloned() else {
            return;
        };
        self.unasked.remove(&address);
        effects.push(JoinEffect::Join {
            address,
            join: Join {
                member: Some(self.own.clone()),
            },
        });
    }

    /// Exponential backoff with full jitter.
    fn schedule_retry(&mut self, now: Instant, rng: &mut impl Rng) {
        let doubled = self.settings.backoff_ms << self.failed_rounds.min(16);
        let upper = doubled.min(self.settings.backoff_limit_ms);
        self.failed_rounds = self.failed_rounds.saturating_add(1);
        self.retry_at = Some(after_ms(now, rng.random_range(0..=upper)));
    }
}
