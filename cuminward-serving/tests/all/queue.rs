//! Admission queue: the order in which waiting requests get upstreams.

use std::{collections::VecDeque, time::Duration};

use cuminward_serving::queue::{Outcome, Progress, Queue, Rank, longest_wait};
use googletest::prelude::*;

fn rank(progress: Progress, priority: u8, number: u64) -> Rank {
    Rank { progress, priority, number }
}

struct Case {
    name: &'static str,
    waiting: Vec<(Rank, &'static str)>,
    /// Requests that can't use the free capacity.
    excluded: &'static [&'static str],
    free: usize,
    served: &'static [&'static str],
}

#[gtest]
fn free_capacity_goes_to_the_first_request_that_can_use_it() {
    use Progress::{New, Started};
    let cases = [
        Case {
            name: "the earlier one first",
            waiting: vec![(rank(New, 1, 2), "late"), (rank(New, 1, 1), "early")],
            excluded: &[],
            free: 1,
            served: &["early"],
        },
        Case {
            name: "the more urgent one first",
            waiting: vec![(rank(New, 2, 1), "early"), (rank(New, 0, 2), "urgent")],
            excluded: &[],
            free: 1,
            served: &["urgent"],
        },
        Case {
            name: "a request with a started response before all others",
            waiting: vec![(rank(New, 0, 1), "urgent"), (rank(Started, 3, 2), "started")],
            excluded: &[],
            free: 1,
            served: &["started"],
        },
        Case {
            name: "a request that can't use the capacity is skipped",
            waiting: vec![(rank(Started, 1, 1), "started"), (rank(New, 1, 2), "new")],
            excluded: &["started"],
            free: 1,
            served: &["new"],
        },
        Case {
            name: "several at once",
            waiting: vec![(rank(New, 1, 1), "a"), (rank(New, 1, 2), "b"), (rank(New, 1, 3), "c")],
            excluded: &[],
            free: 2,
            served: &["a", "b"],
        },
    ];
    for case in cases {
        let mut queue = Queue::default();
        for (rank, name) in &case.waiting {
            queue.push(*rank, *name);
        }
        let mut free = case.free;
        let served = queue.serve(|name| {
            if case.excluded.contains(name) {
                return Outcome::Skipped;
            }
            if free == 0 {
                return Outcome::Full;
            }
            free -= 1;
            Outcome::Served(())
        });
        let served: Vec<&str> = served.into_iter().map(|it| it.0).collect();
        expect_that!(served, eq(case.served), "{}", case.name);
        expect_that!(queue.len(), eq(case.waiting.len() - case.served.len()), "{}", case.name);
    }
}

#[gtest]
fn a_request_that_stopped_waiting_is_not_served() {
    let mut queue = Queue::default();
    let abandoned = rank(Progress::New, 1, 1);
    queue.push(abandoned, "abandoned");
    expect_that!(queue.remove(abandoned), some(eq("abandoned")));
    expect_that!(queue.serve(|_| Outcome::Served(())), is_empty());
    expect_that!(queue.is_empty(), eq(true));
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[gtest]
fn a_request_waits_as_long_as_it_can_still_be_served_in_time() {
    let cases = [
        ("nothing is known of the service time", 300, 0, 300),
        ("fast", 300, 180, 120),
        ("the service time takes most of the objective", 300, 290, 30),
        ("slower than the objective", 300, 900, 30),
    ];
    for (name, objective, service_time, expected) in cases {
        let wait = longest_wait(ms(objective), ms(service_time));
        expect_that!(wait, eq(ms(expected)), "{name}");
    }
}

/// Numbers of requests by how they ended.
#[derive(Debug, Default)]
struct Ends {
    in_time: u32,
    late: u32,
    rejected: u32,
}

/// Plays arrivals in excess of what the slots can serve. The first event comes 180 ms after a
/// request gets a slot, which it keeps for 500 ms.
fn play_overload(per_second: u64, slots: usize, wait: Duration, objective: Duration) -> Ends {
    let (first_event, total) = (ms(180), ms(500));
    let mut ends = Ends::default();
    let mut waiting: VecDeque<Duration> = VecDeque::new();
    let mut running: VecDeque<Duration> = VecDeque::new();
    for now in (0..20_000).map(ms) {
        if (now.as_millis() as u64 * per_second) % 1000 < per_second {
            waiting.push_back(now);
        }
        let before = waiting.len();
        waiting.retain(|it| now - *it < wait);
        ends.rejected += (before - waiting.len()) as u32;
        running.retain(|it| now - *it < total);
        while running.len() < slots
            && let Some(arrived) = waiting.pop_front()
        {
            running.push_back(now);
            let is_in_time = now + first_event - arrived <= objective;
            *if is_in_time { &mut ends.in_time } else { &mut ends.late } += 1;
        }
    }
    ends
}

#[gtest]
fn requests_are_served_in_time_under_more_load_than_the_slots_can_serve() {
    let objective = ms(300);
    // Ten slots serve 20 requests a second.
    for per_second in [22, 30, 60] {
        let ends = play_overload(per_second, 10, longest_wait(objective, ms(180)), objective);
        expect_that!(ends.late, eq(0), "{per_second} a second: {ends:?}");
        expect_that!(ends.in_time, ge(380), "{per_second} a second: {ends:?}");
        let ends = play_overload(per_second, 10, objective, objective);
        expect_that!(ends.late, ge(300), "the whole objective, {per_second} a second: {ends:?}");
    }
}
