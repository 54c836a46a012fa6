//! Comparison of a host entry with a newer report of the host.

use cuminward_serving::host::{Host, Membership, Phase};
use googletest::prelude::*;

use crate::fixture;

struct Case {
    name: &'static str,
    /// Group and formation in the entry of the host.
    listed: Option<(&'static str, u64)>,
    started_ms: u64,
    reported: Option<(&'static str, u64)>,
    is_consistent: bool,
}

fn membership((group, epoch): (&str, u64), phase: Phase) -> Membership {
    Membership { group: group.to_owned(), epoch, rank: 0, phase }
}

#[gtest]
fn an_entry_is_valid_while_its_host_is_in_the_same_incarnation_and_formation() {
    let case = |name, listed, started_ms, reported, is_consistent| Case {
        name,
        listed,
        started_ms,
        reported,
        is_consistent,
    };
    let cases = [
        case("in no group", None, 1, None, true),
        case("in the same group", Some(("g", 1)), 1, Some(("g", 1)), true),
        case("joined meanwhile", None, 1, Some(("g", 1)), false),
        case("left meanwhile", Some(("g", 1)), 1, None, false),
        case("formed again", Some(("g", 1)), 1, Some(("g", 2)), false),
        case("in another group", Some(("g", 1)), 1, Some(("h", 1)), false),
        case("restarted", None, 2, None, false),
        case("start unknown", None, 0, None, true),
    ];
    for case in cases {
        let listed = case.listed.map(|it| membership(it, Phase::Ready));
        let host = Host { membership: listed, ..fixture::host("h", "a-0") };
        let reported = case.reported.map(|it| membership(it, Phase::Open));
        let is_consistent = host.is_consistent_with(case.started_ms, reported.as_ref());
        expect_that!(is_consistent, eq(case.is_consistent), "{}", case.name);
    }
}
