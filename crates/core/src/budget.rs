//! Retry budget: retries are a share of recent successes.

/// Retries earned by one success.
const EARNED_BY_SUCCESS: f64 = 0.2;
/// Most retries that can be saved up.
const MOST_SAVED: f64 = 50.0;
/// Retries at the start, before any success.
const SAVED_AT_START: f64 = 10.0;

/// Allows a retry only when earlier successes have paid for it.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    saved: f64,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget { saved: SAVED_AT_START }
    }
}

impl RetryBudget {
    /// Notes a request that succeeded.
    pub fn deposit(&mut self) {
        self.saved = (self.saved + EARNED_BY_SUCCESS).min(MOST_SAVED);
    }

    /// Pays for one retry; false when nothing is saved.
    pub fn withdraw(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
