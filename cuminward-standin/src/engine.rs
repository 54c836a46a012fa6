//! Stand-in of model engines: hosts that form groups by orders and serve as replicas.
//!
//! A [`fleet::Fleet`] holds all engine hosts. Each host listens on a port of its own.

pub mod cache;
pub mod control;
pub mod counter;
mod fault;
pub mod fleet;
mod generate;
mod handler;
mod order;
mod replica;
mod state;
pub mod token;

use std::time::Duration;

use cuminward_derive::record;
use derive_builder::Builder;

pub use token::token_text;

use crate::warm_up;

/// Settings of all engines of a fleet.
#[record]
#[derive(Builder)]
#[builder(default)]
pub struct Options {
    /// Requests that a warm replica runs at the same time; further ones are queued.
    pub slots: u32,
    /// Capacity of the queue of a replica, in requests; further ones are refused with 429.
    pub queue: u32,
    /// Concurrency limit of a replica right after its start; a request above the limit makes all
    /// running requests fail.
    pub cold_bound: u32,
    /// Time over which the concurrency limit rises linearly from `cold_bound` to `slots`.
    pub warm_up: Duration,
    /// Time to process one byte of the prompt that isn't cached.
    pub prefill_per_byte: Duration,
    /// Time per token while a single request runs.
    pub decode: Duration,
    /// Growth of the time per token with each further running request, in thousandths of `decode`.
    pub decode_growth_permille: u32,
    /// Capacity of the prefix cache of a replica, in blocks of [`cache::BLOCK_BYTES`] bytes.
    pub cache_blocks: usize,
    /// Age from which readers see a cache event.
    pub event_lag: Duration,
    /// Each run of this many cache events loses its last one; 0 loses none.
    pub event_gap_every: u64,
    /// Interval at which the reported load is sampled.
    pub load_lag: Duration,
    /// Time until the hosts of a replica restart after a request has crashed the replica.
    pub restart_delay: Duration,
    /// Time until the members of a group detect that another member has stopped or left. Until then
    /// the head continues to serve, which counts as partial answers.
    pub loss_notice: Duration,
    /// Text that makes a prompt crash the replica that runs it.
    pub crash_marker: String,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            slots: 16,
            queue: 64,
            cold_bound: 2,
            warm_up: Duration::from_secs(3),
            prefill_per_byte: Duration::from_micros(10),
            decode: Duration::from_millis(5),
            decode_growth_permille: 20,
            cache_blocks: 4096,
            event_lag: Duration::from_millis(200),
            event_gap_every: 500,
            load_lag: Duration::from_millis(200),
            restart_delay: Duration::from_millis(500),
            loss_notice: Duration::ZERO,
            crash_marker: "!!crash!!".to_owned(),
        }
    }
}

/// Access
impl Options {
    fn ramp(&self) -> warm_up::Ramp {
        warm_up::Ramp { cold: self.cold_bound, warm: self.slots, duration: self.warm_up }
    }
}

/// Mutation
impl Options {
    /// Multiplies the serving times (prefill, decode, warm-up) by a factor; below 1 is faster.
    pub fn scale(mut self, factor: f64) -> Options {
        self.warm_up = self.warm_up.mul_f64(factor);
        self.prefill_per_byte = self.prefill_per_byte.mul_f64(factor);
        self.decode = self.decode.mul_f64(factor);
        self
    }
}
