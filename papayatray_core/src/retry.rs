//! Budget of retries and hedges, as a share of first attempts.

/// Retries that may run ahead of their share.
const MAX_TOKENS: f64 = 10.0;
/// Retries earned by each first attempt.
const TOKENS_PER_ATTEMPT: f64 = 0.1;

/// Budget that first attempts fill and retries draw on.
///
/// A fleet under overload so sends at most a tenth more than its callers ask for.
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
    /// Counts a first attempt.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_ATTEMPT).min(MAX_TOKENS);
    }

    /// Takes one retry from the budget, if it holds one.
    pub fn spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
