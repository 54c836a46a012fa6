//! Short soak runs of the daemon with a fixed seed and with every seed that once failed.

use std::{path::PathBuf, time::Duration};

use cuminward_soak::soak;
use googletest::prelude::*;

struct Case {
    name: &'static str,
    seed: u64,
    seconds: u64,
    nodes: usize,
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn guarantees_hold_under_random_faults() -> Result<()> {
    let cases = [
        Case { name: "few nodes", seed: 1, seconds: 8, nodes: 3 },
        Case {
            name: "a new steward sent orders based on a host list older than its predecessor's orders",
            seed: 6,
            seconds: 20,
            nodes: 5,
        },
        Case {
            name: "a group formation continued after another steward had taken over its members",
            seed: 101,
            seconds: 15,
            nodes: 5,
        },
    ];
    for case in cases {
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(case.seed.to_string());
        std::fs::create_dir_all(&directory).or_fail()?;
        let options = soak::Options {
            seed: case.seed,
            duration: Duration::from_secs(case.seconds),
            nodes: case.nodes,
            callers: 12,
            daemon: PathBuf::from(env!("CARGO_BIN_EXE_cuminward")),
            directory,
        };
        let outcome = soak::run(&options).await.or_fail()?;
        expect_that!(outcome.violations, is_empty(), "{}: {:?}", case.name, outcome.faults);
        expect_that!(outcome.counts.answered, gt(0), "{}", case.name);
    }
    Ok(())
}
