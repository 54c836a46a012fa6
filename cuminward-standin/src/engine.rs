//! Stand-in of model engines: hosts that form groups by orders and serve as replicas.
//!
//! A [`fleet::Fleet`] holds all engine hosts of a world. Each host listens at its own port.

pub mod cache;
pub mod control;
pub mod counter;
mod fault;
pub mod fleet;
mod generate;
mod machine;
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
    /// Requests that a warm replica runs at the same time.
    pub slots: u32,
    /// Requests that wait inside a replica before more are refused.
    pub queue: u32,
    /// Requests that a replica bears right after it has started.
    pub cold_bound: u32,
    /// Time over which the bound rises from `cold_bound` to `slots`.
    pub warm_up: Duration,
    /// Time to process one byte of the prompt that isn't cached.
    pub prefill_per_byte: Duration,
    /// Time of one token when one request runs.
    pub decode: Duration,
    /// Growth of the time of one token with each further running request, in thousandths.
    pub decode_growth_permille: u32,
    /// Blocks that the prefix cache of a replica holds.
    pub cache_blocks: usize,
    /// Age at which cache events show.
    pub event_lag: Duration,
    /// Every so many-th cache event is lost; 0 loses none.
    pub event_gap_every: u64,
    /// Interval at which the reported load is sampled.
    pub load_lag: Duration,
    /// Time from the death of a host to its restart where it restarts by itself.
    pub restart_delay: Duration,
    /// Time until the members of a group notice that another one has gone; until then the head goes
    /// on serving, which counts as partial answers.
    pub loss_notice: Duration,
    /// A prompt with this text crashes the replica that runs it.
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
        warm_up::Ramp { cold: self.cold_bound, warm: self.slots, rise: self.warm_up }
    }
}

/// Mutation
impl Options {
    /// Stretches the times of serving (prefill, decode, warm-up) by a factor; below 1 is faster.
    pub fn scale(mut self, factor: f64) -> Options {
        self.warm_up = self.warm_up.mul_f64(factor);
        self.prefill_per_byte = self.prefill_per_byte.mul_f64(factor);
        self.decode = self.decode.mul_f64(factor);
        self
    }
}
