//! Tests of weighted fair queueing.

use std::{collections::BTreeMap, time::Duration};

use cuminward_core::outcome::Cause;
use cuminward_route::fair_queue::{Capacity, Entry, Options, Queue};
use googletest::prelude::*;

const FAR_DEADLINE: Duration = Duration::from_secs(1_000);

fn entry(team: &str, weight: u32, item: u32) -> Entry<u32> {
    Entry {
        team: team.into(),
        weight,
        limit: 1_000,
        priority: 0,
        cost: 1,
        deadline: FAR_DEADLINE,
        item,
    }
}

/// Capacity that admits every request.
const UNLIMITED: Capacity = Capacity { slots: 1_000, free: 1_000, weights: 1 };

fn millis(it: u64) -> Duration {
    Duration::from_millis(it)
}

#[gtest]
fn serves_by_weight_and_redistributes_unused_shares() {
    struct Case {
        demand: &'static [(&'static str, u32, u32)],
        pops: u32,
        expected: &'static [(&'static str, u32)],
    }
    let cases = [
        Case { demand: &[("a", 1, 90), ("b", 2, 90)], pops: 60, expected: &[("a", 20), ("b", 40)] },
        Case { demand: &[("a", 1, 900), ("b", 1, 9)], pops: 60, expected: &[("a", 51), ("b", 9)] },
        Case { demand: &[("a", 1, 90)], pops: 60, expected: &[("a", 60)] },
    ];
    for case in cases {
        let mut queue = Queue::new(Options::default());
        for &(team, weight, count) in case.demand {
            for it in 0..count {
                queue.push(Duration::ZERO, entry(team, weight, it)).expect("the queue has room");
            }
        }
        let mut served = BTreeMap::new();
        for it in 0..case.pops {
            let entry = queue.pop(millis(it.into()), &UNLIMITED).expect("a request waits");
            *served.entry(entry.team).or_insert(0) += 1;
        }
        let expected: BTreeMap<String, u32> =
            case.expected.iter().map(|&(team, count)| (team.to_owned(), count)).collect();
        expect_that!(served, eq(&expected));
    }
}

#[gtest]
fn higher_priorities_of_a_team_are_served_first() {
    let mut queue = Queue::new(Options::default());
    for (item, priority) in [(0, 0), (1, 5), (2, 5), (3, -1)] {
        let entry = Entry { priority, ..entry("a", 1, item) };
        queue.push(Duration::ZERO, entry).expect("the queue has room");
    }
    let order: Vec<u32> =
        std::iter::from_fn(|| queue.pop(Duration::ZERO, &UNLIMITED)).map(|it| it.item).collect();
    expect_that!(order, eq(&vec![1, 2, 0, 3]));
}

#[gtest]
fn rejects_requests_beyond_the_limits() {
    let mut queue = Queue::new(Options { max_waiting: 3, ..Options::default() });
    let limited = |item| Entry { limit: 2, ..entry("a", 1, item) };
    queue.push(Duration::ZERO, limited(0)).expect("the queue has room");
    queue.pop(Duration::ZERO, &UNLIMITED).expect("a request waits");
    queue.push(Duration::ZERO, limited(1)).expect("the queue has room");
    let refused = queue.push(Duration::ZERO, limited(2)).expect_err("the team is at its limit");
    expect_that!(refused.refusal.cause, eq(Cause::TeamLimit));
    queue.finish("a");
    queue.push(Duration::ZERO, limited(2)).expect("a request ended");
    queue.push(Duration::ZERO, entry("b", 1, 3)).expect("the queue has room");
    let refused = queue.push(Duration::ZERO, entry("b", 1, 4)).expect_err("the queue is full");
    expect_that!(refused.refusal.cause, eq(Cause::Overloaded));
}

#[gtest]
fn rejects_requests_that_would_miss_their_deadline() {
    let mut queue = Queue::new(Options::default());
    for it in 0..100 {
        queue.push(Duration::ZERO, entry("a", 1, it)).expect("the queue has room");
    }
    for it in 0..50 {
        queue.pop(millis(it * 100), &UNLIMITED).expect("a request waits");
    }
    let now = millis(5_000);
    let due = |wait| Entry { deadline: now + millis(wait), ..entry("a", 1, 0) };
    let refused = queue.push(now, due(4_000)).expect_err("50 waiting requests take 5 s");
    expect_that!(refused.refusal.retry_after_seconds, some(eq(5)));
    queue.push(now, due(6_000)).expect("the wait is 5.1 s");
    let other = Entry { deadline: now + millis(400), ..entry("b", 1, 0) };
    queue.push(now, other).expect("the other team is served next");
    expect_that!(queue.expire(now + millis(500)).len(), eq(1));
}

#[gtest]
fn teams_beyond_their_share_leave_slots_free() {
    struct Case {
        running: u32,
        free: u32,
        admitted: bool,
    }
    let cases = [
        Case { running: 4, free: 1, admitted: true },
        Case { running: 5, free: 1, admitted: false },
        Case { running: 8, free: 2, admitted: true },
        Case { running: 0, free: 0, admitted: false },
    ];
    for (number, case) in cases.iter().enumerate() {
        let mut queue = Queue::new(Options::default());
        for it in 0..=case.running {
            queue.push(Duration::ZERO, entry("hot", 1, it)).expect("the queue has room");
        }
        for _ in 0..case.running {
            queue.pop(Duration::ZERO, &UNLIMITED).expect("a request waits");
        }
        let capacity = Capacity { slots: 10, free: case.free, weights: 2 };
        let admitted = queue.pop(Duration::ZERO, &capacity).is_some();
        expect_that!(admitted, eq(case.admitted), "case {number}");
    }
}

#[gtest]
fn a_request_that_is_not_accepted_keeps_its_position() {
    let mut queue = Queue::new(Options::default());
    for it in 0..3 {
        queue.push(Duration::ZERO, entry("a", 1, it)).expect("the queue has room");
    }
    let second = |it: &Entry<u32>, admitted: bool| (admitted && it.item == 1).then_some("taken");
    let (taken, how) =
        queue.offer(Duration::ZERO, &UNLIMITED, second).expect("a request is accepted");
    expect_that!((taken.item, how), eq((1, "taken")));
    expect_that!(queue.offer(Duration::ZERO, &UNLIMITED, |_, _| None::<()>).is_none(), eq(true));
    let rest: Vec<u32> =
        std::iter::from_fn(|| queue.pop(Duration::ZERO, &UNLIMITED)).map(|it| it.item).collect();
    expect_that!(rest, eq(&vec![0, 2]));
}

#[gtest]
fn requests_that_the_caller_counts_count_for_the_share() {
    let mut queue = Queue::new(Options::default());
    queue.push(Duration::ZERO, entry("hot", 1, 0)).expect("the queue has room");
    queue.set_running("hot", 8);
    let capacity = Capacity { slots: 10, free: 1, weights: 2 };
    expect_that!(queue.pop(Duration::ZERO, &capacity).is_none(), eq(true));
    queue.set_running("hot", 4);
    expect_that!(queue.pop(Duration::ZERO, &capacity).is_some(), eq(true));
}
