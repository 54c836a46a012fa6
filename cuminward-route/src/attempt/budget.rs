//! Bounds repeats to a part of the requests.

use std::sync::atomic::{AtomicI64, Ordering};

/// Budget units that one repeat costs.
const COST: i64 = 1000;

/// A token bucket that requests fill and repeats empty, so that repeats never exceed a set part of
/// the requests plus an initial reserve.
#[derive(Debug)]
pub struct Budget {
    balance: AtomicI64,
    deposit: i64,
    most: i64,
}

/// Life cycle
impl Budget {
    /// Makes a budget that allows `permille` repeats for each thousand requests and holds at most
    /// `reserve` repeats, with which it starts.
    pub fn new(permille: u32, reserve: u32) -> Budget {
        let most = i64::from(reserve) * COST;
        Budget { balance: AtomicI64::new(most), deposit: i64::from(permille), most }
    }
}

/// Access
impl Budget {
    /// Repeats that the budget allows now.
    pub fn available(&self) -> u32 {
        (self.balance.load(Ordering::Relaxed) / COST) as u32
    }
}

/// Mutation
impl Budget {
    /// Counts a request that was taken on.
    pub fn deposit(&self) {
        let add = |it: i64| Some((it + self.deposit).min(self.most));
        let _ = self.balance.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }

    /// Takes one repeat from the budget; `false` if none is left.
    pub fn withdraw(&self) -> bool {
        let take = |it: i64| (it >= COST).then_some(it - COST);
        self.balance.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take).is_ok()
    }
}
