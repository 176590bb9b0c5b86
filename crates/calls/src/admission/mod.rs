//! Admission of calls at the node of their target.

mod class_time;
mod delay_detector;
mod queue;
mod service_time;
mod tenant;

pub use delay_detector::DelayDetector;
pub use queue::{
    AdmissionEffect, AdmissionQueue, AdmissionRequest, AdmissionSettings, CallId, RefusalReason,
};
