//! Limits retries to a fraction of the requests that succeed, so that an overload is not
//! made worse by retries.

/// Retries that one success pays for.
const RETRIES_PER_SUCCESS: f64 = 0.2;
/// Upper bound of the balance, in retries.
const MAX_BALANCE: f64 = 50.0;
/// Balance before any success, in retries.
const INITIAL_BALANCE: f64 = 10.0;

/// Balance of retries, credited by successes and debited by each retry.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    balance: f64,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget { balance: INITIAL_BALANCE }
    }
}

impl RetryBudget {
    /// Credits the budget for a request that succeeded.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + RETRIES_PER_SUCCESS).min(MAX_BALANCE);
    }

    /// Debits one retry; returns false when the balance does not cover it.
    pub fn withdraw(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}
