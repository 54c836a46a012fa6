//! What is in force after the store came back from an older copy.

use std::time::Duration;

use cuminward_serving::{
    departure::Tracker, fencing, host, position::Position, restore::Watch, table,
};
use googletest::prelude::*;

use crate::fixture;

const GRACE: Duration = Duration::from_secs(2);

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[gtest]
fn a_grace_period_begins_with_each_newer_era_but_the_first() {
    struct Case {
        /// Times in seconds and eras that were seen then.
        seen: &'static [(u64, u64)],
        now: u64,
        is_within: bool,
    }
    let cases = [
        Case { seen: &[], now: 0, is_within: false },
        Case { seen: &[(0, 7)], now: 1, is_within: false },
        Case { seen: &[(0, 1), (5, 2)], now: 6, is_within: true },
        Case { seen: &[(0, 1), (5, 2)], now: 7, is_within: false },
        Case { seen: &[(0, 1), (5, 2), (6, 2), (6, 1)], now: 7, is_within: false },
        Case { seen: &[(0, 1), (5, 2), (6, 3)], now: 7, is_within: true },
    ];
    for Case { seen, now, is_within } in cases {
        let mut watch = Watch::default();
        for (at, era) in seen {
            watch.observe(seconds(*at), *era);
        }
        expect_that!(watch.is_within(seconds(now), GRACE), eq(is_within), "{seen:?} at {now}");
    }
}

#[gtest]
fn only_the_incarnation_that_left_contradicts_an_entry() {
    let entry = |started_ms, state| host::Host { started_ms, state, ..fixture::host("h", "f") };
    let mut left = Tracker::default();
    expect_that!(left.contradicts(&entry(1, host::State::Ready)), eq(false));
    left.record(seconds(1), &entry(1, host::State::Draining));
    expect_that!(left.contradicts(&entry(1, host::State::Ready)), eq(true));
    expect_that!(left.contradicts(&entry(1, host::State::Draining)), eq(false));
    expect_that!(left.contradicts(&entry(2, host::State::Ready)), eq(false));
    left.forget("h");
    expect_that!(left.contradicts(&entry(1, host::State::Ready)), eq(false));
}

#[gtest]
fn a_key_that_the_newest_era_lacks_stays_until_former_eras_are_dropped() {
    let record = |era, offset, key: &str| table::Record {
        position: Position { era, offset },
        key: key.to_owned(),
        value: Some(b"value".to_vec()),
    };
    let mut table = table::Table::default();
    for (offset, key) in ["lost", "kept", "exempt"].into_iter().enumerate() {
        table.apply(record(1, offset as u64, key));
    }
    let end = Position { era: 2, offset: 2 };
    expect_that!(table.apply_snapshot(vec![record(2, 1, "kept")], end), is_empty());
    expect_that!(table.rows().count(), eq(3));
    let dropped = table.drop_former_eras(|key| key != "exempt");
    expect_that!(dropped, elements_are![eq("lost")]);
    let keys: Vec<&str> = table.rows().map(|it| it.0).collect();
    expect_that!(keys, elements_are![eq(&"exempt"), eq(&"kept")]);
    let late = table::Record { value: None, ..record(1, 9, "kept") };
    expect_that!(table.apply(late), eq(false));
}

#[gtest]
fn the_fencing_tokens_of_a_newer_era_are_larger_whatever_their_generations() {
    let tokens: Vec<u64> = [(0, 1), (0, 9), (1, 1), (1, 999_999), (2, 1), (2, 3), (3, 1)]
        .into_iter()
        .map(|(era, generation)| fencing::token(era, generation))
        .collect();
    expect_that!(tokens.is_sorted_by(|a, b| a < b), eq(true), "{tokens:?}");
    expect_that!(fencing::token(u64::MAX, u64::MAX), eq(u64::MAX));
}
