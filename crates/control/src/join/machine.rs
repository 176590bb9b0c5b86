//! State machine of a joining node, which obtains its floor from the store or from its peers.

use std::collections::{BTreeMap, BTreeSet};

use agatedeck_clock::Instant;
use agatedeck_wire::{FloorAnswer, FloorRecord, Join, JoinAnswer, Member};
use rand::Rng;
use rand::seq::IteratorRandom;

use super::chart::{JOIN_CHART, JoinAction, JoinEvent, JoinState};
use crate::member::{after_ms, is_live};

/// Timeouts and limits of a join.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct JoinSettings {
    /// Timeout of one round of floor queries, in milliseconds.
    pub round_timeout_ms: u64,
    /// Upper bound of the first delay between rounds, in milliseconds. Each delay is drawn between
    /// zero and its bound (full jitter), which spreads the requests of nodes that start together.
    pub initial_backoff_ms: u64,
    /// Maximum that the upper bound grows to, in milliseconds.
    pub backoff_limit_ms: u64,
    /// Number of `Join` requests sent at the start of a round. One that fails or is refused is followed
    /// by one to another peer. Few, since each answer holds the whole member table.
    pub max_concurrent_joins: usize,
}

impl Default for JoinSettings {
    fn default() -> Self {
        Self {
            round_timeout_ms: 1_000,
            initial_backoff_ms: 500,
            backoff_limit_ms: 15_000,
            max_concurrent_joins: 2,
        }
    }
}

/// Side effect that the caller of a [`JoinMachine`] must perform.
#[derive(Clone, Debug, PartialEq)]
pub enum JoinEffect {
    /// Read the head from the store and pass the result to [`JoinMachine::on_head`].
    ReadHead,
    /// Send a `Join` and pass its answer to [`JoinMachine::on_join_answer`].
    Join {
        /// Control address of the peer.
        address: String,
        /// The message.
        join: Join,
    },
    /// Query a node of the local domain for the floor of this host and pass the answer to
    /// [`JoinMachine::on_floor_answer`].
    QueryFloor {
        /// Name of the peer.
        node: String,
        /// Control address of the peer.
        address: String,
        /// The message; its version is 0, so that the peer records nothing.
        record: FloorRecord,
    },
    /// Merge the member list of a peer into the member table.
    MergeMemberList(Vec<Member>),
    /// Fetch a version at or above `floor` from the store or any peer.
    Fetch {
        /// Lowest version that may be activated.
        floor: u64,
    },
    /// Start serving calls.
    Serve,
    /// Finish calls in flight and accept no new ones.
    Drain,
    /// Exit the process.
    Stop,
}

/// Life cycle of one node from start through serving to shutdown, as `charts/join.toml` defines it.
///
/// Invariant: `Serve` is returned only after the floor is known and the node holds a version at or
/// above it. The floor is known once the head was read from the store, or once a serving peer
/// accepted the join, every node of the domain that is live in that peer's member list has answered
/// the floor query, and at least one of them has a record of this host.
///
/// Querying the whole domain costs one short message per node, and is needed only while the store
/// is unavailable. Querying just the current witnesses would miss earlier ones if the membership
/// changed since the last record.
#[derive(Clone, Debug)]
pub struct JoinMachine {
    settings: JoinSettings,
    local_member: Member,
    state: JoinState,
    seed_addresses: BTreeSet<String>,
    /// Seed addresses not yet sent a `Join` in this round.
    untried_addresses: BTreeSet<String>,
    joined: bool,
    /// Highest version that a peer has recorded for this host.
    recorded_floor: u64,
    /// Whether a node of the domain answered in this round with a record of this host.
    recorded_in_domain: bool,
    /// Highest version held by a peer that accepted a join.
    max_peer_version: u64,
    /// Nodes of the domain that have not answered the floor query of this round, with their control
    /// addresses; `None` until a peer has sent its member list.
    pending_floor_answers: Option<BTreeMap<String, String>>,
    floor: Option<u64>,
    /// Failed rounds or, once the floor is known, failed fetches. Determines the backoff.
    failed_attempts: u32,
    round_deadline: Option<Instant>,
    retry_at: Option<Instant>,
}

impl JoinMachine {
    /// Creates the machine of `local_member` in its initial state. `seed_addresses` are the control
    /// addresses of the peers to contact.
    pub fn new(local_member: &Member, seed_addresses: &[&str], settings: &JoinSettings) -> Self {
        let local_address = local_member.control_address.as_str();
        let remote_addresses = seed_addresses
            .iter()
            .filter(|address| **address != local_address);
        Self {
            settings: settings.clone(),
            local_member: local_member.clone(),
            state: JOIN_CHART.initial(),
            seed_addresses: remote_addresses
                .map(|address| (*address).to_owned())
                .collect(),
            untried_addresses: BTreeSet::new(),
            joined: false,
            recorded_floor: 0,
            recorded_in_domain: false,
            max_peer_version: 0,
            pending_floor_answers: None,
            floor: None,
            failed_attempts: 0,
            round_deadline: None,
            retry_at: None,
        }
    }

    /// Returns the current phase.
    pub fn state(&self) -> JoinState {
        self.state
    }

    /// Returns the lowest version that may be activated, once it is known.
    pub fn floor(&self) -> Option<u64> {
        self.floor
    }

    /// Returns whether a peer has accepted the join and sent its member list.
    pub fn has_joined(&self) -> bool {
        self.joined
    }

    /// Returns when [`Self::tick`] must run next.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.round_deadline.into_iter().chain(self.retry_at).min()
    }

    /// Adds control addresses of peers, such as those of a bootstrap row that was read later.
    pub fn add_seed_addresses(&mut self, addresses: &[&str]) {
        for address in addresses {
            if *address != self.local_member.control_address
                && self.seed_addresses.insert((*address).to_owned())
            {
                self.untried_addresses.insert((*address).to_owned());
            }
        }
    }

    /// Starts the first round of floor queries.
    pub fn start(&mut self, now: Instant, rng: &mut impl Rng) -> Vec<JoinEffect> {
        self.apply_event(JoinEvent::Start, now, rng)
    }

    /// Ends rounds that timed out and starts retries that are due.
    pub fn tick(&mut self, now: Instant, rng: &mut impl Rng) -> Vec<JoinEffect> {
        let mut effects = Vec::new();
        if self
            .round_deadline
            .is_some_and(|deadline| deadline.is_past(now))
        {
            self.round_deadline = None;
            if self.state == JoinState::Asking {
                effects.extend(self.apply_event(JoinEvent::RoundTimedOut, now, rng));
            } else if !self.joined {
                // The floor came from the store, but no peer has accepted the join yet.
                self.untried_addresses = self.seed_addresses.clone();
                self.send_next_join(rng, &mut effects);
                let delay_ms = rng.random_range(0..=self.settings.backoff_limit_ms);
                let deadline = after_ms(now, self.settings.round_timeout_ms + delay_ms);
                self.round_deadline = Some(deadline);
            }
        }
        if self.retry_at.is_some_and(|retry_at| retry_at.is_past(now)) {
            self.retry_at = None;
            effects.extend(self.apply_event(JoinEvent::RetryDue, now, rng));
        }
        effects
    }

    /// Handles the version of the head in the store; `None` if the store is unavailable.
    pub fn on_head(
        &mut self,
        head: Option<u64>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Vec<JoinEffect> {
        match head {
            Some(version) => self.raise_floor(version, now, rng),
            None => Vec::new(),
        }
    }

    /// Handles the answer to a `Join`.
    pub fn on_join_answer(
        &mut self,
        answer: &JoinAnswer,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Vec<JoinEffect> {
        let mut effects = Vec::new();
        if !answer.accepted {
            self.send_next_join(rng, &mut effects);
            return effects;
        }
        self.joined = true;
        self.recorded_floor = self.recorded_floor.max(answer.floor);
        self.max_peer_version = self.max_peer_version.max(answer.version);
        for member in answer
            .members
            .iter()
            .filter(|member| is_live(member.status()))
        {
            self.seed_addresses.insert(member.control_address.clone());
        }
        self.seed_addresses
            .remove(&self.local_member.control_address);
        effects.push(JoinEffect::MergeMemberList(answer.members.clone()));
        // A peer that does not serve yet may know only part of the domain.
        let knows_domain = answer.version > 0 && self.pending_floor_answers.is_none();
        if self.state == JoinState::Asking && knows_domain {
            let peers = answer.members.iter().filter(|member| {
                member.domain == self.local_member.domain
                    && member.node != self.local_member.node
                    && is_live(member.status())
            });
            let mut pending_floor_answers = BTreeMap::new();
            for peer in peers {
                pending_floor_answers.insert(peer.node.clone(), peer.control_address.clone());
                effects.push(JoinEffect::QueryFloor {
                    node: peer.node.clone(),
                    address: peer.control_address.clone(),
                    record: FloorRecord {
                        node: self.local_member.node.clone(),
                        version: 0,
                    },
                });
            }
            self.pending_floor_answers = Some(pending_floor_answers);
        }
        effects.extend(self.establish_floor_from_peers(now, rng));
        effects
    }

    /// Handles a failed `Join` by sending one to another peer.
    pub fn on_join_failed(&mut self, rng: &mut impl Rng) -> Vec<JoinEffect> {
        let mut effects = Vec::new();
        self.send_next_join(rng, &mut effects);
        effects
    }

    /// Handles the answer of `node`, a node of the local domain, to a floor query.
    pub fn on_floor_answer(
        &mut self,
        node: &str,
        answer: &FloorAnswer,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Vec<JoinEffect> {
        self.recorded_floor = self.recorded_floor.max(answer.version);
        self.recorded_in_domain |= answer.version > 0;
        if let Some(pending_floor_answers) = &mut self.pending_floor_answers {
            pending_floor_answers.remove(node);
        }
        self.establish_floor_from_peers(now, rng)
    }

    /// Handles a version that this node now holds and could activate. One below the floor counts as
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
        self.apply_event(event, now, rng)
    }

    /// Handles a fetch that returned no version at or above the floor.
    pub fn on_fetch_failed(&mut self, now: Instant, rng: &mut impl Rng) -> Vec<JoinEffect> {
        self.apply_event(JoinEvent::FetchFailed, now, rng)
    }

    /// Starts the shutdown of the node.
    pub fn drain(&mut self, now: Instant, rng: &mut impl Rng) -> Vec<JoinEffect> {
        self.apply_event(JoinEvent::Drain, now, rng)
    }

    /// Handles the end of the last call in flight.
    pub fn on_drained(&mut self, now: Instant, rng: &mut impl Rng) -> Vec<JoinEffect> {
        self.apply_event(JoinEvent::Drained, now, rng)
    }

    /// Sets the floor if the answers of the peers determine it.
    fn establish_floor_from_peers(&mut self, now: Instant, rng: &mut impl Rng) -> Vec<JoinEffect> {
        let all_answered = self
            .pending_floor_answers
            .as_ref()
            .is_some_and(BTreeMap::is_empty);
        // Nodes of other domains are not witnesses: the version that they know for this host may be
        // older than the one that it served.
        if all_answered && self.recorded_in_domain {
            self.raise_floor(self.recorded_floor.max(self.max_peer_version), now, rng)
        } else {
            Vec::new()
        }
    }

    /// Sets or raises the floor. A later answer may raise it until the node serves, but never lower
    /// it.
    fn raise_floor(&mut self, floor: u64, now: Instant, rng: &mut impl Rng) -> Vec<JoinEffect> {
        if self.floor.is_none() {
            self.failed_attempts = 0;
        }
        self.floor = self.floor.max(Some(floor));
        let effects = self.apply_event(JoinEvent::FloorKnown, now, rng);
        // If the store answers after the round has ended, no round is left in which a `Join` would
        // be sent.
        if self.state == JoinState::Fetching && !self.joined && self.round_deadline.is_none() {
            self.round_deadline = Some(now);
        }
        effects
    }

    fn apply_event(
        &mut self,
        event: JoinEvent,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Vec<JoinEffect> {
        let mut effects = Vec::new();
        for action in JOIN_CHART.advance(&mut self.state, event) {
            match action {
                JoinAction::QueryFloor => {
                    self.pending_floor_answers = None;
                    self.recorded_in_domain = false;
                    self.untried_addresses = self.seed_addresses.clone();
                    self.round_deadline = Some(after_ms(now, self.settings.round_timeout_ms));
                    effects.push(JoinEffect::ReadHead);
                    for _ in 0..self.settings.max_concurrent_joins {
                        self.send_next_join(rng, &mut effects);
                    }
                }
                JoinAction::ScheduleRetry => self.schedule_retry(now, rng),
                JoinAction::FetchVersion => {
                    effects.push(JoinEffect::Fetch {
                        floor: self.floor.unwrap_or(0),
                    });
                }
                JoinAction::StartServing => effects.push(JoinEffect::Serve),
                JoinAction::StartDraining => effects.push(JoinEffect::Drain),
                JoinAction::Stop => {
                    (self.round_deadline, self.retry_at) = (None, None);
                    effects.push(JoinEffect::Stop);
                }
            }
        }
        effects
    }

    /// Sends a `Join` to a random seed address that was not tried in this round.
    fn send_next_join(&mut self, rng: &mut impl Rng, effects: &mut Vec<JoinEffect>) {
        let needs_peer = match self.state {
            JoinState::Asking => self.pending_floor_answers.is_none(),
            JoinState::Fetching | JoinState::Serving => !self.joined,
            _ => false,
        };
        if !needs_peer {
            return;
        }
        let Some(address) = self.untried_addresses.iter().choose(rng).cloned() else {
            return;
        };
        self.untried_addresses.remove(&address);
        effects.push(JoinEffect::Join {
            address,
            join: Join {
                member: Some(self.local_member.clone()),
            },
        });
    }

    /// Schedules the next attempt by exponential backoff with full jitter.
    fn schedule_retry(&mut self, now: Instant, rng: &mut impl Rng) {
        let backoff_ms = self.settings.initial_backoff_ms << self.failed_attempts.min(16);
        let max_delay_ms = backoff_ms.min(self.settings.backoff_limit_ms);
        self.failed_attempts = self.failed_attempts.saturating_add(1);
        self.retry_at = Some(after_ms(now, rng.random_range(0..=max_delay_ms)));
    }
}
