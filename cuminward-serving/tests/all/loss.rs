//! Hosts that don't answer.

use std::time::Duration;

use cuminward_serving::loss::{Ledger, news};
use googletest::prelude::*;

const INTERVAL: Duration = Duration::from_millis(400);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[gtest]
fn a_loss_that_is_not_confirmed_ends() {
    let mut ledger = Ledger::default();
    expect_that!(ledger.lose(ms(1000), "h", INTERVAL), eq(true));
    expect_that!(ledger.lost(ms(1799)).len(), eq(1));
    expect_that!(ledger.expire(ms(1799)), eq(false));
    expect_that!(ledger.lost(ms(1800)), is_empty());
    expect_that!(ledger.expire(ms(1800)), eq(true));
}

#[gtest]
fn a_loss_that_is_confirmed_goes_on_and_is_no_news() {
    let mut ledger = Ledger::default();
    ledger.lose(ms(1000), "h", INTERVAL);
    for round in 1..10 {
        let now = ms(1000 + round * 400);
        expect_that!(ledger.due(now, INTERVAL), elements_are![eq("h")]);
        expect_that!(ledger.due(now, INTERVAL), is_empty());
        expect_that!(ledger.lose(now, "h", INTERVAL), eq(false));
    }
    expect_that!(ledger.find("h"), eq(true));
    expect_that!(ledger.find("h"), eq(false));
    expect_that!(ledger.due(ms(9000), INTERVAL), is_empty());
}

#[gtest]
fn only_what_a_node_newly_reports_is_news() {
    let names = |it: &[&str]| it.iter().map(|it| (*it).to_owned()).collect::<Vec<_>>();
    expect_that!(news(&names(&["a"]), &names(&["a", "b"])), elements_are![eq(&"b")]);
    expect_that!(news(&names(&["a", "b"]), &names(&["a"])), is_empty());
}

#[gtest]
fn a_host_is_asked_once_however_many_nodes_say_that_it_is_lost() {
    let mut ledger = Ledger::default();
    expect_that!(ledger.is_heard(ms(1000), "h"), eq(false));
    expect_that!(ledger.hear(ms(1000), "h"), eq(true));
    expect_that!(ledger.hear(ms(1100), "h"), eq(false), "heard a moment ago");
    expect_that!(ledger.is_heard(ms(1100), "h"), eq(true));
    expect_that!(ledger.hear(ms(2000), "h"), eq(true), "heard long ago");
    ledger.lose(ms(2100), "h", INTERVAL);
    expect_that!(ledger.hear(ms(3050), "h"), eq(true), "the loss wasn't confirmed");
    ledger.lose(ms(3100), "g", INTERVAL);
    expect_that!(ledger.hear(ms(3200), "g"), eq(false), "lost already");
}
