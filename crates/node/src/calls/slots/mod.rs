//! The slots of the local target, and who gets one.
//!
//! `SlotActor` owns the slots and the queue for them, what the target announces and what is known of
//! its crashes. `BodyActor` owns the order in which large bodies are received before that.

mod actor;
mod body_admission;
mod crash_detection;
mod queue_timer;
mod registration;
mod slot_client;

pub(crate) use actor::{DrainSlots, PolicyChanged, ProbeResult, SlotActor};
pub(crate) use body_admission::BodyClient;
pub(crate) use registration::DeregisterTarget;
pub(crate) use slot_client::{CallCompletion, SlotClient, SlotLease, SlotRefusal, SlotRequest};
