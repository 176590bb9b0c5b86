//! Orders what a target announces of itself.

use std::time::Duration;

use agatedeck_clock::Instant;
use derive_more::{Display, Error};

use super::chart::{ANNOUNCE_CHART, AnnounceAction, AnnounceEvent, RegistrationState};

/// Whether a target takes new calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TargetReadiness {
    /// It does.
    Ready,
    /// It finishes what it has and then leaves.
    Draining,
}

/// One announcement of a target.
#[derive(Clone, Copy, Debug)]
pub struct TargetAnnouncement<'a> {
    /// Identity of the target; a request may state which one it expects.
    pub id: &'a str,
    /// Service that the target answers for.
    pub service: &'a str,
    /// Address at which it takes calls, as IP number and port.
    pub address: &'a str,
    /// Unix time of its start in milliseconds, by its own clock. Orders two starts.
    pub started_unix_ms: u64,
    /// Number of the announcement within one start.
    pub sequence: u64,
    /// Whether it takes calls.
    pub state: TargetReadiness,
    /// Calls that it runs at the same time.
    pub slots: u32,
    /// Time for which it is still slow after its start.
    pub warm_up_left: Duration,
}

/// Why an announcement changes nothing.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum RegistrationError {
    /// It names another service or address than the target beside this node has.
    #[display("the announcement is of another target")]
    WrongTarget,
    /// It is older than one that was taken in.
    #[display("the announcement is older than one that was taken in")]
    Stale,
}

/// What the owner of a [`TargetRegistration`] is to do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RegistrationEffect {
    /// Give the target calls.
    Open,
    /// Refuse new calls and those that wait.
    Close,
    /// Tell the other nodes.
    Publish,
}

/// Settings of a [`TargetRegistration`].
#[derive(Clone, Debug, Default)]
pub struct RegistrationSettings {
    /// Service of the target beside the node.
    pub service: String,
    /// Address of that target, as IP number and port.
    pub address: String,
    /// Time without an announcement after which the target counts as gone, in milliseconds.
    pub announcement_ttl_ms: u64,
}

/// The target beside a node as it announced itself.
///
/// Invariants: of two starts, only the one born later counts; within one start, announcements count
/// in the order of their numbers, and one that drains or has left takes no calls again.
#[derive(Debug)]
pub struct TargetRegistration {
    settings: RegistrationSettings,
    state: RegistrationState,
    id: String,
    started_unix_ms: u64,
    sequence: u64,
    slots: u32,
    warm_at: Instant,
    lapses_at: Option<Instant>,
}

impl TargetRegistration {
    /// A register to which nothing was announced yet.
    pub fn new(settings: RegistrationSettings) -> Self {
        Self {
            settings,
            state: ANNOUNCE_CHART.initial(),
            id: String::new(),
            started_unix_ms: 0,
            sequence: 0,
            slots: 0,
            warm_at: Instant::default(),
            lapses_at: None,
        }
    }

    /// What the target announced.
    pub fn state(&self) -> RegistrationState {
        self.state
    }

    /// Identity of the target as announced last.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Calls that the target runs at the same time.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// When the target is no longer slow after its start.
    pub fn warm_at(&self) -> Instant {
        self.warm_at
    }

    /// When [`Self::tick`] is due.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.lapses_at
    }

    /// Takes in an announcement.
    ///
    /// # Errors
    ///
    /// Fails if it is of another target or older than one taken in before.
    pub fn announce(
        &mut self,
        notice: &TargetAnnouncement<'_>,
        now: Instant,
    ) -> Result<Vec<RegistrationEffect>, RegistrationError> {
        if notice.service != self.settings.service || notice.address != self.settings.address {
            return Err(RegistrationError::WrongTarget);
        }
        let restarted = self.is_restart(notice)?;
        self.id.clear();
        self.id.push_str(notice.id);
        self.started_unix_ms = notice.started_unix_ms;
        self.sequence = notice.sequence;
        self.slots = notice.slots;
        self.warm_at = now.after(notice.warm_up_left);
        self.lapses_at = Some(now.after(Duration::from_millis(self.settings.announcement_ttl_ms)));
        let event = match (restarted, notice.state) {
            (false, TargetReadiness::Ready) => AnnounceEvent::Ready,
            (false, TargetReadiness::Draining) => AnnounceEvent::Draining,
            (true, TargetReadiness::Ready) => AnnounceEvent::RestartedReady,
            (true, TargetReadiness::Draining) => AnnounceEvent::RestartedDraining,
        };
        Ok(self.advance(event))
    }

    /// Whether the announcement is of a later start than the one known.
    fn is_restart(&self, notice: &TargetAnnouncement<'_>) -> Result<bool, RegistrationError> {
        let known = !self.id.is_empty();
        if notice.started_unix_ms > self.started_unix_ms {
            return Ok(known);
        }
        let same_start = notice.started_unix_ms == self.started_unix_ms && notice.id == self.id;
        // The time of day may have stepped back between two starts. Where the later one is known to
        // be gone without having said so, another may take its place.
        if known && !same_start && self.state == RegistrationState::Absent {
            return Ok(true);
        }
        if known && (!same_start || notice.sequence <= self.sequence) {
            return Err(RegistrationError::Stale);
        }
        Ok(false)
    }

    /// Takes in that the target `id` leaves.
    pub fn deregister(&mut self, id: &str) -> Vec<RegistrationEffect> {
        if self.id != id && !self.id.is_empty() {
            return Vec::new();
        }
        id.clone_into(&mut self.id);
        self.lapses_at = None;
        self.advance(AnnounceEvent::Withdrawn)
    }

    /// Notes that the target cannot be connected to. Its next announcement opens it again.
    pub fn mark_unreachable(&mut self) -> Vec<RegistrationEffect> {
        self.advance(AnnounceEvent::Unreachable)
    }

    /// Notes that the announcements have stopped, if they have.
    pub fn tick(&mut self, now: Instant) -> Vec<RegistrationEffect> {
        if self
            .lapses_at
            .is_none_or(|lapses_at| !lapses_at.is_past(now))
        {
            return Vec::new();
        }
        self.lapses_at = None;
        self.advance(AnnounceEvent::Lapsed)
    }

    fn advance(&mut self, event: AnnounceEvent) -> Vec<RegistrationEffect> {
        let actions = ANNOUNCE_CHART.advance(&mut self.state, event);
        let effects = actions.iter().map(|action| match action {
            AnnounceAction::Open => RegistrationEffect::Open,
            AnnounceAction::Close => RegistrationEffect::Close,
            AnnounceAction::Publish => RegistrationEffect::Publish,
        });
        effects.collect()
    }
}
