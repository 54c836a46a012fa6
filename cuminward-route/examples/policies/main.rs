//! Compares policies of routing, admission and fair queueing in simulations with seeded loads.
//!
//! `cargo run --release -p cuminward-route --example policies -- --seed 1`
//!
//! The library makes the decisions; the upstreams are simple queueing models.

#![allow(clippy::print_stdout, reason = "the results are the program's output")]

mod admission;
mod routing;
mod sharing;

use clap::Parser;

/// Options of a run.
#[derive(Debug, Parser)]
struct Options {
    /// Seed of the random loads.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Comparison to run: routing, admission, sharing or all.
    #[arg(long, default_value = "all")]
    what: String,
}

fn main() {
    let options = Options::parse();
    let wanted = |it: &str| options.what == it || options.what == "all";
    if wanted("routing") {
        routing::run(options.seed);
    }
    if wanted("admission") {
        admission::run(options.seed);
    }
    if wanted("sharing") {
        sharing::run(options.seed);
    }
}

/// Returns the value below which the fraction `quantile` of the values lies, or NaN without values.
fn percentile(values: &mut [f64], quantile: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let index = (values.len() as f64 * quantile) as usize;
    values.get(index.min(values.len().saturating_sub(1))).copied().unwrap_or(f64::NAN)
}

/// Draws the time to the next arrival of a Poisson process, in the unit of `mean`.
fn exponential(random: &mut impl rand::Rng, mean: f64) -> f64 {
    use rand::RngExt;
    -mean * (1.0 - random.random_range(0.0..1.0f64)).ln()
}
