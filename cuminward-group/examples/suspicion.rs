//! Measures the false alarms and the detection time of the failure detector for different numbers of
//! unanswered probes.
//!
//! One probe a second; a probe of a healthy host is lost with a fixed probability, independently. Run with
//! `cargo run --release -p cuminward-group --example suspicion -- --seed 1`.

use std::{
    io::{self, Write},
    time::Duration,
};

use clap::Parser;
use cuminward_group::probe::detector::{Detector, Options, Outcome, Verdict};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Settings of the measurement.
#[derive(Debug, Parser)]
struct Arguments {
    /// Seed of the losses.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Measured host-days.
    #[arg(long, default_value_t = 167)]
    days: u64,
}

const PROBES_A_DAY: u64 = 86_400;
const LOSSES: [f64; 3] = [0.001, 0.01, 0.05];

fn main() -> io::Result<()> {
    let arguments = Arguments::parse();
    let mut out = io::stdout().lock();
    writeln!(out, "unanswered  loss  false alarms a host-day  detection/s")?;
    for unanswered in 2..=5 {
        for loss in LOSSES {
            let options = Options { unanswered, ..Options::default() };
            let alarms = alarms(&arguments, loss, &options);
            let rate = alarms as f64 / arguments.days as f64;
            let latest = unanswered;
            writeln!(
                out,
                "{unanswered:>10} {loss:>5} {rate:>24.3} {:>8}..{latest}",
                unanswered - 1
            )?;
        }
    }
    Ok(())
}

/// Returns how many times a healthy host is classified as paused.
fn alarms(arguments: &Arguments, loss: f64, options: &Options) -> u64 {
    let mut random = Pcg64Mcg::seed_from_u64(arguments.seed);
    let mut detector = Detector::default();
    let mut alarms = 0;
    for _ in 0..arguments.days * PROBES_A_DAY {
        let probe = match random.random_bool(loss) {
            true => Outcome::Unanswered,
            false => Outcome::Answered { after: Duration::from_millis(2) },
        };
        let (verdict, changed) = detector.record(probe, options);
        alarms += u64::from(changed && verdict == Verdict::Paused);
    }
    alarms
}
