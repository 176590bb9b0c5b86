//! The way in for what the target beside the node announces of itself.

use std::time::Duration;

use agatedeck_calls::{RegistrationError, TargetReadiness};
use derive_more::{Display, Error};
use kameo::actor::ActorRef;

use crate::calls::{DeregisterTarget, SlotActor};

/// An announcement as it is handed in.
#[derive(Clone, Debug)]
pub struct Announcement {
    /// Identity of the target; a request may state which one it expects.
    pub id: String,
    /// Service that the target answers for.
    pub service: String,
    /// Address at which it takes calls, as IP number and port.
    pub address: String,
    /// Unix time of its start in milliseconds, by its own clock.
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

/// Why an announcement was not taken in.
#[derive(Clone, Copy, Debug, Display, Error)]
pub enum AnnounceError {
    /// It changes nothing; the reason.
    #[display("{_0}")]
    Ignored(RegistrationError),
    /// The node has no target that announces itself, or is stopping.
    #[display("this node takes no announcements")]
    Unavailable,
}

/// Takes in what the target beside the node announces.
#[derive(Clone, Debug)]
pub struct TargetRegistrar {
    slots: Option<ActorRef<SlotActor>>,
}

impl TargetRegistrar {
    pub(crate) fn new(slots: Option<ActorRef<SlotActor>>) -> Self {
        Self { slots }
    }

    /// Takes in an announcement. Once this returns, calls are admitted by it.
    ///
    /// # Errors
    ///
    /// Fails if the announcement changes nothing, with the reason.
    pub async fn announce(&self, announcement: Announcement) -> Result<(), AnnounceError> {
        let slots = self.slots.as_ref().ok_or(AnnounceError::Unavailable)?;
        match slots.ask(announcement).await {
            Ok(()) => Ok(()),
            Err(kameo::error::SendError::HandlerError(error)) => Err(AnnounceError::Ignored(error)),
            Err(_) => Err(AnnounceError::Unavailable),
        }
    }

    /// Takes in that the target `id` leaves. Once this returns, no call is sent to it.
    ///
    /// # Errors
    ///
    /// Fails if the node takes no announcements.
    pub async fn deregister(&self, id: &str) -> Result<(), AnnounceError> {
        let slots = self.slots.as_ref().ok_or(AnnounceError::Unavailable)?;
        let result = slots.ask(DeregisterTarget(id.to_owned())).await;
        result.map_err(|_| AnnounceError::Unavailable)
    }
}
