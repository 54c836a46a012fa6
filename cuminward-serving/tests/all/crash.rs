//! Requests that crash hosts.

use std::time::Duration;

use cuminward_serving::crash::{Ledger, MAX_CRASHES, fingerprint};
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
fn crashes_of_all_nodes_count_together_and_are_forgotten() {
    let now = Duration::from_secs(100);
    let mut ledger = Ledger::default();
    ledger.add(now, 7);
    expect_that!(ledger.is_refused(now, 7), eq(false));
    expect_that!(ledger.own(now).collect::<Vec<_>>(), elements_are![eq(&(7, 1))]);
    ledger.set_others(now, 7, MAX_CRASHES - 1);
    expect_that!(ledger.is_refused(now, 7), eq(true));
    expect_that!(ledger.is_refused(now, 8), eq(false));
    let later = now + Duration::from_secs(600);
    expect_that!(ledger.is_refused(later, 7), eq(false));
    expect_that!(ledger.own(later).count(), eq(0));
}

#[gtest]
fn the_same_report_of_other_nodes_counts_once() {
    let now = Duration::from_secs(1);
    let mut ledger = Ledger::default();
    for _ in 0..10 {
        ledger.set_others(now, 7, MAX_CRASHES - 1);
    }
    expect_that!(ledger.is_refused(now, 7), eq(false));
}
