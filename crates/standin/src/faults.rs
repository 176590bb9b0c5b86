//! Fault injection for the platform test double.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Injected faults. The default injects none.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Whether all requests are answered with 503 and not run.
    pub outage: bool,
    /// Delay before each response, in milliseconds.
    pub delay_ms: u64,
    /// Number of following writes, of rows or of objects, that take effect but whose response is lost.
    pub lose_answers: u32,
    /// Number of following requests of any kind that are answered with 503 and not run.
    pub refuse_requests: u32,
}

/// Sleeps for `delay`. Skips the runtime's timer for a zero delay, since a timer takes at least a
/// millisecond, which would dominate the latency of calls.
pub(crate) async fn sleep_for(delay: Duration) {
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
}
