//! Whom a node asks for confirmations, and when.

use std::time::Duration;

use agatedeck_clock::Instant;
use agatedeck_wire::Member;
use rand::seq::IteratorRandom;
use rand::{Rng, RngCore};

use crate::member::MemberTable;
use crate::rendezvous::{rank_candidates, rendezvous_score};
use crate::silence::SilenceLog;

/// Salt of the rendezvous ranking that selects the delegates of a failure domain.
const DELEGATE_RANK_SALT: u64 = 0x636f_6e66;

/// Number of requests in vain after which the same kinds of sources are tried again.
const REQUESTS_PER_ROUND: u32 = 4;

/// Number of requests in vain from which a heartbeat of the reader is worth another request.
const MIN_FRUITLESS_REQUESTS: u32 = 2;

/// Settings of a [`ConfirmationSchedule`].
///
/// A leading reader's own confirmation is between 0.5 s and 1 s old, since a read waits for 0.5 s. Nodes
/// ask when the next confirmation has just become available, so that each further hop adds little.
/// After the loss of the store, a node must be able to use keys for 3 s more of the 5 s, so a confirmation
/// should not be older than 1.75 s.
#[derive(Clone, Copy, Debug)]
pub struct ConfirmationSettings {
    /// Age of the confirmation at which a delegate asks the leading reader.
    pub delegate_age: Duration,
    /// Age of the confirmation at which another node asks a delegate, which then has a later one.
    pub member_age: Duration,
    /// Range of the random time by which the nodes spread their requests.
    pub age_spread: Duration,
    /// Minimum time between an answer with a later confirmation and the next request.
    pub min_interval: Duration,
    /// Time without an answer after which the next node is asked.
    pub answer_timeout: Duration,
    /// Time for which a late answer is still awaited.
    pub request_timeout: Duration,
    /// Pause after the first answer without a later confirmation. It grows with each further one.
    pub initial_pause: Duration,
    /// Maximum pause after an answer without a later confirmation.
    pub max_pause: Duration,
    /// Time for which a node that did not answer is passed over.
    pub silence_memory: Duration,
    /// Number of nodes that ask one delegate.
    pub nodes_per_delegate: usize,
    /// Number of nodes up to which all of them ask the leading reader if their delegates have no later
    /// confirmation. In larger fleets the reader could not answer them.
    pub max_direct_nodes: usize,
}

impl Default for ConfirmationSettings {
    fn default() -> Self {
        Self {
            delegate_age: Duration::from_millis(1_050),
            member_age: Duration::from_millis(1_250),
            age_spread: Duration::from_millis(150),
            min_interval: Duration::from_millis(450),
            answer_timeout: Duration::from_millis(200),
            request_timeout: Duration::from_secs(2),
            initial_pause: Duration::from_millis(50),
            max_pause: Duration::from_millis(600),
            silence_memory: Duration::from_secs(5),
            nodes_per_delegate: 64,
            max_direct_nodes: 256,
        }
    }
}

/// What a node knows of the others when it asks.
#[derive(Clone, Copy, Debug)]
pub struct ConfirmationView<'a> {
    /// The members of the fleet.
    pub table: &'a MemberTable,
    /// This node.
    pub local_member: &'a Member,
    /// The reader that sent the last heartbeat.
    pub reader: Option<&'a str>,
}

/// Where to get a confirmation from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ConfirmationSource<'a> {
    /// Another node, which is asked for its confirmation.
    Peer(&'a Member),
    /// A read of this node that need not wait for a change.
    OwnRead,
}

/// Decides when this node asks for a confirmation, and whom.
///
/// A few delegates of each failure domain ask the leading reader and all other nodes a delegate, which
/// bounds the requests that one node answers. A node without a later confirmation asks the reader itself,
/// then any nodes: it may be that only few of them have a path to the store. A delegate also reads by itself,
/// so that confirmations do not wait until another reader has taken over from one that is gone.
#[derive(Debug)]
pub struct ConfirmationSchedule {
    settings: ConfirmationSettings,
    silences: SilenceLog,
    /// Requests since the last confirmation that was later than the ones before it.
    fruitless: u32,
    /// The node that was asked last, until it answers.
    awaited: Option<String>,
    ask_at: Instant,
    /// Age at which the next request is due after a later confirmation.
    ask_age: Duration,
}

impl ConfirmationSchedule {
    /// Creates a schedule whose first request is due at `now`.
    pub fn new(settings: ConfirmationSettings, now: Instant) -> Self {
        Self {
            silences: SilenceLog::new(settings.silence_memory),
            fruitless: 0,
            awaited: None,
            ask_at: now,
            ask_age: settings.delegate_age,
            settings,
        }
    }

    /// When [`Self::poll`] must be called.
    pub fn next_deadline(&self) -> Instant {
        self.ask_at
    }

    /// Handles a confirmation as of `moment`, later than the ones before it. `source` is the node that sent
    /// it; `None` if this node has read the version itself.
    pub fn on_confirmed(
        &mut self,
        source: Option<&str>,
        moment: Instant,
        now: Instant,
        rng: &mut dyn RngCore,
    ) {
        if let Some(source) = source {
            self.silences.record_answer(source);
        }
        self.fruitless = 0;
        self.awaited = None;
        let next_available = moment.after(self.ask_age + self.draw_spread(rng));
        self.ask_at = next_available.max(now.after(self.settings.min_interval));
    }

    /// Handles a heartbeat of the leading reader, which has just read. A node that has asked in vain asks
    /// again: it is likely that the reader was replaced.
    pub fn on_heartbeat(&mut self, now: Instant, rng: &mut dyn RngCore) {
        if self.fruitless < MIN_FRUITLESS_REQUESTS {
            return;
        }
        self.fruitless = 0;
        let delay = self.ask_age.saturating_sub(self.settings.delegate_age);
        let ask_at = now.after(delay + self.draw_spread(rng));
        self.ask_at = self.ask_at.min(ask_at);
    }

    fn draw_spread(&self, rng: &mut dyn RngCore) -> Duration {
        self.settings.age_spread.mul_f64(rng.random_range(0.0..1.0))
    }

    /// Handles an answer of `node`, which may be late, without a later confirmation.
    pub fn on_unchanged_answer(&mut self, node: &str, now: Instant) {
        self.silences.record_answer(node);
        self.end_wait_for(node, now);
    }

    /// Handles that `node` cannot be reached.
    pub fn on_unreachable(&mut self, node: &str, now: Instant) {
        self.silences.record_silence(node, now);
        self.end_wait_for(node, now);
    }

    fn end_wait_for(&mut self, node: &str, now: Instant) {
        if self.awaited.as_deref() == Some(node) {
            self.awaited = None;
            self.ask_at = now.after(self.retry_pause());
        }
    }

    /// Pause after an answer without a later confirmation. Short at first: one of a few nodes likely has
    /// a path to the store.
    fn retry_pause(&self) -> Duration {
        let pause = self.settings.initial_pause.saturating_mul(self.fruitless);
        pause.min(self.settings.max_pause)
    }

    /// Returns whom to ask if a request is due.
    pub fn poll<'a>(
        &mut self,
        view: ConfirmationView<'a>,
        now: Instant,
        rng: &mut dyn RngCore,
    ) -> Option<ConfirmationSource<'a>> {
        if !self.ask_at.is_past(now) {
            return None;
        }
        if let Some(silent) = self.awaited.take() {
            self.silences.record_silence(&silent, now);
        }
        let source = self.select_source(view, now, rng);
        self.fruitless = self.fruitless.saturating_add(1);
        let pause = self.settings.answer_timeout.max(self.retry_pause());
        self.ask_at = now.after(pause);
        if let Some(ConfirmationSource::Peer(peer)) = source {
            self.awaited = Some(peer.node.clone());
        }
        source
    }

    fn select_source<'a>(
        &mut self,
        view: ConfirmationView<'a>,
        now: Instant,
        rng: &mut dyn RngCore,
    ) -> Option<ConfirmationSource<'a>> {
        let local = view.local_member.node.as_str();
        let is_candidate =
            |member: &&Member| member.node != local && !self.silences.is_silent(&member.node, now);
        let delegates = self.delegates(view, now);
        let is_delegate = delegates.iter().any(|delegate| delegate.node == local);
        let reader = view.reader.and_then(|reader| view.table.get(reader));
        let reader = reader.filter(|reader| is_candidate(reader));
        let own_delegate = delegate_of(local, delegates);
        self.ask_age = if is_delegate {
            self.settings.delegate_age
        } else {
            self.settings.member_age
        };
        let mut any = || view.table.live().filter(is_candidate).choose(rng);
        let is_small = view.table.len() <= self.settings.max_direct_nodes;
        let peer = match self.fruitless % REQUESTS_PER_ROUND {
            0 if is_delegate => reader.or_else(any),
            0 => own_delegate.or(reader).or_else(any),
            1 if is_small => reader.or_else(any),
            2 if is_delegate => return Some(ConfirmationSource::OwnRead),
            _ => any(),
        };
        peer.map(ConfirmationSource::Peer)
    }

    /// The nodes of the local failure domain that ask the reader. Those that did not answer lately are
    /// replaced by the next ones in rank.
    fn delegates<'a>(&self, view: ConfirmationView<'a>, now: Instant) -> Vec<&'a Member> {
        let domain = &view.local_member.domain;
        let local = view.table.live().filter(|member| member.domain == *domain);
        let mut candidates: Vec<&Member> = local
            .filter(|member| !self.silences.is_silent(&member.node, now))
            .collect();
        let count = candidates.len().div_ceil(self.settings.nodes_per_delegate);
        rank_candidates(DELEGATE_RANK_SALT, &mut candidates, |member| &member.node);
        candidates.truncate(count);
        candidates
    }
}

/// The delegate that the node `local` asks, so that the nodes are spread over the delegates.
fn delegate_of<'a>(local: &str, mut delegates: Vec<&'a Member>) -> Option<&'a Member> {
    let salt = rendezvous_score(DELEGATE_RANK_SALT, local);
    rank_candidates(salt, &mut delegates, |member| &member.node);
    delegates
        .into_iter()
        .find(|delegate| delegate.node != local)
}
