//! Tracking of hosts that don't answer.

use std::time::Duration;

use cuminward_serving::loss::{Tracker, find_new};
use googletest::prelude::*;

const INTERVAL: Duration = Duration::from_millis(400);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[gtest]
fn an_unconfirmed_loss_expires() {
    let mut tracker = Tracker::default();
    expect_that!(tracker.record_loss(ms(1000), "h", INTERVAL), eq(true));
    expect_that!(tracker.lost_hosts(ms(1799)).len(), eq(1));
    expect_that!(tracker.expire(ms(1799)), eq(false));
    expect_that!(tracker.lost_hosts(ms(1800)), is_empty());
    expect_that!(tracker.expire(ms(1800)), eq(true));
}

#[gtest]
fn a_confirmed_loss_continues_and_is_not_new() {
    let mut tracker = Tracker::default();
    tracker.record_loss(ms(1000), "h", INTERVAL);
    for round in 1..10 {
        let now = ms(1000 + round * 400);
        expect_that!(tracker.take_due_probes(now, INTERVAL), elements_are![eq("h")]);
        expect_that!(tracker.take_due_probes(now, INTERVAL), is_empty());
        expect_that!(tracker.record_loss(now, "h", INTERVAL), eq(false));
    }
    expect_that!(tracker.clear_loss("h"), eq(true));
    expect_that!(tracker.clear_loss("h"), eq(false));
    expect_that!(tracker.take_due_probes(ms(9000), INTERVAL), is_empty());
}

#[gtest]
fn only_newly_reported_hosts_are_returned() {
    let names = |it: &[&str]| it.iter().map(|it| (*it).to_owned()).collect::<Vec<_>>();
    expect_that!(find_new(&names(&["a"]), &names(&["a", "b"])), elements_are![eq(&"b")]);
    expect_that!(find_new(&names(&["a", "b"]), &names(&["a"])), is_empty());
}

#[gtest]
fn a_host_is_probed_once_however_many_nodes_report_it() {
    let mut tracker = Tracker::default();
    expect_that!(tracker.has_recent_report(ms(1000), "h"), eq(false));
    expect_that!(tracker.record_report(ms(1000), "h"), eq(true));
    expect_that!(tracker.record_report(ms(1100), "h"), eq(false), "reported a moment ago");
    expect_that!(tracker.has_recent_report(ms(1100), "h"), eq(true));
    expect_that!(tracker.record_report(ms(2000), "h"), eq(true), "the former report has expired");
    tracker.record_loss(ms(2100), "h", INTERVAL);
    expect_that!(tracker.record_report(ms(3050), "h"), eq(true), "the loss wasn't confirmed");
    tracker.record_loss(ms(3100), "g", INTERVAL);
    expect_that!(tracker.record_report(ms(3200), "g"), eq(false), "already counts as lost");
}
