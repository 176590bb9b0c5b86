//! The handle through which the local target registers and deregisters itself.

use std::time::Duration;

use agatedeck_calls::{RegistrationError, RegistrationState, TargetReadiness};
use derive_more::{Display, Error};
use kameo::actor::ActorRef;

use crate::calls::{DeregisterTarget, ReadRegistration, SlotActor};

/// An announcement of the local target.
#[derive(Clone, Debug)]
pub struct Announcement {
    /// Identity of the target. A request may state the identity that it expects.
    pub id: String,
    /// Service that the target provides.
    pub service: String,
    /// Software version of the target; empty if it states none.
    pub version: String,
    /// Address at which the target accepts calls, as IP address and port.
    pub address: String,
    /// Unix time at which the target started, in milliseconds by its own clock.
    pub started_unix_ms: u64,
    /// Sequence number of the announcement since the start of the target.
    pub sequence: u64,
    /// Whether the target accepts calls.
    pub readiness: TargetReadiness,
    /// Number of calls that the target runs concurrently.
    pub slots: u32,
    /// Remaining warm-up time.
    pub warm_up_left: Duration,
}

/// Why an announcement was not applied.
#[derive(Clone, Copy, Debug, Display, Error)]
pub enum AnnounceError {
    /// The announcement was ignored, for the given reason.
    #[display("{_0}")]
    Ignored(RegistrationError),
    /// The node has no local target, or is stopping.
    #[display("this node accepts no announcements")]
    Unavailable,
}

/// Registers the local target by its announcements.
#[derive(Clone, Debug)]
pub struct TargetRegistrar {
    slots: Option<ActorRef<SlotActor>>,
}

impl TargetRegistrar {
    pub(crate) fn new(slots: Option<ActorRef<SlotActor>>) -> Self {
        Self { slots }
    }

    /// Applies an announcement. Once this returns, admission control uses it.
    ///
    /// # Errors
    ///
    /// Returns `AnnounceError::Ignored` with the reason if the announcement is ignored, and
    /// `AnnounceError::Unavailable` if the node accepts no announcements.
    pub async fn announce(&self, announcement: Announcement) -> Result<(), AnnounceError> {
        let slots = self.slots.as_ref().ok_or(AnnounceError::Unavailable)?;
        match slots.ask(announcement).await {
            Ok(()) => Ok(()),
            Err(kameo::error::SendError::HandlerError(error)) => Err(AnnounceError::Ignored(error)),
            Err(_) => Err(AnnounceError::Unavailable),
        }
    }

    /// Deregisters the target `id`. Once this returns, no call is sent to it.
    ///
    /// # Errors
    ///
    /// Returns `AnnounceError::Unavailable` if the node accepts no announcements.
    pub async fn deregister(&self, id: &str) -> Result<(), AnnounceError> {
        let slots = self.slots.as_ref().ok_or(AnnounceError::Unavailable)?;
        let result = slots.ask(DeregisterTarget(id.to_owned())).await;
        result.map_err(|_| AnnounceError::Unavailable)
    }

    /// State of the registration; `None` if the node has no target that announces itself, or is stopping.
    pub async fn state(&self) -> Option<RegistrationState> {
        self.slots.as_ref()?.ask(ReadRegistration).await.ok()?
    }
}
