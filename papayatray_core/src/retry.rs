//! Budget for retries and hedged requests, as a share of first attempts.

/// Capacity of the token bucket; the budget starts full.
const MAX_TOKENS: f64 = 10.0;
/// Tokens that each first attempt adds; a retry takes one.
const TOKENS_PER_ATTEMPT: f64 = 0.1;

/// Token bucket that first attempts fill and retries drain.
///
/// It limits retries under overload to a tenth of the first attempts, apart from the initial
/// tokens.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { tokens: MAX_TOKENS }
    }
}

impl RetryBudget {
    /// Adds tokens for a first attempt.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_ATTEMPT).min(MAX_TOKENS);
    }

    /// Takes the token for one retry; returns false if the budget is exhausted.
    pub fn spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
