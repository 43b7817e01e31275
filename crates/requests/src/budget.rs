//! A budget that bounds the share of traffic that may be retries.

/// The thousandths of a retry that one first attempt adds, so that retries are a tenth of traffic.
const EARNED_MILLIS: u64 = 100;
/// The thousandths of a retry that one retry takes.
const RETRY_MILLIS: u64 = 1_000;

/// A token bucket of retries, which first attempts fill.
///
/// It guards against retries that multiply the load during an outage, which shows as far more
/// attempts than requests. After a small reserve, retries are bounded to a tenth of the requests.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    balance: u64,
    max_balance: u64,
}

impl RetryBudget {
    /// Creates a budget with this many retries in reserve.
    pub const fn new(reserve: u64) -> Self {
        let max_balance = reserve * RETRY_MILLIS;
        Self {
            balance: max_balance,
            max_balance,
        }
    }

    /// Adds the part of a retry that a first attempt earns.
    pub fn earn(&mut self) {
        self.balance = (self.balance + EARNED_MILLIS).min(self.max_balance);
    }

    /// Takes one retry out of the budget. Returns false if none is left.
    pub fn spend(&mut self) -> bool {
        let left = self.balance.checked_sub(RETRY_MILLIS);
        self.balance = left.unwrap_or(self.balance);
        left.is_some()
    }
}
