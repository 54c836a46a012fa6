//! Age of copies of topics.

use std::time::Duration;

use cuminward_serving::{
    freshness::{MAX_AGE, Watermark, read_moment},
    position::Position,
};
use googletest::prelude::*;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[gtest]
fn a_copy_is_fresh_until_the_maximum_age_whoever_confirmed_it() {
    struct Case {
        name: &'static str,
        /// Moments up to which the copy was confirmed to be complete, in the order of arrival.
        confirmed: Vec<Duration>,
        now: Duration,
        age: Option<Duration>,
        is_stale: bool,
    }
    let cases = [
        Case { name: "never", confirmed: vec![], now: ms(5000), age: None, is_stale: true },
        Case {
            name: "just now",
            confirmed: vec![ms(5000)],
            now: ms(5000),
            age: Some(ms(0)),
            is_stale: false,
        },
        Case {
            name: "an answer that is newer than it says",
            confirmed: vec![ms(5000), ms(3000)],
            now: ms(5500),
            age: Some(ms(500)),
            is_stale: false,
        },
        Case {
            name: "readers that answer with what they knew long ago",
            confirmed: vec![ms(1000), ms(1000), ms(1000)],
            now: ms(1000).saturating_add(MAX_AGE),
            age: Some(MAX_AGE),
            is_stale: true,
        },
    ];
    for Case { name, confirmed, now, age, is_stale } in cases {
        let mut watermark = Watermark::default();
        for at in confirmed {
            watermark.advance(at, Position::default());
        }
        expect_that!(watermark.age(now), eq(age), "{name}");
        expect_that!(watermark.is_stale(now), eq(is_stale), "{name}");
    }
}

#[gtest]
fn a_read_is_complete_up_to_the_moment_at_which_the_store_must_have_looked() {
    struct Case {
        name: &'static str,
        arrived_at: Duration,
        wait: Duration,
        is_empty: bool,
        moment: Duration,
    }
    let sent_at = ms(1000);
    let cases = [
        Case {
            name: "no wait",
            arrived_at: ms(1010),
            wait: ms(0),
            is_empty: true,
            moment: ms(1000),
        },
        Case {
            name: "nothing in the whole wait",
            arrived_at: ms(1810),
            wait: ms(800),
            is_empty: true,
            moment: ms(1800),
        },
        Case {
            name: "a record during the wait",
            arrived_at: ms(1300),
            wait: ms(800),
            is_empty: false,
            moment: ms(1000),
        },
        Case {
            name: "a record that arrives after the wait",
            arrived_at: ms(1900),
            wait: ms(800),
            is_empty: false,
            moment: ms(1000),
        },
        Case {
            name: "nothing, but earlier than asked for",
            arrived_at: ms(1200),
            wait: ms(800),
            is_empty: true,
            moment: ms(1000),
        },
    ];
    for Case { name, arrived_at, wait, is_empty, moment } in cases {
        expect_that!(read_moment(sent_at, arrived_at, wait, is_empty), eq(moment), "{name}");
    }
}
