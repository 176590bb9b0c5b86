//! The state machine of one node's role in reading new versions.

use std::time::Duration;

use agatedeck_clock::Instant;
use rand::{Rng, RngCore};

use super::chart::{READER_CHART, ReaderAction, ReaderEvent, ReaderState};
use crate::rendezvous::rendezvous_score;

/// Salt of the rendezvous ranking that selects the store readers.
pub(crate) const READER_RANK_SALT: u64 = 0x7265_6164;

/// Settings of a [`ReaderMachine`]. A version must be in force 2 s after its acknowledgement, also if
/// the readers lose the store just before: a missed heartbeat, the takeover and the read fit in that.
#[derive(Clone, Copy, Debug)]
pub struct ReaderSettings {
    /// Time for which one read of a leading reader waits for a new version, which is the time between
    /// two heartbeats.
    pub heartbeat_interval: Duration,
    /// Time without a heartbeat after which a node may read by itself.
    pub heartbeat_timeout: Duration,
    /// Time for which a node that has passed on a heartbeat passes on none of a reader of a lower rank.
    /// Longer than the time between two heartbeats, shorter than their timeout.
    pub heartbeat_preference: Duration,
    /// Time after `heartbeat_timeout` within which the number of nodes that have taken over doubles.
    /// Long enough for the heartbeat of the first one to reach most others before they take over.
    pub takeover_doubling_time: Duration,
    /// Minimum time between the takeovers of two nodes, which bounds the rate of reads of the whole
    /// fleet while the store answers nobody.
    pub takeover_spread_per_node: Duration,
    /// Minimum pause before a node that is not appointed repeats a read without an answer.
    pub min_retry_spread: Duration,
    /// Delay of a poll after which the process counts as having stood still.
    pub pause_threshold: Duration,
    /// Time after which a read without an answer is no longer waited for, and another one starts.
    pub answer_timeout: Duration,
    /// Time after which a read is abandoned. Longer than `answer_timeout`, so that a slow store is
    /// read as well.
    pub read_timeout: Duration,
    /// Pause after the first failed read, before jitter.
    pub initial_backoff: Duration,
    /// Maximum pause after failed reads, before jitter.
    pub max_backoff: Duration,
}

impl Default for ReaderSettings {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(500),
            heartbeat_timeout: Duration::from_secs(1),
            heartbeat_preference: Duration::from_millis(750),
            takeover_doubling_time: Duration::from_millis(100),
            takeover_spread_per_node: Duration::from_millis(2),
            min_retry_spread: Duration::from_millis(300),
            pause_threshold: Duration::from_millis(500),
            answer_timeout: Duration::from_millis(700),
            read_timeout: Duration::from_secs(3),
            initial_backoff: Duration::from_millis(150),
            max_backoff: Duration::from_secs(1),
        }
    }
}

impl ReaderSettings {
    /// Time after `heartbeat_timeout` at which a node takes over if `earlier` others do so before it.
    fn takeover_delay(&self, earlier: u32) -> Duration {
        let mut delay = Duration::ZERO;
        let (mut group_start, mut group_size) = (0, 1);
        loop {
            let group_time = self
                .takeover_doubling_time
                .max(self.takeover_spread_per_node * group_size);
            let in_group = earlier - group_start;
            if in_group < group_size {
                return delay + group_time * in_group / group_size;
            }
            delay += group_time;
            group_start += group_size;
            group_size *= 2;
        }
    }
}

/// What a read asks the source for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadRange {
    /// Each version since the last answer.
    Changes,
    /// The newest version alone.
    Newest,
}

/// How far an answer of the source reaches.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadProgress {
    /// The answer holds one version at most.
    Current,
    /// The answer holds several versions, and newer ones may follow.
    Behind,
}

/// A read to be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ScheduledRead {
    /// What to ask for.
    pub range: ReadRange,
    /// Time to wait at the source for a version that is newer than the last one.
    pub wait: Duration,
    /// When the read is abandoned.
    pub deadline: Instant,
}

/// Decides when a node reads new versions, and when it sends heartbeats.
///
/// A node that is behind, or that the source has not answered for a while, does not read the versions that
/// it lacks one by one: each is a complete configuration, and on a slow link they would arrive later than
/// new ones are written.
///
/// Invariant: while the node does not lead, its reads stop or become rare only until
/// [`ReaderSettings::heartbeat_timeout`] and the delay of its takeover have passed since the last
/// heartbeat of another node.
#[derive(Debug)]
pub struct ReaderMachine {
    settings: ReaderSettings,
    state: ReaderState,
    score: u64,
    /// Interval of reads while on standby; `None` if the node is not appointed.
    standby_interval: Option<Duration>,
    live_nodes: u32,
    /// When the heartbeats of the other readers count as missed.
    takeover_at: Instant,
    /// When the next read starts; `None` while the node does not read.
    read_at: Option<Instant>,
    /// Until when the last answer to this node counts as contact with the source.
    contact_until: Instant,
    /// What the next read asks for.
    range: ReadRange,
    /// Whether the last read has had no answer yet.
    is_unanswered: bool,
    /// Whether the next read must be answered at once, to show that the source answers this node.
    confirms: bool,
    failures: u32,
}

impl ReaderMachine {
    /// Creates the machine of the node `node`, which has just started to serve and knows of
    /// `live_nodes`.
    pub fn new(
        node: &str,
        live_nodes: usize,
        settings: ReaderSettings,
        now: Instant,
        rng: &mut dyn RngCore,
    ) -> Self {
        let mut machine = Self {
            state: READER_CHART.initial(),
            score: rendezvous_score(READER_RANK_SALT, node),
            standby_interval: None,
            live_nodes: bounded_count(live_nodes),
            takeover_at: now,
            read_at: None,
            contact_until: now,
            range: ReadRange::Changes,
            is_unanswered: false,
            confirms: false,
            failures: 0,
            settings,
        };
        machine.postpone_takeover(now, rng);
        machine
    }

    /// Current role of the node.
    pub fn state(&self) -> ReaderState {
        self.state
    }

    /// Applies the membership view: the interval at which this node reads if it is one of the readers
    /// by rank, and the number of live nodes.
    pub fn set_view(
        &mut self,
        standby_interval: Option<Duration>,
        live_nodes: usize,
        now: Instant,
    ) {
        self.standby_interval = standby_interval;
        self.live_nodes = bounded_count(live_nodes);
        let event = if standby_interval.is_some() {
            ReaderEvent::Appointed
        } else {
            ReaderEvent::Dismissed
        };
        self.advance(event, now);
    }

    /// Handles a heartbeat of the leading reader `node`. A leading reader gives way to one of a higher
    /// rank, or to any other if the source does not answer itself.
    pub fn on_heartbeat(&mut self, node: &str, now: Instant, rng: &mut dyn RngCore) {
        self.postpone_takeover(now, rng);
        let is_preferred = rendezvous_score(READER_RANK_SALT, node) > self.score;
        if is_preferred || self.contact_until.is_past(now) {
            self.advance(ReaderEvent::Outranked, now);
        }
    }

    /// Starts the next read if it is due. Must be called at [`Self::next_deadline`].
    pub fn poll(&mut self, now: Instant, rng: &mut dyn RngCore) -> Option<ScheduledRead> {
        if self.state != ReaderState::Leading && self.takeover_at.is_past(now) {
            self.handle_missed_heartbeats(now, rng);
        }
        if !self.read_at?.is_past(now) {
            return None;
        }
        if std::mem::replace(&mut self.is_unanswered, true) {
            // Any number of changes may have been written since the source fell silent.
            self.range = ReadRange::Newest;
        }
        let wait = self.read_wait();
        let mut retry_pause = self.settings.answer_timeout;
        if self.confirms && self.standby_interval.is_none() {
            retry_pause = retry_pause.max(self.retry_spread());
        }
        self.read_at = Some(now.after(wait + retry_pause));
        Some(ScheduledRead {
            range: self.range,
            wait,
            deadline: now.after(wait + self.settings.read_timeout),
        })
    }

    fn read_wait(&self) -> Duration {
        match (self.state, self.standby_interval) {
            _ if self.range == ReadRange::Newest => Duration::ZERO,
            (ReaderState::Leading, _) if self.confirms => Duration::ZERO,
            (ReaderState::Standby, Some(interval)) => interval,
            _ => self.settings.heartbeat_interval,
        }
    }

    /// When [`Self::poll`] must be called.
    pub fn next_deadline(&self) -> Instant {
        let takeover_at = (self.state != ReaderState::Leading).then_some(self.takeover_at);
        let deadlines = self.read_at.into_iter().chain(takeover_at);
        deadlines.min().unwrap_or(self.takeover_at)
    }

    /// Handles an answer of the source. Returns whether to send a heartbeat.
    pub fn on_read(&mut self, progress: ReadProgress, now: Instant) -> bool {
        self.range = match progress {
            ReadProgress::Current => ReadRange::Changes,
            ReadProgress::Behind => ReadRange::Newest,
        };
        self.is_unanswered = false;
        self.failures = 0;
        self.confirms = false;
        self.contact_until = now.after(self.settings.heartbeat_timeout);
        self.read_at = self.read_at.map(|_| now);
        self.state == ReaderState::Leading
    }

    /// Handles a read that failed before its deadline.
    pub fn on_read_failed(&mut self, now: Instant, rng: &mut dyn RngCore) {
        let settings = &self.settings;
        let mut max_backoff = settings.max_backoff;
        if self.standby_interval.is_none() {
            max_backoff = max_backoff.max(self.retry_spread());
        }
        let backoff = settings
            .initial_backoff
            .saturating_mul(1 << self.failures.min(8))
            .min(max_backoff);
        self.failures += 1;
        self.confirms = self.state == ReaderState::Leading;
        let retry_at = now.after(backoff.mul_f64(rng.random_range(0.75..1.25)));
        self.read_at = self.read_at.map(|_| retry_at);
    }

    /// Makes the next read ask for the changes since the last answer, to be called if the newest version
    /// alone is of no use.
    pub fn read_changes(&mut self) {
        self.range = ReadRange::Changes;
        self.is_unanswered = false;
    }

    /// Pause between reads of a node that is not appointed, by which the reads of the whole fleet stay
    /// rare while the source answers nobody.
    fn retry_spread(&self) -> Duration {
        let spread = self.settings.takeover_spread_per_node;
        let spread = spread.saturating_mul(self.live_nodes);
        spread.max(self.settings.min_retry_spread)
    }

    /// Takes over, unless the process stood still: the heartbeats that it missed may be unread.
    fn handle_missed_heartbeats(&mut self, now: Instant, rng: &mut dyn RngCore) {
        if now.since(self.takeover_at) > self.settings.pause_threshold {
            self.takeover_at = now.after(self.draw_takeover_delay(rng));
        } else {
            self.advance(ReaderEvent::HeartbeatsMissed, now);
        }
    }

    fn postpone_takeover(&mut self, now: Instant, rng: &mut dyn RngCore) {
        let delay = self.draw_takeover_delay(rng);
        self.takeover_at = now.after(self.settings.heartbeat_timeout + delay);
    }

    /// Draws the place of this node among those that take over. Few take over early, so that the
    /// heartbeat of the first one stops most others.
    fn draw_takeover_delay(&self, rng: &mut dyn RngCore) -> Duration {
        let earlier = rng.random_range(0..self.live_nodes);
        self.settings.takeover_delay(earlier)
    }

    fn advance(&mut self, event: ReaderEvent, now: Instant) {
        for action in READER_CHART.advance(&mut self.state, event) {
            match action {
                ReaderAction::Read => {
                    // A standby read still waits for a change.
                    self.is_unanswered = false;
                    self.read_at = Some(now);
                }
                ReaderAction::Confirm => self.confirms = true,
                ReaderAction::Rest => {
                    self.is_unanswered = false;
                    self.range = ReadRange::Changes;
                    self.read_at = None;
                }
            }
        }
    }
}

/// A number of nodes that is at least one.
fn bounded_count(nodes: usize) -> u32 {
    u32::try_from(nodes).unwrap_or(u32::MAX).max(1)
}
