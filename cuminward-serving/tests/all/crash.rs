//! Quarantine of requests that crash hosts.

use std::{collections::BTreeSet, time::Duration};

use cuminward_serving::{
    crash::fingerprint,
    quarantine::{Sighting, Subject, THRESHOLD, Tracker},
};
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

const REQUEST: Subject = Subject::Request(7);

/// Returns the sighting of a crash by another node, a second after the crash.
fn sighting(crash: u64) -> Sighting {
    let companions = BTreeSet::new();
    Sighting { subject: REQUEST, crash, age: Duration::from_secs(1), companions }
}

#[gtest]
fn crashes_of_all_nodes_count_together_and_expire() {
    let now = Duration::from_secs(100);
    let mut tracker = Tracker::default();
    tracker.record_crash(now, &[REQUEST], 1);
    expect_that!(tracker.quarantined(now).is_empty(), eq(true));
    expect_that!(tracker.sightings(now).len(), eq(1));
    for crash in 2..=THRESHOLD as u64 {
        expect_that!(tracker.quarantined(now).is_empty(), eq(true));
        let other = now + Duration::from_secs(crash);
        tracker.record_sighting(other, &sighting(crash));
    }
    let now = now + Duration::from_secs(5);
    expect_that!(tracker.quarantined(now).contains(now, &[REQUEST]), eq(true));
    expect_that!(tracker.quarantined(now).contains(now, &[Subject::Request(8)]), eq(false));
    let later = now + Duration::from_secs(600);
    expect_that!(tracker.quarantined(later).is_empty(), eq(true));
    tracker.expire(later);
    expect_that!(tracker.sightings(later).len(), eq(0));
}

#[gtest]
fn the_same_report_of_other_nodes_counts_once() {
    let now = Duration::from_secs(1);
    let mut tracker = Tracker::default();
    for _ in 0..10 {
        for crash in 1..THRESHOLD as u64 {
            tracker.record_sighting(now + Duration::from_secs(crash), &sighting(crash));
        }
    }
    let now = now + Duration::from_secs(5);
    expect_that!(tracker.quarantined(now).is_empty(), eq(true));
}

#[gtest]
fn a_request_is_not_quarantined_for_crashes_that_a_part_explains() {
    let part = Subject::Part(1);
    let mut tracker = Tracker::default();
    for crash in 0..THRESHOLD as u64 {
        let at = Duration::from_secs(100 + crash);
        tracker.record_crash(at, &[Subject::Request(8), part], crash);
        tracker.record_crash(at, &[REQUEST], crash);
    }
    let now = Duration::from_secs(105);
    let quarantined = tracker.quarantined(now);
    expect_that!(quarantined.contains(now, &[REQUEST]), eq(false));
    expect_that!(quarantined.contains(now, &[REQUEST, part]), eq(true));
    expect_that!(quarantined.contains(now, &[Subject::Request(8), part]), eq(true));
}
