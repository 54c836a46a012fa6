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
    is_stranded: bool,
    /// Order for the host `a` and for the host `z` at 1,000 ms.
    orders: (Order, Order),
}

#[gtest]
fn a_node_is_stranded_only_while_others_reach_hosts_that_it_does_not() {
    use Order::{DetourFirst, Direct, DirectFirst};
    use Step::{Detour, Direct as Reached, SlowPath, Unreachable};
    let cases = [
        Case { name: "start", steps: &[], is_stranded: false, orders: (DirectFirst, DirectFirst) },
        Case {
            name: "hosts that nobody reaches",
            steps: &[
                (900, Unreachable("a")),
                (900, Unreachable("b")),
                (900, Unreachable("c")),
                (900, Unreachable("d")),
            ],
            is_stranded: false,
            orders: (Direct, DirectFirst),
        },
        Case {
            name: "path to one host lost",
            steps: &[(100, Detour("a")), (200, Detour("a")), (300, Detour("a"))],
            is_stranded: false,
            orders: (DetourFirst, DirectFirst),
        },
        Case {
            name: "paths to several hosts lost",
            steps: &[(100, Detour("a")), (200, Detour("b")), (300, Detour("c"))],
            is_stranded: true,
            orders: (DetourFirst, DetourFirst),
        },
        Case {
            name: "paths to some hosts lost",
            steps: &[
                (100, Detour("a")),
                (200, Detour("b")),
                (250, Reached("y")),
                (300, Detour("c")),
            ],
            is_stranded: false,
            orders: (DetourFirst, DirectFirst),
        },
        Case {
            name: "paths that are slow",
            steps: &[(100, SlowPath("a")), (200, SlowPath("b")), (300, SlowPath("c"))],
            is_stranded: false,
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
            is_stranded: false,
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
        expect_that!(tracker.is_stranded(), eq(case.is_stranded), "{}", case.name);
        let orders = (tracker.order(now, "a"), tracker.order(now, "z"));
        expect_that!(orders, eq(case.orders), "{}", case.name);
    }
}

#[gtest]
fn changes_are_reported_once_and_detours_expire() {
    let mut tracker = Tracker::default();
    let hosts: Vec<String> = (0..STRANDED_HOSTS).map(|it| format!("h-{it}")).collect();
    hosts.iter().for_each(|it| tracker.record_detour(Duration::ZERO, it));
    let changes = hosts.iter().map(|it| tracker.record_lost_path(Duration::ZERO, it));
    expect_that!(changes.filter(|it| *it).count(), eq(1));
    expect_that!(tracker.record_lost_path(Duration::ZERO, "h-0"), eq(false));
    expect_that!(tracker.detour_since(Duration::from_secs(3), "z"), some(eq(Duration::ZERO)));
    expect_that!(tracker.record_direct("h-1"), eq(true));
    expect_that!(tracker.record_direct("h-1"), eq(false));
    expect_that!(tracker.order(Duration::from_secs(1), "h-0"), eq(Order::DetourFirst));
    expect_that!(tracker.order(Duration::from_secs(3), "h-0"), eq(Order::DirectFirst));
}
