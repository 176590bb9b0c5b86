//! The share of calls that may be tried again.

use super::decide::RetrySettings;

/// One retry, in thousandths of a token.
const RETRY_COST: u64 = 1_000;

/// A token bucket that is filled by calls, so that retries stay a share of the calls however many
/// of them fail.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    tokens: u64,
    per_call: u64,
    most: u64,
}

impl RetryBudget {
    /// A budget that starts with the reserve of `settings`.
    pub fn new(settings: &RetrySettings) -> Self {
        let most = u64::from(settings.budget_capacity) * RETRY_COST;
        Self {
            tokens: most,
            per_call: u64::from(settings.budget_percent) * RETRY_COST / 100,
            most,
        }
    }

    /// Puts changed settings in force. Tokens are kept as far as the new reserve holds them.
    pub fn set_limits(&mut self, settings: &RetrySettings) {
        *self = Self {
            tokens: self
                .tokens
                .min(u64::from(settings.budget_capacity) * RETRY_COST),
            ..Self::new(settings)
        };
    }

    /// Counts a call. Called once for each call, not for each attempt.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.per_call).min(self.most);
    }

    /// Takes the token of one retry, if there is one.
    pub fn try_withdraw(&mut self) -> bool {
        let Some(left) = self.tokens.checked_sub(RETRY_COST) else {
            return false;
        };
        self.tokens = left;
        true
    }
}
