//! Retry budget: limits retries to a share of the calls.

use super::decide::RetrySettings;

/// A retry costs one token. Counted in thousandths, so that a call can deposit a fraction of it.
const MILLITOKENS_PER_RETRY: u64 = 1_000;

/// Token bucket that is filled by calls, so that retries stay a fixed share of the calls no matter
/// how many of them fail.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    millitokens: u64,
    millitokens_per_call: u64,
    max_millitokens: u64,
}

impl RetryBudget {
    /// Creates a full bucket with the capacity of `settings`.
    pub fn new(settings: &RetrySettings) -> Self {
        let max_millitokens = u64::from(settings.budget_capacity) * MILLITOKENS_PER_RETRY;
        Self {
            millitokens: max_millitokens,
            millitokens_per_call: u64::from(settings.budget_percent) * MILLITOKENS_PER_RETRY / 100,
            max_millitokens,
        }
    }

    /// Applies changed settings. Tokens beyond the new capacity are dropped.
    pub fn set_limits(&mut self, settings: &RetrySettings) {
        *self = Self {
            millitokens: self
                .millitokens
                .min(u64::from(settings.budget_capacity) * MILLITOKENS_PER_RETRY),
            ..Self::new(settings)
        };
    }

    /// Adds the tokens of one call. Called once per call, not per attempt.
    pub fn deposit(&mut self) {
        self.millitokens = (self.millitokens + self.millitokens_per_call).min(self.max_millitokens);
    }

    /// Takes the token of one retry. Returns whether the bucket held one.
    pub fn try_withdraw(&mut self) -> bool {
        let Some(remaining) = self.millitokens.checked_sub(MILLITOKENS_PER_RETRY) else {
            return false;
        };
        self.millitokens = remaining;
        true
    }
}
