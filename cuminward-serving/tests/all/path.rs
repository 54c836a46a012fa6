//! Paths from a node to upstreams.

use std::time::Duration;

use cuminward_serving::path::{Order, STRANDED_HOSTS, Tracker};
use googletest::prelude::*;

/// What happened on the way to a host.
#[derive(Debug, Clone, Copy)]
enum Step {
    Direct(&'static str),
    /// Another node reached the host, the own path didn't work.
    Detour(&'static str),
    /// Another node reached the host sooner.
    SlowPath(&'static str),
    Unreachable(&'static str),
}

struct Case {
    name: &'static str,
    /// Steps with their times, in milliseconds.
    steps: &'static [(u64, Step)],
    is_suspect: bool,
    /// Order for the host `a` and for the host `z` at 1,000 ms.
    orders: (Order, Order),
}

#[gtest]
fn a_node_may_be_stranded_only_while_others_reach_hosts_that_it_does_not() {
    use Order::{DetourFirst, Direct, DirectFirst};
    use Step::{Detour, Direct as Reached, SlowPath, Unreachable};
    let cases = [
        Case { name: "start", steps: &[], is_suspect: false, orders: (DirectFirst, DirectFirst) },
        Case {
            name: "hosts that nobody reaches",
            steps: &[
                (900, Unreachable("a")),
                (900, Unreachable("b")),
                (900, Unreachable("c")),
                (900, Unreachable("d")),
            ],
            is_suspect: false,
            orders: (Direct, DirectFirst),
        },
        Case {
            name: "path to one host lost",
            steps: &[(100, Detour("a")), (200, Detour("a")), (300, Detour("a"))],
            is_suspect: false,
            orders: (DetourFirst, DirectFirst),
        },
        Case {
            name: "paths to several hosts lost",
            steps: &[(100, Detour("a")), (200, Detour("b")), (300, Detour("c"))],
            is_suspect: true,
            orders: (DetourFirst, DirectFirst),
        },
        Case {
            name: "paths to some hosts lost",
            steps: &[
                (100, Detour("a")),
                (200, Detour("b")),
                (250, Reached("y")),
                (300, Detour("c")),
            ],
            is_suspect: false,
            orders: (DetourFirst, DirectFirst),
        },
        Case {
            name: "paths that are slow",
            steps: &[(100, SlowPath("a")), (200, SlowPath("b")), (300, SlowPath("c"))],
            is_suspect: false,
            orders: (DetourFirst, DirectFirst),
        },
        Case {
            name: "paths regained",
            steps: &[
                (100, Detour("a")),
                (200, Detour("b")),
                (300, Detour("c")),
                (400, Reached("a")),
            ],
            is_suspect: false,
            orders: (DirectFirst, DirectFirst),
        },
    ];
    for case in cases {
        let mut tracker = Tracker::default();
        for (ms, step) in case.steps {
            let now = Duration::from_millis(*ms);
            match step {
                Reached(host) => {
                    tracker.record_direct(host);
                }
                Detour(host) => {
                    tracker.record_detour(now, host);
                    tracker.record_lost_path(now, host);
                }
                SlowPath(host) => tracker.record_detour(now, host),
                Unreachable(host) => tracker.record_unreachable(now, host),
            }
        }
        let now = Duration::from_secs(1);
        expect_that!(tracker.is_suspect(now), eq(case.is_suspect), "{}", case.name);
        let orders = (tracker.order(now, "a"), tracker.order(now, "z"));
        expect_that!(orders, eq(case.orders), "{}", case.name);
    }
}

#[gtest]
fn a_stranded_node_takes_detours_to_all_hosts_until_its_own_path_works() {
    let mut tracker = Tracker::default();
    let second = Duration::from_secs(1);
    for index in 0..STRANDED_HOSTS {
        tracker.record_detour(second, &format!("h-{index}"));
        tracker.record_lost_path(second, &format!("h-{index}"));
    }
    tracker.record_unreachable(second, "z");
    expect_that!(tracker.order(second, "z"), eq(Order::Direct));
    tracker.record_stranded();
    expect_that!(tracker.is_suspect(second), eq(false), "it is known");
    expect_that!(tracker.order(second, "z"), eq(Order::DetourFirst));
    expect_that!(tracker.path_lost_at("h-0"), some(eq(second)));
    expect_that!(tracker.path_lost_at("z"), none());
    expect_that!(tracker.record_direct("h-1"), eq(true));
    expect_that!(tracker.record_direct("h-1"), eq(false));
    expect_that!(tracker.path_lost_at("h-0"), none());
    expect_that!(tracker.order(2 * second, "h-0"), eq(Order::DetourFirst));
    expect_that!(tracker.order(4 * second, "h-0"), eq(Order::DirectFirst));
}

/// Guards against nodes that took paths which they had lost long ago for a sign that they were stranded.
#[gtest]
fn lost_paths_are_forgotten() {
    let mut tracker = Tracker::default();
    for index in 0..STRANDED_HOSTS as u64 {
        tracker.record_lost_path(Duration::from_secs(2 * index), &format!("h-{index}"));
    }
    expect_that!(tracker.is_suspect(Duration::from_secs(4)), eq(false));
}
