//! Budget that limits retries and hedges to a fraction of recent requests.

/// Token bucket: each request adds a tenth of a token, and each retry or hedge costs a whole one.
///
/// ```
/// let mut budget = steer::RetryBudget::default();
/// while budget.try_acquire() {}
/// for _ in 0..19 {
///     budget.record_request();
/// }
/// assert!(budget.try_acquire());
/// assert!(!budget.try_acquire());
/// ```
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Available tokens, in hundredths.
    tokens: u32,
}

impl RetryBudget {
    /// Hundredths of a token that each request adds.
    const FILL_PER_REQUEST: u32 = 10;
    /// Capacity of the bucket in hundredths of a token.
    const CAPACITY: u32 = 1_000;
    /// Cost of one retry in hundredths of a token.
    const RETRY_COST: u32 = 100;

    /// Adds the tokens for a request that was admitted to a slot.
    pub fn record_request(&mut self) {
        self.tokens = (self.tokens + Self::FILL_PER_REQUEST).min(Self::CAPACITY);
    }

    /// Spends a token on one retry, and returns `false` if less than one is left.
    pub fn try_acquire(&mut self) -> bool {
        let Some(remaining) = self.tokens.checked_sub(Self::RETRY_COST) else { return false };
        self.tokens = remaining;
        true
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { tokens: 2 * Self::RETRY_COST }
    }
}
