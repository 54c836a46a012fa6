//! Retry budget.

use std::time::Duration;

use cuminward_serving::retry::{Budget, Limit};
use googletest::prelude::*;

const WINDOW: Duration = Duration::from_secs(10);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

struct Case {
    name: &'static str,
    nodes: u32,
    /// Reserve of all nodes together.
    reserve: f64,
    /// Requests of a node per second.
    rate: u64,
}

/// Returns the largest number of retries of all nodes beyond what is allowed, in any window, if each
/// node retries whenever it may.
fn largest_excess(case: &Case) -> f64 {
    let limit = Limit { ratio: 0.2, reserve: case.reserve / f64::from(case.nodes), window: WINDOW };
    let mut budgets = vec![Budget::default(); case.nodes as usize];
    let mut totals: Vec<(u32, u32)> = Vec::new();
    for step in 0..400 {
        let now = ms(step * 100);
        let (mut requests, mut retries) = (0, 0);
        for (node, budget) in budgets.iter_mut().enumerate() {
            // No node retries for a while; then a failure makes all of them retry at once.
            let due = (step + node as u64) % 10 < case.rate;
            if due {
                budget.record_request(now, &limit);
                requests += 1;
            }
            while step >= 150 && budget.try_retry(now, &limit) {
                retries += 1;
            }
        }
        totals.push((requests, retries));
    }
    let windows = totals.windows(100).map(|it| {
        let requests: u32 = it.iter().map(|it| it.0).sum();
        let retries: u32 = it.iter().map(|it| it.1).sum();
        f64::from(retries) - f64::from(requests) * 0.2 - case.reserve
    });
    windows.fold(f64::MIN, f64::max)
}

#[gtest]
fn all_nodes_together_keep_to_the_limit_in_every_window() {
    let cases = [
        Case { name: "few nodes", nodes: 9, reserve: 109.0, rate: 5 },
        Case { name: "the large site", nodes: 95, reserve: 272.0, rate: 8 },
        Case { name: "as many nodes as retries", nodes: 400, reserve: 400.0, rate: 3 },
        Case { name: "more nodes than retries", nodes: 400, reserve: 100.0, rate: 1 },
        Case { name: "no requests", nodes: 95, reserve: 272.0, rate: 0 },
    ];
    for case in cases {
        // A part of the window is counted as a whole, so a tenth of the requests may be missing.
        let tolerance = f64::from(case.nodes) * case.rate as f64 * 0.2;
        expect_that!(largest_excess(&case), le(tolerance), "{}", case.name);
    }
}

#[gtest]
fn what_was_not_used_for_a_while_may_be_used_at_once() {
    let limit = Limit { ratio: 0.2, reserve: 1.4, window: WINDOW };
    let mut budget = Budget::default();
    (0..100).for_each(|it| budget.record_request(ms(it * 100), &limit));
    let retries = (0..100).filter(|_| budget.try_retry(ms(10_000), &limit)).count();
    expect_that!(retries, all!(ge(19), le(21)));
    expect_that!(budget.has_retry(ms(10_100), &limit), eq(false));
    expect_that!(budget.has_retry(ms(21_000), &limit), eq(true), "the window has passed");
}

/// Guards against repeats that pile up: a process that started used a part of the reserve that its predecessor may have
/// used already.
#[gtest]
fn a_process_that_just_started_uses_the_reserve_only_without_a_predecessor() {
    struct Case {
        name: &'static str,
        budget: Budget,
        now: Duration,
        expected: usize,
    }
    let cases = [
        Case { name: "first", budget: Budget::first(), now: ms(500), expected: 10 },
        Case { name: "later process", budget: Budget::default(), now: ms(500), expected: 0 },
        Case { name: "window not over", budget: Budget::default(), now: ms(9999), expected: 0 },
        Case { name: "a window later", budget: Budget::default(), now: ms(10_000), expected: 10 },
    ];
    let limit = Limit { ratio: 0.2, reserve: 10.0, window: WINDOW };
    for Case { name, mut budget, now, expected } in cases {
        let retries = (0..100).filter(|_| budget.try_retry(now, &limit)).count();
        expect_that!(retries, eq(expected), "{name}");
    }
}

/// Guards against repeats that pile up: what a node lends is used by another one a moment later, and counts for as long
/// as that use lies within the window.
#[gtest]
fn loans_count_until_the_window_of_their_latest_use_is_over() {
    let limit = Limit { ratio: 0.2, reserve: 10.0, window: WINDOW };
    let lent_at = ms(20_000);
    let mut lender = Budget::default();
    let lent = (0..100).filter(|_| lender.lend(lent_at, &limit)).count();
    expect_that!(lent, eq(10));
    let last = lent_at + limit.loan_time() + WINDOW;
    for (now, expected) in
        [(lent_at, false), (ms(30_500), false), (last - ms(1), false), (last, true)]
    {
        expect_that!(lender.has_retry(now, &limit), eq(expected), "{now:?}");
    }
    let mut starting = Budget::default();
    expect_that!(starting.lend(ms(9999), &limit), eq(false), "it doesn't know its own use");
}

/// Guards against repeats that pile up when processes are killed and started again: each used a part of the reserve
/// anew.
#[gtest]
fn processes_that_follow_each_other_within_a_window_share_the_reserve() {
    struct Case {
        name: &'static str,
        /// When a process of the node starts; each retries whenever it may until the next one starts.
        starts: &'static [u64],
    }
    let cases = [
        Case { name: "one", starts: &[0] },
        Case { name: "killed once", starts: &[0, 15_000] },
        Case { name: "killed early", starts: &[0, 4000, 9000, 15_000] },
        Case {
            name: "killed again and again",
            starts: &[0, 11_000, 12_000, 13_000, 25_000, 25_500],
        },
    ];
    let limit = Limit { ratio: 0.2, reserve: 10.0, window: WINDOW };
    for Case { name, starts } in cases {
        let mut retries = Vec::new();
        for (index, start) in starts.iter().enumerate() {
            let end = starts.get(index + 1).copied().unwrap_or(50_000);
            let mut budget = Budget::default();
            for at in (*start..end).step_by(100) {
                while budget.try_retry(ms(at - start), &limit) {
                    retries.push(at);
                }
            }
        }
        let in_window =
            |first: u64| retries.iter().filter(|at| (first..first + 10_000).contains(*at)).count();
        let most = retries.iter().map(|it| in_window(*it)).max();
        expect_that!(most, some(le(10)), "{name}");
    }
}

#[gtest]
fn nothing_is_allowed_before_the_share_is_known() {
    let limit = Limit { ratio: 0.2, reserve: 0.0, window: WINDOW };
    let mut budget = Budget::default();
    expect_that!(budget.try_retry(ms(1), &limit), eq(false));
    (0..5).for_each(|_| budget.record_request(ms(2), &limit));
    expect_that!(budget.try_retry(ms(3), &limit), eq(true), "requests earn retries");
}

/// Guards against repeats that pile up: a window that moves by whole parts forgot retries before they were as old as
/// the window.
#[gtest]
fn two_bursts_within_a_window_share_the_reserve_wherever_a_part_begins() {
    struct Case {
        first: Duration,
        second: Duration,
        /// Retries of the second burst.
        allowed: usize,
    }
    let cases = [
        Case { first: ms(20_000), second: ms(29_900), allowed: 0 },
        Case { first: ms(20_500), second: ms(30_400), allowed: 0 },
        Case { first: ms(20_990), second: ms(30_010), allowed: 0 },
        Case { first: ms(20_990), second: ms(30_980), allowed: 0 },
        Case { first: ms(20_000), second: ms(31_100), allowed: 10 },
    ];
    let limit = Limit { ratio: 0.2, reserve: 10.0, window: WINDOW };
    for Case { first, second, allowed } in cases {
        let mut budget = Budget::default();
        let mut burst = |at| (0..100).filter(|_| budget.try_retry(at, &limit)).count();
        expect_that!(burst(first), eq(10), "{first:?}");
        expect_that!(burst(second), eq(allowed), "{second:?} after {first:?}");
    }
}

/// Guards against repeats that pile up after a wait: they counted when they were allowed, and reached hosts together
/// with those of the next window.
#[gtest]
fn a_retry_that_waited_counts_from_when_it_is_sent() {
    struct Case {
        allowed: Duration,
        sent: Duration,
        /// A later moment, and whether another retry is allowed then.
        next: (Duration, bool),
    }
    let cases = [
        Case { allowed: ms(20_000), sent: ms(20_000), next: (ms(29_000), false) },
        Case { allowed: ms(20_000), sent: ms(20_000), next: (ms(31_100), true) },
        Case { allowed: ms(20_000), sent: ms(27_000), next: (ms(31_100), false) },
        Case { allowed: ms(20_000), sent: ms(27_000), next: (ms(36_900), false) },
        Case { allowed: ms(20_000), sent: ms(27_000), next: (ms(38_100), true) },
        Case { allowed: ms(20_000), sent: ms(33_000), next: (ms(40_000), false) },
    ];
    let limit = Limit { ratio: 0.2, reserve: 1.0, window: WINDOW };
    for Case { allowed, sent, next: (at, expected) } in cases {
        let mut budget = Budget::default();
        expect_that!(budget.try_retry(allowed, &limit), eq(true));
        budget.record_sending(allowed, sent, &limit);
        expect_that!(
            budget.has_retry(at, &limit),
            eq(expected),
            "sent at {sent:?}, next at {at:?}"
        );
    }
}
