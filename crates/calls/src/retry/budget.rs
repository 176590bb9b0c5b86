//! The share of calls that may be tried again.

use super::decide::RetrySettings;

/// One retry, in thousandths of a token.
const MILLITOKENS_PER_RETRY: u64 = 1_000;

/// A token bucket that is filled by calls, so that retries stay a share of the calls however many
/// of them fail.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    millitokens: u64,
    millitokens_per_call: u64,
    max_millitokens: u64,
}

impl RetryBudget {
    /// A budget that starts with the reserve of `settings`.
    pub fn new(settings: &RetrySettings) -> Self {
        let max_millitokens = u64::from(settings.budget_capacity) * MILLITOKENS_PER_RETRY;
        Self {
            millitokens: max_millitokens,
            millitokens_per_call: u64::from(settings.budget_percent) * MILLITOKENS_PER_RETRY / 100,
            max_millitokens,
        }
    }

    /// Puts changed settings in force. Tokens are kept as far as the new reserve holds them.
    pub fn set_limits(&mut self, settings: &RetrySettings) {
        *self = Self {
            millitokens: self
                .millitokens
                .min(u64::from(settings.budget_capacity) * MILLITOKENS_PER_RETRY),
            ..Self::new(settings)
        };
    }

    /// Counts a call. Called once for each call, not for each attempt.
    pub fn deposit(&mut self) {
        self.millitokens = (self.millitokens + self.millitokens_per_call).min(self.max_millitokens);
    }

    /// Takes the token of one retry, if there is one.
    pub fn try_withdraw(&mut self) -> bool {
        let Some(remaining) = self.millitokens.checked_sub(MILLITOKENS_PER_RETRY) else {
            return false;
        };
        self.millitokens = remaining;
        true
    }
}
