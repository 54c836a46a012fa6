//! Tests of `store`.

use std::{sync::Arc, time::Duration};

use cuminward_once::{
    claim::Reason,
    reply::{Lookup, Reply},
    store::{Action, Options, Store},
};
use googletest::prelude::*;

const HASH: [u8; 16] = [1; 16];

fn seconds(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn reply(bytes: usize) -> Arc<Reply> {
    Arc::new(Reply { status: 201, body: vec![0; bytes], ..Reply::default() })
}

#[gtest]
fn repeats_are_handled_by_the_state_of_the_first_request() {
    struct Case {
        name: &'static str,
        steps: fn(&mut Store),
        action: Action,
        lookup: Lookup,
    }
    let cases = [
        Case { name: "claimed", steps: |_| (), action: Action::Wait, lookup: Lookup::Running },
        Case {
            name: "running",
            steps: |it| assert!(it.start(seconds(5), &HASH)),
            action: Action::Wait,
            lookup: Lookup::Running,
        },
        Case {
            name: "verdict after a pause",
            steps: |it| assert!(!it.start(seconds(6), &HASH)),
            action: Action::NotRun,
            lookup: Lookup::NotRun,
        },
        Case {
            name: "started twice",
            steps: |it| {
                assert!(it.start(seconds(1), &HASH));
                assert!(!it.start(seconds(1), &HASH));
            },
            action: Action::Wait,
            lookup: Lookup::Running,
        },
        Case {
            name: "complete",
            steps: |it| {
                assert!(it.start(seconds(1), &HASH));
                it.finish(seconds(2), &HASH, Some(reply(10)));
            },
            action: Action::Held(reply(10)),
            lookup: Lookup::Held(reply(10).as_ref().clone()),
        },
        Case {
            name: "failed",
            steps: |it| {
                assert!(it.start(seconds(1), &HASH));
                it.finish(seconds(2), &HASH, None);
            },
            action: Action::Claim,
            lookup: Lookup::Unknown,
        },
        Case {
            name: "too large",
            steps: |it| {
                assert!(it.start(seconds(1), &HASH));
                it.finish(seconds(2), &HASH, Some(reply(100_000)));
            },
            action: Action::Claim,
            lookup: Lookup::Unknown,
        },
        Case {
            name: "verdict lost",
            steps: |it| it.refuse(seconds(1), &HASH, None),
            action: Action::NotRun,
            lookup: Lookup::NotRun,
        },
        Case {
            name: "timed out",
            steps: |it| it.refuse(seconds(1), &HASH, Some(Reason::TimedOut)),
            action: Action::NotRun,
            lookup: Lookup::NotRun,
        },
        Case {
            name: "log unavailable",
            steps: |it| it.refuse(seconds(1), &HASH, Some(Reason::LogUnavailable)),
            action: Action::Claim,
            lookup: Lookup::Unknown,
        },
        Case {
            name: "refused after the start",
            steps: |it| {
                assert!(it.start(seconds(1), &HASH));
                it.refuse(seconds(1), &HASH, None);
            },
            action: Action::Wait,
            lookup: Lookup::Running,
        },
    ];
    for case in cases {
        let mut store = Store::new(Options { max_reply_bytes: 1000, ..Options::default() });
        expect_that!(store.begin(seconds(0), HASH), eq(&Action::Claim));
        (case.steps)(&mut store);
        expect_that!(store.lookup(&HASH), eq(&case.lookup), "{}", case.name);
        expect_that!(store.begin(seconds(6), HASH), eq(&case.action), "{}", case.name);
        expect_that!(store.begin(seconds(7), [9; 16]), eq(&Action::Claim), "{}", case.name);
    }
}

#[gtest]
fn replies_are_bounded_in_bytes_number_and_age() {
    let options = Options { max_bytes: 10_000, max_keys: 50, ..Options::default() };
    let mut store = Store::new(options);
    for n in 0..200_u8 {
        expect_that!(store.begin(seconds(n.into()), [n; 16]), eq(&Action::Claim));
        expect_that!(store.start(seconds(n.into()), &[n; 16]), eq(true));
        store.finish(seconds(n.into()), &[n; 16], Some(reply(usize::from(n) * 20)));
        expect_that!(store.reply_bytes(), le(10_000));
        expect_that!(store.len(), le(50));
    }
    expect_that!(store.lookup(&[199; 16]), matches_pattern!(Lookup::Held(_)));
    expect_that!(store.lookup(&[0; 16]), eq(&Lookup::Unknown));
    expect_that!(store.begin(seconds(900), [250; 16]), eq(&Action::Claim));
    expect_that!(store.reply_bytes(), eq(0));
}

#[gtest]
fn requests_in_progress_are_never_dropped() {
    let mut store = Store::new(Options { max_keys: 2, ..Options::default() });
    for n in 0..2 {
        expect_that!(store.begin(seconds(0), [n; 16]), eq(&Action::Claim));
    }
    expect_that!(store.begin(seconds(5000), [3; 16]), eq(&Action::Full));
    expect_that!(store.lookup(&[0; 16]), eq(&Lookup::Running));
}

#[gtest]
fn request_that_did_not_run_may_be_sent_again_by_the_same_node() {
    struct Case {
        name: &'static str,
        steps: fn(&mut Store),
        at: Duration,
        action: Action,
        may_send: bool,
    }
    let cases = [
        Case {
            name: "in time",
            steps: |_| (),
            at: seconds(59),
            action: Action::Run,
            may_send: true,
        },
        Case {
            name: "too late",
            steps: |_| (),
            at: seconds(61),
            action: Action::NotRun,
            may_send: false,
        },
        Case {
            name: "another node asked",
            steps: |it| expect_that!(it.lookup_and_close(&HASH), eq(&Lookup::NotRun)),
            at: seconds(3),
            action: Action::NotRun,
            may_send: false,
        },
        Case {
            name: "in progress again",
            steps: |it| expect_that!(it.begin(seconds(3), HASH), eq(&Action::Run)),
            at: seconds(3),
            action: Action::Wait,
            may_send: true,
        },
    ];
    for case in cases {
        let mut store = Store::new(Options::default());
        expect_that!(store.begin(seconds(0), HASH), eq(&Action::Claim));
        expect_that!(store.start(seconds(1), &HASH), eq(true));
        store.abort(seconds(2), &HASH);
        expect_that!(store.may_send(seconds(2), &HASH), eq(false), "{}", case.name);
        (case.steps)(&mut store);
        expect_that!(store.begin(case.at, HASH), eq(&case.action), "{}", case.name);
        expect_that!(store.may_send(case.at, &HASH), eq(case.may_send), "{}", case.name);
    }
}
