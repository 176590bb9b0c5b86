//! Which requests were held up on their way from their caller's node.
//!
//! A request whose packets were lost arrives with what its caller has sent since, such as the close of
//! the connection. The target's node then looks for the close before it gives the request to the
//! target.

use std::collections::HashMap;
use std::time::Duration;

use agatedeck_clock::Instant;

/// Time on the way, beyond the shortest that was seen of late, from which a request counts as held up.
const DELAY_THRESHOLD: Duration = Duration::from_millis(200);

/// Time for which the shortest way is remembered, twice over. The clocks of nodes are not
/// comparable, and a node that was frozen falls behind for good.
const BASELINE_WINDOW: Duration = Duration::from_secs(2);

/// Senders that are remembered; more than a target has callers' nodes.
const MAX_SENDERS: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct SenderBaseline {
    /// Least difference between the clocks in the present and in the last window, in microseconds.
    min_offset_us: i64,
    previous_min_offset_us: i64,
    window_ends_at: Instant,
}

/// The shortest ways from other nodes.
#[derive(Debug, Default)]
pub struct DelayDetector {
    senders: HashMap<String, SenderBaseline>,
}

impl DelayDetector {
    /// Takes in a request that `sender` sent at `sent_us` by its own clock. Returns whether it was
    /// held up.
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
