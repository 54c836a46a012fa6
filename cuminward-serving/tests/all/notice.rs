//! What a node knows about the limit that a host names.

use std::time::Duration;

use cuminward_serving::{
    nodes::Standing,
    notice::{self, Change, Rate, Tracker},
};
use googletest::prelude::*;

/// A step of a case, at a time in milliseconds.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// A response to a request that was sent at a time names a rate, or none.
    Response { sent_ms: u64, limit: Option<Rate> },
    /// Another node told what it knew at a time.
    Report { known_ms: u64, limit: Option<Rate> },
}

struct Case {
    name: &'static str,
    steps: Vec<(u64, Step)>,
    /// The change that the last step makes.
    change: Option<Change>,
    /// The limit in the end.
    rate: Option<Rate>,
}

fn named(sent_ms: u64, rate: Rate) -> Step {
    Step::Response { sent_ms, limit: Some(rate) }
}

fn unnamed(sent_ms: u64) -> Step {
    Step::Response { sent_ms, limit: None }
}

fn report(known_ms: u64, limit: Option<Rate>) -> Step {
    Step::Report { known_ms, limit }
}

/// Guards against limits that end because responses overtake each other.
#[gtest]
fn only_a_later_response_ends_a_limit() {
    let ms = Duration::from_millis;
    let cases = [
        Case { name: "no limit", steps: vec![(10, unnamed(0))], change: None, rate: None },
        Case {
            name: "named",
            steps: vec![(10, named(0, 4.0))],
            change: Some(Change::Named(4.0)),
            rate: Some(4.0),
        },
        Case {
            name: "changed",
            steps: vec![(10, named(0, 4.0)), (20, named(11, 2.5))],
            change: None,
            rate: Some(2.5),
        },
        Case {
            name: "sent before the limit was heard",
            steps: vec![(10, named(0, 4.0)), (20, unnamed(9))],
            change: None,
            rate: Some(4.0),
        },
        Case {
            name: "sent after the limit was heard",
            steps: vec![(10, named(0, 4.0)), (20, unnamed(11))],
            change: Some(Change::Ended),
            rate: None,
        },
        Case {
            name: "named again",
            steps: vec![(10, named(0, 4.0)), (20, unnamed(11)), (30, named(21, 3.0))],
            change: Some(Change::Named(3.0)),
            rate: Some(3.0),
        },
        Case {
            name: "heard from another node",
            steps: vec![(20, report(10, Some(4.0)))],
            change: Some(Change::Named(4.0)),
            rate: Some(4.0),
        },
        Case {
            name: "heard from another node, older than an own request",
            steps: vec![(20, unnamed(15)), (30, report(10, Some(4.0)))],
            change: None,
            rate: None,
        },
        Case {
            name: "an end that is heard from another node",
            steps: vec![(20, named(10, 4.0)), (40, report(30, None))],
            change: Some(Change::Ended),
            rate: None,
        },
        Case {
            name: "an older end that is heard from another node",
            steps: vec![(20, named(10, 4.0)), (40, report(15, None))],
            change: None,
            rate: Some(4.0),
        },
    ];
    for case in cases {
        let mut tracker = Tracker::default();
        let mut change = None;
        for (at, step) in &case.steps {
            change = match *step {
                Step::Response { sent_ms, limit } => {
                    tracker.record_response(ms(*at), ms(sent_ms), limit)
                }
                Step::Report { known_ms, limit } => {
                    tracker.record_report(ms(*at), ms(known_ms), limit)
                }
            };
        }
        expect_that!(change, eq(case.change), "{}", case.name);
        expect_that!(tracker.rate(), eq(case.rate), "{}", case.name);
    }
}

/// Returns the number of permits that a node gets in a time, which takes each one at once.
fn permits(tracker: &mut Tracker, from: Duration, time: Duration, standing: Standing) -> u32 {
    let steps = (time.as_millis() / 10) as u32;
    let at = |step: u32| from + Duration::from_millis(10) * step;
    (0..steps).map(|it| u32::from(tracker.try_take_permit(at(it), Some(standing)))).sum()
}

struct Share {
    name: &'static str,
    rate: Rate,
    standing: Option<Standing>,
    /// Permits in the first ten seconds after the limit was named.
    permits: u32,
}

#[gtest]
fn a_node_uses_its_part_of_a_limit() {
    let start = Duration::from_secs(100);
    let standing = |rank, nodes| Some(Standing { rank, nodes });
    let cases = [
        Share { name: "one node", rate: 4.0, standing: standing(0, 1), permits: 39 },
        Share { name: "one of six", rate: 4.2, standing: standing(5, 6), permits: 6 },
        Share { name: "an owner among 95", rate: 2.0, standing: standing(3, 95), permits: 4 },
        Share { name: "not an owner", rate: 2.0, standing: standing(4, 95), permits: 0 },
        Share { name: "nothing is taken", rate: 0.0, standing: standing(0, 1), permits: 2 },
        Share { name: "the nodes aren't known", rate: 4.0, standing: None, permits: 0 },
    ];
    for case in cases {
        let mut tracker = Tracker::default();
        tracker.record_response(start, start, Some(case.rate));
        let taken = match case.standing {
            Some(it) => permits(&mut tracker, start, Duration::from_secs(10), it),
            None => u32::from(tracker.try_take_permit(start + Duration::from_secs(10), None)),
        };
        expect_that!(taken, eq(case.permits), "{}", case.name);
    }
}

/// Guards against nodes that never learn that a limit has ended, and against all of them finding out at once.
#[gtest]
fn nodes_without_a_part_find_out_one_after_the_other() {
    let start = Duration::from_secs(100);
    let rate = 2.0;
    let nodes = 95;
    let owners = notice::limit(rate).owners();
    let mut trackers: Vec<Tracker> = (owners..nodes)
        .map(|_| {
            let mut tracker = Tracker::default();
            tracker.record_response(start, start, Some(rate));
            tracker
        })
        .collect();
    let mut sent: Vec<u64> = Vec::new();
    for step in 0..3_000 {
        let now = start + Duration::from_millis(100) * step;
        for (index, tracker) in trackers.iter_mut().enumerate() {
            let standing = Standing { rank: owners + index, nodes };
            if tracker.try_take_permit(now, Some(standing)) {
                sent.push(u64::from(step) * 100);
            }
        }
    }
    expect_that!(sent.first(), some(ge(&60_000)));
    expect_that!(sent.len(), ge(nodes - owners));
    let most = sent
        .iter()
        .map(|from| sent.iter().filter(|it| (*from..from + 4_000).contains(*it)).count())
        .max();
    let (sustained, allowed) = (owners + 8, 17);
    expect_that!(most, some(le(allowed - sustained)));
}
