//! Detects requests that were delayed in transit from their caller's node.
//!
//! A request that is retransmitted after packet loss arrives together with what its caller has sent
//! since, such as the close of the connection. The target's node then checks for the close before it
//! forwards the request to the target.

use std::collections::HashMap;
use std::time::Duration;

use agatedeck_clock::Instant;

/// Transit time above the sender's recent minimum from which a request counts as delayed.
const DELAY_THRESHOLD: Duration = Duration::from_millis(200);

/// Length of a window over which the minimum is taken; the current and the previous window count.
/// Older minima are dropped because the clocks of nodes are not synchronised, and the clock of a
/// node that was paused stays behind.
const BASELINE_WINDOW: Duration = Duration::from_secs(2);

/// Maximum number of tracked senders, more than the callers' nodes of any target. The requests of
/// further senders never count as delayed.
const MAX_SENDERS: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct SenderBaseline {
    /// Minimum difference between receive and send time in the current window, in microseconds.
    /// Includes the offset between the two clocks.
    min_offset_us: i64,
    /// Minimum of the previous window, in microseconds.
    previous_min_offset_us: i64,
    window_ends_at: Instant,
}

/// Compares the transit time of each request with the recent minimum for its sender.
#[derive(Debug, Default)]
pub struct DelayDetector {
    senders: HashMap<String, SenderBaseline>,
}

impl DelayDetector {
    /// Records a request that `sender` sent at `sent_us`, in microseconds by its own clock. Returns
    /// whether the request was delayed.
    pub fn record_request(&mut self, sender: &str, sent_us: u64, now: Instant) -> bool {
        let micros = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
        let offset_us = micros(now.as_micros()) - micros(sent_us);
        let Some(baseline) = self.senders.get_mut(sender) else {
            if self.senders.len() < MAX_SENDERS {
                let baseline = SenderBaseline {
                    min_offset_us: offset_us,
                    previous_min_offset_us: offset_us,
                    window_ends_at: now.after(BASELINE_WINDOW),
                };
                self.senders.insert(sender.to_owned(), baseline);
            }
            return false;
        };
        if baseline.window_ends_at.is_past(now) {
            baseline.previous_min_offset_us = baseline.min_offset_us;
            baseline.min_offset_us = offset_us;
            baseline.window_ends_at = now.after(BASELINE_WINDOW);
        }
        baseline.min_offset_us = baseline.min_offset_us.min(offset_us);
        let baseline_us = baseline.min_offset_us.min(baseline.previous_min_offset_us);
        let threshold_us = i64::try_from(DELAY_THRESHOLD.as_micros()).unwrap_or(i64::MAX);
        offset_us - baseline_us >= threshold_us
    }
}
