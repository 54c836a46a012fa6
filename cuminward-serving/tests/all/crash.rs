//! Quarantine of requests that crash hosts.

use std::time::Duration;

use cuminward_serving::crash::{QUARANTINE_THRESHOLD, Tracker, fingerprint};
use googletest::prelude::*;

#[gtest]
fn a_fingerprint_depends_on_path_key_and_body() {
    let base = fingerprint("/a", "k", b"body");
    expect_that!(fingerprint("/a", "k", b"body"), eq(base));
    for other in [
        fingerprint("/b", "k", b"body"),
        fingerprint("/a", "l", b"body"),
        fingerprint("/a", "k", b"bodi"),
        fingerprint("/ak", "", b"body"),
    ] {
        expect_that!(other, not(eq(base)));
    }
}

#[gtest]
fn crashes_of_all_nodes_count_together_and_expire() {
    let now = Duration::from_secs(100);
    let mut tracker = Tracker::default();
    tracker.record_crash(now, 7);
    expect_that!(tracker.is_quarantined(now, 7), eq(false));
    expect_that!(tracker.own_counts(now).collect::<Vec<_>>(), elements_are![eq(&(7, 1))]);
    tracker.set_peer_count(now, 7, QUARANTINE_THRESHOLD - 1);
    expect_that!(tracker.is_quarantined(now, 7), eq(true));
    expect_that!(tracker.is_quarantined(now, 8), eq(false));
    let later = now + Duration::from_secs(600);
    expect_that!(tracker.is_quarantined(later, 7), eq(false));
    expect_that!(tracker.own_counts(later).count(), eq(0));
}

#[gtest]
fn the_same_report_of_other_nodes_counts_once() {
    let now = Duration::from_secs(1);
    let mut tracker = Tracker::default();
    for _ in 0..10 {
        tracker.set_peer_count(now, 7, QUARANTINE_THRESHOLD - 1);
    }
    expect_that!(tracker.is_quarantined(now, 7), eq(false));
}
