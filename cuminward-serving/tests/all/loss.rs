//! Tracking of hosts that don't answer.

use std::time::Duration;

use cuminward_serving::loss::{MAX_SILENCE, Tracker, find_new};
use googletest::prelude::*;

const INTERVAL: Duration = Duration::from_millis(400);

/// Number of hosts.
const KNOWN: usize = 6;

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
        expect_that!(tracker.take_due_probes(now, INTERVAL, |_| true), elements_are![eq("h")]);
        expect_that!(tracker.take_due_probes(now, INTERVAL, |_| true), is_empty());
        expect_that!(tracker.record_loss(now, "h", INTERVAL), eq(false));
    }
    expect_that!(tracker.clear_loss("h"), eq(true));
    expect_that!(tracker.clear_loss("h"), eq(false));
    expect_that!(tracker.take_due_probes(ms(9000), INTERVAL, |_| true), is_empty());
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

#[gtest]
fn reports_extend_a_loss_that_this_node_found_itself() {
    let mut tracker = Tracker::default();
    tracker.record_loss(ms(1000), "h", INTERVAL);
    for now in (1400..9000).step_by(200).map(ms) {
        tracker.record_report(now, "h");
        expect_that!(tracker.take_due_probes(now, INTERVAL, |_| false), is_empty(), "{now:?}");
        expect_that!(tracker.lost_hosts(now).len(), eq(1), "{now:?}");
    }
    expect_that!(tracker.probed_losses(ms(9000)).count(), eq(0), "it isn't passed on");
    expect_that!(tracker.record_withdrawal(ms(9000), "h"), eq(true));
    expect_that!(tracker.lost_hosts(ms(9000)), is_empty());
}

#[gtest]
fn a_report_alone_makes_no_loss() {
    let mut tracker = Tracker::default();
    for now in (1000..9000).step_by(200).map(ms) {
        tracker.record_report(now, "h");
        expect_that!(tracker.lost_hosts(now), is_empty(), "{now:?}");
    }
    expect_that!(tracker.record_withdrawal(ms(9000), "h"), eq(false));
}

#[gtest]
fn a_node_without_reports_probes_the_host_itself() {
    let mut tracker = Tracker::default();
    tracker.record_loss(ms(1000), "h", INTERVAL);
    let due = tracker.take_due_probes(ms(1400), INTERVAL, |_| false);
    expect_that!(due, elements_are![eq("h")], "nobody has reported the host");
    tracker.record_report(ms(1500), "h");
    expect_that!(tracker.take_due_probes(ms(1900), INTERVAL, |_| false), is_empty());
    let due = tracker.take_due_probes(ms(3700), INTERVAL, |_| false);
    expect_that!(due, elements_are![eq("h")], "the last report is old");
}

/// Plays a lost host in front of nodes that pass on what they probed, and counts the probes.
fn probes_per_second(nodes: usize, gossip: Duration) -> f64 {
    let interval = ms(1000);
    let mut trackers = vec![Tracker::default(); nodes];
    trackers.iter_mut().for_each(|it| {
        it.record_loss(ms(1000), "h", interval);
    });
    let mut probes = 0;
    for now in (1000..21_000).step_by(20).map(ms) {
        for (index, tracker) in trackers.iter_mut().enumerate() {
            let is_prober = index < cuminward_serving::loss::PROBERS;
            if !tracker.take_due_probes(now, interval, |_| is_prober).is_empty() {
                probes += 1;
                tracker.record_loss(now, "h", interval);
            }
        }
        if now.as_millis() % gossip.as_millis() == 0 {
            let reporting = trackers.iter().filter(|it| it.probed_losses(now).count() > 0).count();
            trackers.iter_mut().filter(|_| reporting > 0).for_each(|it| {
                it.record_report(now, "h");
            });
        }
        let all_lost = trackers.iter().all(|it| it.lost_hosts(now).len() == 1);
        expect_that!(all_lost, eq(true), "{nodes} nodes, {now:?}");
    }
    f64::from(probes) / 20.0
}

#[gtest]
fn the_probes_of_a_lost_host_do_not_grow_with_the_nodes() {
    for nodes in [3, 9, 95, 400] {
        let probes = probes_per_second(nodes, ms(1200));
        expect_that!(probes, le(4.0), "{nodes} nodes");
        expect_that!(probes, ge(2.0), "{nodes} nodes");
    }
}

struct Silence {
    name: &'static str,
    is_refused: bool,
    /// Time for which probes confirm the loss.
    lasts: Duration,
    is_gone: bool,
}

#[gtest]
fn a_silent_host_is_gone_only_after_the_longest_silence_of_a_sound_one() {
    let cases = [
        Silence { name: "just lost", is_refused: false, lasts: ms(0), is_gone: false },
        Silence { name: "silent", is_refused: false, lasts: ms(799), is_gone: false },
        Silence { name: "silent for long", is_refused: false, lasts: ms(1200), is_gone: true },
        Silence { name: "refused", is_refused: true, lasts: ms(0), is_gone: true },
    ];
    for case in cases {
        let mut tracker = Tracker::default();
        let start = ms(1000);
        if case.is_refused {
            tracker.record_refusal(start, "h", INTERVAL);
        }
        for now in (0..=case.lasts.as_millis() as u64).map(|it| start + ms(it)) {
            if now == start || !tracker.take_due_probes(now, INTERVAL, |_| true).is_empty() {
                tracker.record_loss(now, "h", INTERVAL);
            }
        }
        let gone = tracker.gone_hosts(start + case.lasts, KNOWN);
        expect_that!(!gone.is_empty(), eq(case.is_gone), "{}", case.name);
    }
}

/// Guards against hosts that counted as gone because the probe that they would have answered was still due.
#[gtest]
fn a_host_is_gone_only_when_a_late_probe_was_not_answered() {
    let mut tracker = Tracker::default();
    tracker.record_loss(ms(1000), "h", INTERVAL);
    tracker.record_loss(ms(1000) + MAX_SILENCE - ms(160), "h", INTERVAL);
    expect_that!(tracker.gone_hosts(ms(1000) + MAX_SILENCE, KNOWN), is_empty());
    let due = tracker.take_due_probes(ms(1000) + MAX_SILENCE, INTERVAL, |_| true);
    expect_that!(due, elements_are![eq("h")]);
    tracker.record_loss(ms(1200) + MAX_SILENCE, "h", INTERVAL);
    expect_that!(tracker.gone_hosts(ms(1200) + MAX_SILENCE, KNOWN).len(), eq(1));
}

/// Guards against stewards that dissolved all groups when they had lost their own paths.
#[gtest]
fn no_host_is_gone_while_most_are_lost() {
    let mut tracker = Tracker::default();
    for host in ["a", "b", "c"] {
        tracker.record_refusal(ms(1000), host, INTERVAL);
    }
    expect_that!(tracker.gone_hosts(ms(1000), KNOWN).len(), eq(3));
    tracker.record_refusal(ms(1000), "d", INTERVAL);
    expect_that!(tracker.gone_hosts(ms(1000), KNOWN), is_empty());
    expect_that!(tracker.clear(), eq(true));
    expect_that!(tracker.lost_hosts(ms(1000)), is_empty());
    expect_that!(tracker.clear(), eq(false));
}
