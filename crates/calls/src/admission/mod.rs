//! Admission of calls at the node of their target.

mod queue;
mod service_time;
mod tenant;

pub use queue::{
    AdmissionEffect, AdmissionQueue, AdmissionSettings, CallId, CallTicket, RefusalReason,
};
