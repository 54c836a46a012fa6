//! A short soak of the daemon, with a fixed seed.

use std::{path::PathBuf, time::Duration};

use cuminward_soak::soak;
use googletest::prelude::*;

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_under_random_faults() -> Result<()> {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("soak");
    std::fs::create_dir_all(&directory).or_fail()?;
    let options = soak::Options {
        seed: 1,
        duration: Duration::from_secs(12),
        nodes: 3,
        callers: 6,
        daemon: PathBuf::from(env!("CARGO_BIN_EXE_cuminward")),
        directory,
    };
    let outcome = soak::run(&options).await.or_fail()?;
    expect_that!(outcome.violations, is_empty(), "{:?}", outcome.troubles);
    expect_that!(outcome.counts.answered, gt(0));
    Ok(())
}
