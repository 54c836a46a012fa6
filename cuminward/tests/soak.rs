//! Short soak runs of the daemon with a fixed seed and with every seed that once failed.

use std::{path::PathBuf, time::Duration};

use cuminward_soak::{fault, soak};
use googletest::prelude::*;

/// Weights of a run without the faults that have weights.
const NONE: fault::Weights = fault::Weights { pauses: 0, strandings: 0, refusals: 0, limits: 0 };

struct Case {
    name: &'static str,
    seed: u64,
    seconds: u64,
    nodes: usize,
    callers: usize,
    weights: fault::Weights,
    /// Executable of another build, which takes turns with the present one.
    former: Option<PathBuf>,
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn guarantees_hold_under_random_faults() -> Result<()> {
    let case = |name, seed, seconds, nodes| Case {
        name,
        seed,
        seconds,
        nodes,
        callers: 12,
        weights: NONE,
        former: None,
    };
    let cases = [
        case("few nodes", 1, 8, 3),
        case(
            "a new steward sent orders based on a host list older than its predecessor's orders",
            6,
            20,
            5,
        ),
    ];
    for case in cases {
        check(case).await?;
    }
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn formations_end_when_another_steward_takes_over() -> Result<()> {
    check(Case {
        name: "a group formation continued after another steward had taken over its members",
        seed: 101,
        seconds: 15,
        nodes: 5,
        callers: 12,
        weights: NONE,
        former: None,
    })
    .await
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn streams_are_not_cut_while_their_sound_hosts_pause() -> Result<()> {
    check(Case {
        name: "streams to one host were cut half a second into a pause of it",
        seed: 26_120_543,
        seconds: 20,
        nodes: 5,
        callers: 12,
        weights: fault::Weights { pauses: 6, ..NONE },
        former: None,
    })
    .await
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn nodes_without_paths_to_hosts_serve_by_way_of_others() -> Result<()> {
    check(Case {
        name: "nodes without a path to any host failed nearly all requests",
        seed: 26_120_521,
        seconds: 30,
        nodes: 5,
        callers: 24,
        weights: fault::Weights { strandings: 4, ..NONE },
        former: None,
    })
    .await
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn requests_run_once_while_copies_of_refusals_come_late() -> Result<()> {
    check(Case {
        name: "a copy of a refusal was taken for the response to the same request, sent again",
        seed: 26_120_646,
        seconds: 20,
        nodes: 3,
        callers: 24,
        weights: fault::Weights { refusals: 8, ..NONE },
        former: None,
    })
    .await
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn hosts_get_no_more_requests_than_the_limit_that_they_name() -> Result<()> {
    check(Case {
        name: "limits that hosts named were read by no node",
        seed: 26_120_647,
        seconds: 20,
        nodes: 3,
        callers: 24,
        weights: fault::Weights { limits: 5, ..NONE },
        former: None,
    })
    .await
}

/// Guards against builds that don't understand each other while machines are replaced one after the other. `CUMINWARD_OLD`
/// names the executable of the other build, see `cuminward-soak/build-old.sh`; without it the present build takes turns
/// with itself, as CI doesn't build two.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn guarantees_hold_while_two_builds_take_turns() -> Result<()> {
    let own = PathBuf::from(env!("CARGO_BIN_EXE_cuminward"));
    let former = std::env::var_os("CUMINWARD_OLD").map_or(own, PathBuf::from);
    check(Case {
        name: "two builds",
        seed: 26_120_601,
        seconds: 15,
        nodes: 5,
        callers: 12,
        weights: NONE,
        former: Some(former),
    })
    .await
}

/// Runs a case and expects no violation.
async fn check(case: Case) -> Result<()> {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(case.seed.to_string());
    std::fs::create_dir_all(&directory).or_fail()?;
    let options = soak::Options {
        seed: case.seed,
        duration: Duration::from_secs(case.seconds),
        nodes: case.nodes,
        callers: case.callers,
        weights: case.weights,
        daemon: PathBuf::from(env!("CARGO_BIN_EXE_cuminward")),
        former: case.former,
        directory,
    };
    let outcome = soak::run(&options).await.or_fail()?;
    expect_that!(outcome.violations, is_empty(), "{}: {:?}", case.name, outcome.faults);
    expect_that!(outcome.counts.answered, gt(0), "{}", case.name);
    Ok(())
}
