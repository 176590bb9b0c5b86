//! Admission of calls at the node of their target.

mod class_time;
mod queue;
mod service_time;
mod tenant;
mod transit;

pub use queue::{
    AdmissionEffect, AdmissionQueue, AdmissionSettings, CallId, CallTicket, RefusalReason,
};
pub use transit::TransitTable;
