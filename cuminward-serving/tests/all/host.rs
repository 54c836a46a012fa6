//! What a host says about itself.

use cuminward_serving::host::{Host, Membership, Phase};
use googletest::prelude::*;

use crate::fixture;

struct Case {
    name: &'static str,
    /// Group and formation that the host's entry names.
    known: Option<(&'static str, u64)>,
    started_ms: u64,
    reported: Option<(&'static str, u64)>,
    agrees: bool,
}

fn membership((group, epoch): (&str, u64), phase: Phase) -> Membership {
    Membership { group: group.to_owned(), epoch, rank: 0, phase }
}

#[gtest]
fn a_decision_holds_while_its_host_is_in_the_same_life_and_formation() {
    let case = |name, known, started_ms, reported, agrees| Case {
        name,
        known,
        started_ms,
        reported,
        agrees,
    };
    let cases = [
        case("in no group", None, 1, None, true),
        case("in the same group", Some(("g", 1)), 1, Some(("g", 1)), true),
        case("joined meanwhile", None, 1, Some(("g", 1)), false),
        case("left meanwhile", Some(("g", 1)), 1, None, false),
        case("formed anew", Some(("g", 1)), 1, Some(("g", 2)), false),
        case("in another group", Some(("g", 1)), 1, Some(("h", 1)), false),
        case("started anew", None, 2, None, false),
        case("start unknown", None, 0, None, true),
    ];
    for case in cases {
        let known = case.known.map(|it| membership(it, Phase::Ready));
        let host = Host { membership: known, ..fixture::host("h", "a-0") };
        let reported = case.reported.map(|it| membership(it, Phase::Open));
        let agrees = host.is_consistent_with(case.started_ms, reported.as_ref());
        expect_that!(agrees, eq(case.agrees), "{}", case.name);
    }
}
