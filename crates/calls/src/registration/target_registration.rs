//! Registration of a target: orders its announcements and decides whether it gets calls.

use std::time::Duration;

use agatedeck_clock::Instant;
use derive_more::{Display, Error};

use super::chart::{REGISTRATION_CHART, RegistrationAction, RegistrationEvent, RegistrationState};

/// Start time, in Unix milliseconds, of a target whose start time is not known.
pub const UNKNOWN_START: u64 = 0;

/// Whether a target accepts new calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TargetReadiness {
    /// The target accepts calls.
    Ready,
    /// The target finishes its running calls and then shuts down.
    Draining,
}

/// Announcement of a target, sent at regular intervals and when its readiness changes.
#[derive(Clone, Copy, Debug)]
pub struct TargetAnnouncement<'a> {
    /// Instance ID of the target; a request may state which instance it expects.
    pub id: &'a str,
    /// Service that the target implements.
    pub service: &'a str,
    /// Address at which the target accepts calls, as IP address and port.
    pub address: &'a str,
    /// Unix time at which the target started, in milliseconds by its own clock. Orders restarts.
    pub started_unix_ms: u64,
    /// Sequence number of the announcement; starts again with each start of the target.
    pub sequence: u64,
    /// Whether the target accepts new calls.
    pub readiness: TargetReadiness,
    /// Calls that the target runs concurrently.
    pub slots: u32,
    /// Remaining warm-up time of the target.
    pub warm_up_left: Duration,
}

/// Reason for rejecting an announcement.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum RegistrationError {
    /// The service or address differs from that of the target configured for this node.
    #[display("the announcement is of another target")]
    WrongTarget,
    /// The announcement is older than one that was accepted.
    #[display("the announcement is older than one that was taken in")]
    Stale,
}

/// Effect that the owner of a [`TargetRegistration`] must carry out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RegistrationEffect {
    /// Start to send calls to the target.
    Open,
    /// Refuse new and queued calls.
    Close,
    /// Publish the state of the target to the other nodes.
    Publish,
}

/// Settings of a [`TargetRegistration`].
#[derive(Clone, Debug, Default)]
pub struct RegistrationSettings {
    /// Service of the node's target.
    pub service: String,
    /// Address of the node's target, as IP address and port.
    pub address: String,
    /// Time after which an announcement expires if no other one follows, in milliseconds.
    pub announcement_ttl_ms: u64,
}

/// Registration of the target of a node.
///
/// Invariants: of two starts of the target, the one with the later start time counts, unless it has
/// become absent without deregistering; within one start, announcements are accepted only in the
/// order of their sequence numbers, and after draining or deregistering the target gets no calls
/// again. The first announcement since the node started opens the target only once a health check or a
/// second one confirms it.
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
    /// Until when announcements with the ID of the registered target are stale, because the target
    /// deregistered and a late announcement cannot be told from one of a later start.
    same_id_stale_until: Option<Instant>,
}

impl TargetRegistration {
    /// Creates a registration without an announcement.
    pub fn new(settings: RegistrationSettings) -> Self {
        Self {
            settings,
            state: REGISTRATION_CHART.initial(),
            id: String::new(),
            started_unix_ms: UNKNOWN_START,
            sequence: 0,
            slots: 0,
            warm_up_ends_at: Instant::default(),
            expires_at: None,
            same_id_stale_until: None,
        }
    }

    /// Current state of the target.
    pub fn state(&self) -> RegistrationState {
        self.state
    }

    /// Instance ID of the target from its last announcement; empty before the first.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Calls that the target runs concurrently.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Time at which the warm-up of the target ends.
    pub fn warm_up_ends_at(&self) -> Instant {
        self.warm_up_ends_at
    }

    /// Time at which [`Self::tick`] must be called.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.expires_at
    }

    /// Handles an announcement.
    ///
    /// # Errors
    ///
    /// Fails if the announcement is from another target or older than one accepted before.
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
        if self.is_late_after_deregistration(announcement, now) {
            return Err(RegistrationError::Stale);
        }
        let restarted = self.is_later_start(announcement)?;
        self.id.clear();
        self.id.push_str(announcement.id);
        self.started_unix_ms = announcement.started_unix_ms;
        self.sequence = announcement.sequence;
        self.slots = announcement.slots;
        self.warm_up_ends_at = now.after(announcement.warm_up_left);
        self.expires_at = Some(now.after(Duration::from_millis(self.settings.announcement_ttl_ms)));
        self.same_id_stale_until = None;
        let event = match (restarted, announcement.readiness) {
            (false, TargetReadiness::Ready) => RegistrationEvent::Ready,
            (false, TargetReadiness::Draining) => RegistrationEvent::Draining,
            (true, TargetReadiness::Ready) => RegistrationEvent::RestartedReady,
            (true, TargetReadiness::Draining) => RegistrationEvent::RestartedDraining,
        };
        Ok(self.advance(event))
    }

    fn is_late_after_deregistration(
        &self,
        announcement: &TargetAnnouncement<'_>,
        now: Instant,
    ) -> bool {
        let stale_until = self.same_id_stale_until;
        announcement.id == self.id && stale_until.is_some_and(|until| !until.is_past(now))
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

    /// Deregisters the target if its instance ID is `id` or if none is registered.
    pub fn deregister(&mut self, id: &str, now: Instant) -> Vec<RegistrationEffect> {
        if self.id != id && !self.id.is_empty() {
            return Vec::new();
        }
        id.clone_into(&mut self.id);
        self.expires_at = None;
        if self.started_unix_ms == UNKNOWN_START {
            let ttl = Duration::from_millis(self.settings.announcement_ttl_ms);
            self.same_id_stale_until = Some(now.after(ttl));
        }
        self.advance(RegistrationEvent::Deregistered)
    }

    /// Records that the target `id` has stated in an answer that it is leaving. As after a draining
    /// announcement, it gets no calls before its next start.
    pub fn mark_leaving(&mut self, id: &str) -> Vec<RegistrationEffect> {
        if self.id != id {
            return Vec::new();
        }
        self.advance(RegistrationEvent::Draining)
    }

    /// Records that a health check since the node started has found the target serving and not leaving.
    pub fn confirm(&mut self) -> Vec<RegistrationEffect> {
        self.advance(RegistrationEvent::Confirmed)
    }

    /// Records that connections to the target fail. Its next announcement opens it again.
    pub fn mark_unreachable(&mut self) -> Vec<RegistrationEffect> {
        self.advance(RegistrationEvent::Unreachable)
    }

    /// Marks the registration as expired if its time has passed.
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
