//! Admission queue: the order in which waiting requests get upstreams.

use cuminward_serving::queue::{Outcome, Progress, Queue, Rank};
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
