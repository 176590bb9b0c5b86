//! Registration of a target: orders its announcements and decides whether it gets calls.

use std::time::Duration;

use agatedeck_clock::Instant;
use derive_more::{Display, Error};

use super::chart::{REGISTRATION_CHART, RegistrationAction, RegistrationEvent, RegistrationState};

/// Start time, in Unix milliseconds, of a target whose start time is not known.
const UNKNOWN_START: u64 = 0;

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
    /// Software version of the target; empty if it states none.
    pub version: &'a str,
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
    /// Send the target a health check and report a positive answer to
    /// [`TargetRegistration::verify`] with this ticket.
    Check(HealthCheckTicket),
}

/// Orders a health check with respect to the messages by which targets leave.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct HealthCheckTicket {
    /// Departures that the registration had seen when the health check began.
    departures: u64,
}

/// Positive answer of the target to a health check.
#[derive(Clone, Copy, Debug)]
pub struct HealthReport<'a> {
    /// Instance ID that the answer states, if the protocol of the target has one.
    pub id: Option<&'a str>,
    /// Calls that the target runs concurrently; 0 if the answer does not state it.
    pub slots: u32,
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

/// One start of a target, as of its last announcement.
#[derive(Clone, Debug, Default)]
struct TargetStart {
    /// Instance ID; empty if no start is known.
    id: String,
    /// Software version; empty if it is not known.
    version: String,
    started_unix_ms: u64,
    sequence: u64,
    slots: u32,
    warm_up_ends_at: Instant,
    /// Whether the target announced that it is still warming up.
    is_warming: bool,
}

impl TargetStart {
    fn new(announcement: &TargetAnnouncement<'_>, now: Instant) -> Self {
        Self {
            id: announcement.id.to_owned(),
            version: announcement.version.to_owned(),
            started_unix_ms: announcement.started_unix_ms,
            sequence: announcement.sequence,
            slots: announcement.slots,
            warm_up_ends_at: now.after(announcement.warm_up_left),
            is_warming: !announcement.warm_up_left.is_zero(),
        }
    }

    fn is_known(&self) -> bool {
        !self.id.is_empty()
    }

    fn sent(&self, announcement: &TargetAnnouncement<'_>) -> bool {
        self.id == announcement.id && self.started_unix_ms == announcement.started_unix_ms
    }
}

/// Registration of the target of a node.
///
/// Invariants: a start of the target gets calls only once a health check that this process sent after
/// the last departure has found it serving. Within one start, announcements are accepted only in the
/// order of their sequence numbers, and after draining or deregistering the target gets no calls again.
/// A health check and not a number of announcements decides, because any number of them may arrive late,
/// and a node that has restarted knows neither the departures that it acknowledged before nor the
/// sequence numbers that it had seen.
#[derive(Clone, Debug)]
pub struct TargetRegistration {
    settings: RegistrationSettings,
    state: RegistrationState,
    /// The start that was verified last, or that has left since.
    current: TargetStart,
    /// Another start that has announced that it is ready, and that no health check has verified.
    candidate: Option<TargetStart>,
    expires_at: Option<Instant>,
    /// Number of messages by which a target has left.
    departures: u64,
    /// Number of starts that ended without leaving.
    abrupt_ends: u64,
}

impl TargetRegistration {
    /// Creates a registration without an announcement.
    pub fn new(settings: RegistrationSettings) -> Self {
        Self {
            settings,
            state: REGISTRATION_CHART.initial(),
            current: TargetStart::default(),
            candidate: None,
            expires_at: None,
            departures: 0,
            abrupt_ends: 0,
        }
    }

    /// Current state of the target.
    pub fn state(&self) -> RegistrationState {
        self.state
    }

    /// Instance ID of the registered target; empty if there is none.
    pub fn id(&self) -> &str {
        &self.current.id
    }

    /// Software version of the registered target; empty if it is not known.
    pub fn version(&self) -> &str {
        &self.current.version
    }

    /// Calls that the target runs concurrently.
    pub fn slots(&self) -> u32 {
        self.current.slots
    }

    /// Time at which the warm-up of the target ends.
    pub fn warm_up_ends_at(&self) -> Instant {
        self.current.warm_up_ends_at
    }

    /// Number of starts that ended without leaving, each known from the start after it.
    pub fn abrupt_ends(&self) -> u64 {
        self.abrupt_ends
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
        if self.is_of_current_start(announcement) {
            return self.refresh_current(announcement, now);
        }
        // The system clock may have stepped back between two starts, so their order counts only as long
        // as the current start serves.
        if self.state == RegistrationState::Ready
            && announcement.started_unix_ms <= self.current.started_unix_ms
        {
            return Err(RegistrationError::Stale);
        }
        match announcement.readiness {
            TargetReadiness::Ready => self.set_candidate(announcement, now),
            TargetReadiness::Draining => Ok(self.replace_by_departing(announcement, now)),
        }
    }

    /// Whether the announcement is of the current start.
    ///
    /// An ID alone is ambiguous, as a target may start again under the one that it had. It is enough for
    /// a start that a health check has found, whose start time the next announcement tells, until that
    /// start leaves.
    fn is_of_current_start(&self, announcement: &TargetAnnouncement<'_>) -> bool {
        self.current.sent(announcement)
            || self.current.started_unix_ms == UNKNOWN_START
                && self.current.id == announcement.id
                && !self.has_left()
    }

    fn has_left(&self) -> bool {
        matches!(
            self.state,
            RegistrationState::Draining | RegistrationState::Gone
        )
    }

    fn refresh_current(
        &mut self,
        announcement: &TargetAnnouncement<'_>,
        now: Instant,
    ) -> Result<Vec<RegistrationEffect>, RegistrationError> {
        let is_same_start = self.current.sent(announcement);
        if is_same_start && announcement.sequence <= self.current.sequence {
            return Err(RegistrationError::Stale);
        }
        let is_new_version = self.current.version != announcement.version;
        let has_warmed_up = self.current.is_warming && announcement.warm_up_left.is_zero();
        self.current = TargetStart::new(announcement, now);
        self.expires_at = Some(self.expiry_after(now));
        match announcement.readiness {
            TargetReadiness::Ready => {
                let mut effects = self.advance(RegistrationEvent::Ready);
                // A start that a health check has found is published before its version is known.
                let has_changed = is_new_version || has_warmed_up;
                if has_changed && effects.is_empty() && self.state == RegistrationState::Ready {
                    effects.push(RegistrationEffect::Publish);
                }
                Ok(effects)
            }
            TargetReadiness::Draining => {
                self.departures += 1;
                Ok(self.advance(RegistrationEvent::Draining))
            }
        }
    }

    fn set_candidate(
        &mut self,
        announcement: &TargetAnnouncement<'_>,
        now: Instant,
    ) -> Result<Vec<RegistrationEffect>, RegistrationError> {
        let known = self.candidate.as_ref();
        if known.is_some_and(|candidate| {
            candidate.sent(announcement) && announcement.sequence <= candidate.sequence
        }) {
            return Err(RegistrationError::Stale);
        }
        self.candidate = Some(TargetStart::new(announcement, now));
        Ok(vec![self.check()])
    }

    /// Replaces the current start by another one, which is leaving already.
    fn replace_by_departing(
        &mut self,
        announcement: &TargetAnnouncement<'_>,
        now: Instant,
    ) -> Vec<RegistrationEffect> {
        self.forget_candidate(announcement.id);
        self.departures += 1;
        self.current = TargetStart::new(announcement, now);
        self.expires_at = Some(self.expiry_after(now));
        self.advance(RegistrationEvent::RestartedDraining)
    }

    /// Records that the target has answered the health check with this ticket that it serves and is not
    /// leaving. Such an answer opens the start that it names.
    pub fn verify(
        &mut self,
        ticket: HealthCheckTicket,
        report: &HealthReport<'_>,
        now: Instant,
    ) -> Vec<RegistrationEffect> {
        // The target may have answered before it left.
        if ticket != self.ticket() {
            return match self.candidate {
                Some(_) => vec![self.check()],
                None => Vec::new(),
            };
        }
        let Some(start) = self.take_verified_start(report) else {
            return Vec::new();
        };
        if self.current.is_known() && !self.has_left() {
            self.abrupt_ends += 1;
        }
        self.current = start;
        self.expires_at = Some(self.expiry_after(now));
        self.advance(RegistrationEvent::Verified)
    }

    /// Returns the start that the answer to a health check opens, if any.
    fn take_verified_start(&mut self, report: &HealthReport<'_>) -> Option<TargetStart> {
        let is_named = |candidate: &mut TargetStart| report.id.is_none_or(|id| candidate.id == id);
        if let Some(candidate) = self.candidate.take_if(is_named) {
            return Some(candidate);
        }
        let id = report.id?;
        // The target serves already when its node starts, and need not wait for its next announcement.
        (!self.current.is_known()).then(|| TargetStart {
            id: id.to_owned(),
            started_unix_ms: UNKNOWN_START,
            slots: report.slots,
            ..TargetStart::default()
        })
    }

    /// Deregisters the target if its instance ID is `id` or if none is registered.
    pub fn deregister(&mut self, id: &str) -> Vec<RegistrationEffect> {
        self.departures += 1;
        self.forget_candidate(id);
        if self.current.id != id && self.current.is_known() {
            return Vec::new();
        }
        id.clone_into(&mut self.current.id);
        self.expires_at = None;
        self.advance(RegistrationEvent::Deregistered)
    }

    /// Records that the target `id` has stated in an answer that it is leaving. As after a draining
    /// announcement, it gets no calls before its next start.
    pub fn mark_leaving(&mut self, id: &str) -> Vec<RegistrationEffect> {
        if self.current.id != id || self.has_left() {
            return Vec::new();
        }
        self.departures += 1;
        self.advance(RegistrationEvent::Draining)
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

    fn check(&self) -> RegistrationEffect {
        RegistrationEffect::Check(self.ticket())
    }

    fn ticket(&self) -> HealthCheckTicket {
        HealthCheckTicket {
            departures: self.departures,
        }
    }

    fn forget_candidate(&mut self, id: &str) {
        self.candidate.take_if(|candidate| candidate.id == id);
    }

    fn expiry_after(&self, now: Instant) -> Instant {
        now.after(Duration::from_millis(self.settings.announcement_ttl_ms))
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
