//! Completeness of groups.

use cuminward_serving::{
    host::{Host, Phase, State},
    replica,
};
use googletest::prelude::*;

use crate::fixture::{SMALL, engine, member};

struct Case {
    name: &'static str,
    hosts: Vec<Host>,
    is_open: bool,
}

#[gtest]
fn only_a_complete_confirmed_group_with_an_open_head_serves() {
    let head = member("h0", "g", 0, Phase::Open, SMALL);
    let ready = member("h1", "g", 1, Phase::Ready, SMALL);
    let mut other_epoch = ready.clone();
    if let Some(it) = &mut other_epoch.membership {
        it.epoch = 2;
    }
    let cases = [
        Case { name: "complete", hosts: vec![head.clone(), ready.clone()], is_open: true },
        Case { name: "member missing", hosts: vec![head.clone()], is_open: false },
        Case { name: "other formation", hosts: vec![head.clone(), other_epoch], is_open: false },
        Case {
            name: "member joining",
            hosts: vec![head.clone(), member("h1", "g", 1, Phase::Joining, SMALL)],
            is_open: false,
        },
        Case {
            name: "not opened",
            hosts: vec![member("h0", "g", 0, Phase::Ready, SMALL), ready.clone()],
            is_open: false,
        },
        Case {
            name: "broken",
            hosts: vec![member("h0", "g", 0, Phase::Broken, SMALL), ready],
            is_open: false,
        },
        Case {
            name: "two heads",
            hosts: vec![head, member("h1", "g", 0, Phase::Open, SMALL)],
            is_open: false,
        },
    ];
    let engine = engine();
    for case in cases {
        let groups = replica::find_groups(&case.hosts);
        let size = engine.model(SMALL).map_or(0, |it| it.size);
        let is_open = groups.iter().any(|it| it.is_open(size));
        expect_that!(is_open, eq(case.is_open), "{}", case.name);
    }
}

#[gtest]
fn a_group_with_a_leaving_member_is_not_staying() {
    let head = member("h0", "g", 0, Phase::Open, SMALL);
    let leaving = Host { state: State::Draining, ..member("h1", "g", 1, Phase::Ready, SMALL) };
    let hosts = [head, leaving];
    expect_that!(replica::find_groups(&hosts)[0].is_staying(), eq(false));
}
