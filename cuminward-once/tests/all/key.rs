//! Tests of `key`.

use std::collections::BTreeSet;

use cuminward_once::key;
use googletest::prelude::*;

#[gtest]
fn keys_of_other_teams_and_services_differ() {
    struct Case {
        team: &'static str,
        service: &'static str,
        key: &'static str,
    }
    let cases = [
        Case { team: "t", service: "s", key: "k" },
        Case { team: "u", service: "s", key: "k" },
        Case { team: "t", service: "r", key: "k" },
        Case { team: "t", service: "s", key: "l" },
        Case { team: "ts", service: "", key: "k" },
        Case { team: "", service: "ts", key: "k" },
    ];
    let hashes: BTreeSet<_> =
        cases.iter().map(|it| key::hash(it.team, it.service, it.key)).collect();
    expect_that!(hashes.len(), eq(cases.len()));
    expect_that!(key::to_hex(&key::hash("t", "s", "k")).len(), eq(32));
}
