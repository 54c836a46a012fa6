//! Compares the placement strategies over seeded random sequences of failures.
//!
//! Only the placement decision is real: hosts are simulated, and weights load from a store with a shared
//! rate. Run with `cargo run --release -p cuminward-group --example placement -- --seed 1`.

use std::{
    io::{self, Write},
    time::Duration,
};

use clap::Parser;
use cuminward_group::placement::Strategy;

mod bound;
mod model;
mod setup;

/// Settings of the measurement.
#[derive(Debug, Parser)]
struct Arguments {
    /// Seed of the failures.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Measured hours.
    #[arg(long, default_value_t = 24)]
    hours: u64,
    /// Factor on the rates of failures of an ordinary day.
    #[arg(long, default_value_t = 10)]
    rate: u32,
}

const STRATEGIES: [Strategy; 4] =
    [Strategy::FirstFit, Strategy::BestFit, Strategy::Spares, Strategy::Consolidation];

const HOUR: Duration = Duration::from_secs(3_600);

fn main() -> io::Result<()> {
    let arguments = Arguments::parse();
    let mut out = io::stdout().lock();
    for size in setup::SIZES {
        writeln!(
            out,
            "{} hosts: seed {}, {} h, rate x{}",
            size.name, arguments.seed, arguments.hours, arguments.rate
        )?;
        writeln!(
            out,
            "  way            downtime/s  stranded/s  bound/s  orders  loads  peak  mean/us  max/us"
        )?;
        for strategy in STRATEGIES {
            let setup = setup::Setup::new(
                &size,
                arguments.seed,
                arguments.rate,
                HOUR * arguments.hours as u32,
            );
            let result = model::run(setup, strategy);
            writeln!(
                out,
                "  {:<14} {:>10} {:>11} {:>8} {:>7} {:>6} {:>5} {:>8.1} {:>7.1}",
                format!("{strategy:?}"),
                result.downtime,
                result.stranded,
                result.bound,
                result.orders,
                result.loads,
                result.peak,
                result.decisions.mean(),
                result.decisions.max,
            )?;
        }
    }
    Ok(())
}
