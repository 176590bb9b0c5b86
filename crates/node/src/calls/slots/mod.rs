//! The slots of the local target, and who gets one.
//!
//! `SlotKeeper` owns the slots and the queue for them, what the target announces and what is known of
//! its crashes. `BodyIntake` owns the order in which large bodies are received before that.

mod announcements;
mod body_intake;
mod crash_check;
mod gate;
mod keeper;
mod queue_wake;

pub(crate) use announcements::WithdrawTarget;
pub(crate) use body_intake::BodyGateway;
pub(crate) use gate::{RunEnd, SlotGate, SlotLease, SlotRefusal, SlotRequest};
pub(crate) use keeper::{DrainSlots, PolicyChanged, SlotKeeper, TargetProbe};
