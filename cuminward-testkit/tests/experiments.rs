//! Runs a short experiment with a fixed seed and checks its counters. Latencies aren't checked: the
//! run is too short for them.

use std::time::Duration;

use cuminward_testkit::experiment::{Name, Setup, report, runner};
use googletest::prelude::*;

/// Seed of the experiment.
const SEED: u64 = 7;

/// Setup of the experiment; the load is too short for meaningful latency figures.
const SETUP: Setup = Setup {
    rate: 20.0,
    duration: Duration::from_secs(6),
    fault_delay: Duration::from_secs(1),
    max_tokens: 32,
    views: false,
    comparable: false,
};

async fn run() -> miette::Result<report::Run> {
    let (run, _) = runner::run_once(&[Name::MemberLoss], SETUP, SEED, runner::NODES).await?;
    Ok(run)
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn every_promise_holds_when_members_die_while_callers_reserve() -> Result<()> {
    let run = run().await.or_fail()?;
    expect_that!(run.promises, len(eq(12)));
    for count in &run.promises {
        expect_that!(count.violations, eq(0), "{}: {}", count.promise, count.detail);
    }
    expect_that!(run.calls.complete, gt(0));
    Ok(())
}
