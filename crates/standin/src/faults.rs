//! Faults of the platform stand-in.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Faults that are in effect. The default is none.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Requests are answered with 503 and not run.
    pub outage: bool,
    /// Delay before each answer, in milliseconds.
    pub delay_ms: u64,
    /// Number of coming transactions that take effect but whose answer is lost.
    pub lose_answers: u32,
    /// Number of coming requests of any kind that are answered with 503 and not run.
    pub refuse_requests: u32,
}

/// Waits for `delay`. The runtime's timer takes at least a millisecond even for no delay at all,
/// which would dominate the latency of calls.
pub(crate) async fn sleep_for(delay: Duration) {
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
}
