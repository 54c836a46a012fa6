//! Retry budget: limits retries to a fraction of the requests.

use std::sync::atomic::{AtomicI64, Ordering};

/// Budget units that one retry costs.
const RETRY_COST: i64 = 1000;

/// A token bucket that requests fill and retries drain, so that retries never exceed a fixed fraction
/// of the requests plus an initial reserve.
#[derive(Debug)]
pub struct Budget {
    balance: AtomicI64,
    /// Units that each request adds.
    deposit: i64,
    max_balance: i64,
}

/// Life cycle
impl Budget {
    /// Creates a budget that allows `permille` retries per thousand requests. It holds at most
    /// `reserve` retries and starts with that many.
    pub fn new(permille: u32, reserve: u32) -> Budget {
        let max_balance = i64::from(reserve) * RETRY_COST;
        Budget { balance: AtomicI64::new(max_balance), deposit: i64::from(permille), max_balance }
    }
}

/// Access
impl Budget {
    /// Returns the number of retries that the budget allows now.
    pub fn available(&self) -> u32 {
        (self.balance.load(Ordering::Relaxed) / RETRY_COST) as u32
    }
}

/// Mutation
impl Budget {
    /// Adds the deposit of an accepted request.
    pub fn deposit(&self) {
        let add = |it: i64| Some((it + self.deposit).min(self.max_balance));
        let _ = self.balance.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }

    /// Withdraws one retry from the budget. Returns `false` if none is left.
    pub fn withdraw(&self) -> bool {
        let take = |it: i64| (it >= RETRY_COST).then_some(it - RETRY_COST);
        self.balance.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take).is_ok()
    }
}
