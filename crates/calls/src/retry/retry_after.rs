//! The `Retry-After` time of a call that was refused.

use std::time::Duration;

use rand::{Rng, RngCore};

use crate::admission::ROUTE_PRIORITIES;

/// Bounds of [`draw_retry_after`].
#[derive(Clone, Copy, Debug)]
pub struct RetryAfterSettings {
    /// Shortest lower bound of the draw, in milliseconds. A target frees a slot within a small
    /// multiple of this time.
    pub min_ms: u64,
    /// Longest time returned, in milliseconds.
    pub max_ms: u64,
    /// Time added for each priority level below the most urgent, in milliseconds, so that urgent calls
    /// are repeated first.
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

/// A refused call, as far as its `Retry-After` time depends on it.
#[derive(Clone, Copy, Debug, Default)]
pub struct RefusedCall {
    /// Priority of the call; 0 is the most urgent.
    pub priority: u32,
    /// Time until a target expects free capacity, if one reported it.
    pub expected_wait: Option<Duration>,
}

impl RefusedCall {
    /// Levels of the workspace and of the route below the most urgent ones, together.
    fn priority_level(&self) -> u32 {
        self.priority / ROUTE_PRIORITIES + self.priority % ROUTE_PRIORITIES
    }
}

/// Draws the time after which the caller may repeat its call.
///
/// The range is as long as the shortest wait, since callers that are refused together would otherwise
/// repeat their calls together. Longer times than [`RetryAfterSettings::max_ms`] are reduced to it.
pub fn draw_retry_after(
    call: &RefusedCall,
    settings: &RetryAfterSettings,
    rng: &mut dyn RngCore,
) -> Duration {
    let min = Duration::from_millis(settings.min_ms);
    let priority_delay =
        Duration::from_millis(settings.priority_step_ms).saturating_mul(call.priority_level());
    let lower = call.expected_wait.unwrap_or_default().max(min) + priority_delay;
    let upper = lower * 2;
    let drawn = rng.random_range(lower..=upper);
    drawn.min(Duration::from_millis(settings.max_ms))
}
