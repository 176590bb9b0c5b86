//! Admission control for the local target.
//!
//! `SlotActor` owns the slots of the target, the admission queue, the registration of the target
//! and its crash detection. `BodyActor` limits how many large request bodies are received at the
//! same time before their calls queue for a slot.

mod actor;
mod body_admission;
mod crash_detection;
mod queue_timer;
mod registration;
mod slot_client;

pub(crate) use actor::{DrainSlots, PolicyChanged, ProbeResult, SlotActor};
pub(crate) use body_admission::BodyClient;
pub(crate) use registration::{DeregisterTarget, ReadRegistration, VerifyTarget};
pub(crate) use slot_client::{CallCompletion, SlotClient, SlotLease, SlotRefusal, SlotRequest};
