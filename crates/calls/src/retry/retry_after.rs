//! When a caller whose call was not run should come back.

use std::time::Duration;

use rand::{Rng, RngCore};

/// Settings of [`draw_retry_after`].
#[derive(Clone, Copy, Debug)]
pub struct RetryAfterSettings {
    /// Shortest time stated, in milliseconds. A target frees a slot in a few times this.
    pub min_ms: u64,
    /// Longest time stated, in milliseconds.
    pub max_ms: u64,
    /// Time added for each rank below the most urgent, in milliseconds, so that urgent calls return
    /// first.
    pub priority_step_ms: u64,
}

impl Default for RetryAfterSettings {
    fn default() -> Self {
        Self {
            min_ms: 100,
            max_ms: 2_000,
            priority_step_ms: 80,
        }
    }
}

/// What is known of a call that is refused.
#[derive(Clone, Copy, Debug)]
pub struct RefusedCall {
    /// Rank of the call; 0 is the most urgent.
    pub priority: u32,
    /// When a target expects to have room, if one said so.
    pub expected_wait: Option<Duration>,
}

/// Time after which the caller may come back.
///
/// Drawn from a range as long as the wait itself: callers that are refused together would otherwise
/// return together.
pub fn draw_retry_after(
    call: &RefusedCall,
    settings: &RetryAfterSettings,
    rng: &mut dyn RngCore,
) -> Duration {
    let min = Duration::from_millis(settings.min_ms);
    let priority_delay =
        Duration::from_millis(settings.priority_step_ms).saturating_mul(call.priority);
    let lower = call.expected_wait.unwrap_or_default().max(min) + priority_delay;
    let upper = lower * 2;
    let drawn = rng.random_range(lower..=upper);
    drawn.min(Duration::from_millis(settings.max_ms))
}
