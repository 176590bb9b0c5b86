//! Admission control at the target's node: slots, queueing, fairness and load shedding.

mod delay_detector;
mod fair_queue;
mod queue;
mod rate_limit;
mod service_time;
mod service_time_table;
mod types;

pub use delay_detector::DelayDetector;
pub use queue::AdmissionQueue;
pub use types::{
    AdmissionEffect, AdmissionRequest, AdmissionSettings, CallId, ROUTE_PRIORITIES, RefusalReason,
    call_priority,
};
