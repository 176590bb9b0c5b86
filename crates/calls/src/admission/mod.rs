//! Admission of calls at the node of their target.

mod delay_detector;
mod fair_queue;
mod queue;
mod service_time;
mod service_time_table;

pub use delay_detector::DelayDetector;
pub use queue::{
    AdmissionEffect, AdmissionQueue, AdmissionRequest, AdmissionSettings, CallId, RefusalReason,
};
