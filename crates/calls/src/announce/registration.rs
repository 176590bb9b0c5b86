//! Orders what a target announces of itself.

use std::time::Duration;

use agatedeck_clock::Instant;
use derive_more::{Display, Error};

use super::chart::{REGISTRATION_CHART, RegistrationAction, RegistrationEvent, RegistrationState};

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
    pub readiness: TargetReadiness,
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
    warm_up_ends_at: Instant,
    expires_at: Option<Instant>,
}

impl TargetRegistration {
    /// A register to which nothing was announced yet.
    pub fn new(settings: RegistrationSettings) -> Self {
        Self {
            settings,
            state: REGISTRATION_CHART.initial(),
            id: String::new(),
            started_unix_ms: 0,
            sequence: 0,
            slots: 0,
            warm_up_ends_at: Instant::default(),
            expires_at: None,
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
    pub fn warm_up_ends_at(&self) -> Instant {
        self.warm_up_ends_at
    }

    /// When [`Self::tick`] is due.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.expires_at
    }

    /// Takes in an announcement.
    ///
    /// # Errors
    ///
    /// Fails if it is of another target or older than one taken in before.
    pub fn announce(
        &mut self,
        announcement: &TargetAnnouncement<'_>,
        now: Instant,
    ) -> Result<Vec<RegistrationEffect>, RegistrationError> {
        if announcement.service != self.settings.service
            || announcement.address != self.settings.address
        {
            return Err(RegistrationError::WrongTarget);
        }
        let restarted = self.is_later_start(announcement)?;
        self.id.clear();
        self.id.push_str(announcement.id);
        self.started_unix_ms = announcement.started_unix_ms;
        self.sequence = announcement.sequence;
        self.slots = announcement.slots;
        self.warm_up_ends_at = now.after(announcement.warm_up_left);
        self.expires_at = Some(now.after(Duration::from_millis(self.settings.announcement_ttl_ms)));
        let event = match (restarted, announcement.readiness) {
            (false, TargetReadiness::Ready) => RegistrationEvent::Ready,
            (false, TargetReadiness::Draining) => RegistrationEvent::Draining,
            (true, TargetReadiness::Ready) => RegistrationEvent::RestartedReady,
            (true, TargetReadiness::Draining) => RegistrationEvent::RestartedDraining,
        };
        Ok(self.advance(event))
    }

    /// Whether the announcement is from a later start of the target than the registered one.
    ///
    /// # Errors
    ///
    /// Fails if the announcement is older than one accepted before.
    fn is_later_start(
        &self,
        announcement: &TargetAnnouncement<'_>,
    ) -> Result<bool, RegistrationError> {
        let is_registered = !self.id.is_empty();
        if announcement.started_unix_ms > self.started_unix_ms {
            return Ok(is_registered);
        }
        let is_same_start =
            announcement.started_unix_ms == self.started_unix_ms && announcement.id == self.id;
        // The system clock may have stepped back between two starts. If the registered target is
        // absent without having deregistered, another start replaces it whatever its start time.
        if is_registered && !is_same_start && self.state == RegistrationState::Absent {
            return Ok(true);
        }
        if is_registered && (!is_same_start || announcement.sequence <= self.sequence) {
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
        self.expires_at = None;
        self.advance(RegistrationEvent::Deregistered)
    }

    /// Notes that the target cannot be connected to. Its next announcement opens it again.
    pub fn mark_unreachable(&mut self) -> Vec<RegistrationEffect> {
        self.advance(RegistrationEvent::Unreachable)
    }

    /// Notes that the announcements have stopped, if they have.
    pub fn tick(&mut self, now: Instant) -> Vec<RegistrationEffect> {
        if self
            .expires_at
            .is_none_or(|expires_at| !expires_at.is_past(now))
        {
            return Vec::new();
        }
        self.expires_at = None;
        self.advance(RegistrationEvent::Expired)
    }

    fn advance(&mut self, event: RegistrationEvent) -> Vec<RegistrationEffect> {
        let actions = REGISTRATION_CHART.advance(&mut self.state, event);
        let effects = actions.iter().map(|action| match action {
            RegistrationAction::Open => RegistrationEffect::Open,
            RegistrationAction::Close => RegistrationEffect::Close,
            RegistrationAction::Publish => RegistrationEffect::Publish,
        });
        effects.collect()
    }
}
