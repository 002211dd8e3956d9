//! Retries and hedges as a part of recent requests.

/// A token bucket that each request fills a little and each retry or hedge empties by one.
///
/// ```
/// let mut budget = steer::RetryBudget::default();
/// while budget.take() {}
/// for _ in 0..19 {
///     budget.note_request();
/// }
/// assert!(budget.take());
/// assert!(!budget.take());
/// ```
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// In hundredths of a retry.
    tokens: u32,
}

impl RetryBudget {
    /// Hundredths of a retry that each request adds.
    const FILL: u32 = 10;
    /// Hundredths of a retry that can be saved.
    const MOST: u32 = 1_000;
    const ONE: u32 = 100;

    /// Notes a request that got its slot.
    pub fn note_request(&mut self) {
        self.tokens = (self.tokens + Self::FILL).min(Self::MOST);
    }

    /// Takes one retry, if there is one.
    pub fn take(&mut self) -> bool {
        let Some(rest) = self.tokens.checked_sub(Self::ONE) else { return false };
        self.tokens = rest;
        true
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { tokens: 2 * Self::ONE }
    }
}
