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
            name: "a little lower",
            steps: vec![(10, named(0, 4.0)), (20, named(11, 3.5))],
            change: None,
            rate: Some(3.5),
        },
        Case {
            name: "much lower",
            steps: vec![(10, named(0, 4.0)), (20, named(11, 2.5))],
            change: Some(Change::Named(2.5)),
            rate: Some(2.5),
        },
        Case {
            name: "lower in small steps",
            steps: vec![(10, named(0, 4.0)), (20, named(11, 3.5)), (30, named(21, 2.9))],
            change: Some(Change::Named(2.9)),
            rate: Some(2.9),
        },
        Case {
            name: "higher, and as before",
            steps: vec![(10, named(0, 4.0)), (20, named(11, 9.0)), (30, named(21, 4.0))],
            change: Some(Change::Named(4.0)),
            rate: Some(4.0),
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

/// Returns the largest number of requests that a host gets within 4 s from nodes that always have a request for it.
/// Each response names the limit 40 ms later.
fn most_in_window(nodes: usize, rate: Rate, duration: Duration) -> usize {
    let (start, step) = (Duration::from_secs(100), Duration::from_millis(50));
    let mut trackers = vec![Tracker::default(); nodes];
    for it in &mut trackers {
        it.record_response(start, start, Some(rate));
    }
    let mut sent: Vec<Duration> = Vec::new();
    let mut now = start;
    while now < start + duration {
        for (rank, tracker) in trackers.iter_mut().enumerate() {
            if tracker.try_take_permit(now, Some(Standing { rank, nodes })) {
                sent.push(now);
                tracker.record_response(now + Duration::from_millis(40), now, Some(rate));
            }
        }
        now += step;
    }
    let until = |from: Duration| sent.partition_point(|it| *it < from + Duration::from_secs(4));
    sent.iter().enumerate().map(|(index, from)| until(*from) - index).max().unwrap_or(0)
}

/// Guards against nodes without a part of a limit that find out at the same time whether it still holds.
#[gtest]
fn a_limit_that_lasts_is_kept() {
    for nodes in [6, 12, 30, 95] {
        for rate in [0.0, 0.5, 2.0, 4.2, 10.0] {
            let most = most_in_window(nodes, rate, Duration::from_secs(1800));
            let allowed = (1.5 * 4.0 * rate + 5.0) as usize;
            expect_that!(most, le(allowed), "{nodes} nodes, {rate} a second");
        }
    }
}

/// Guards against nodes without a part of a limit that never learn that it has ended.
#[gtest]
fn nodes_without_a_part_find_out_whether_a_limit_holds() {
    let start = Duration::from_secs(100);
    let (rate, nodes) = (2.0, 95);
    for rank in notice::limit(rate).owners()..nodes {
        let standing = Some(Standing { rank, nodes });
        let mut tracker = Tracker::default();
        tracker.record_response(start, start, Some(rate));
        let early = start + Duration::from_secs(59);
        expect_that!(tracker.time_to_permit(early, standing), none(), "rank {rank}");
        let late = start + Duration::from_secs(60 + 4 * nodes as u64);
        expect_that!(tracker.try_take_permit(late, standing), eq(true), "rank {rank}");
        expect_that!(tracker.try_take_permit(late, standing), eq(false), "rank {rank}");
    }
}

/// Guards against beginnings, falls and ends of limits of which the other nodes hear from too few.
#[gtest]
fn changes_of_limits_are_told() {
    let s = Duration::from_secs;
    let news_time = s(6);
    for rate in [0.5, 2.0, 4.2, 10.0] {
        let owners = notice::limit(rate).owners();
        for rank in 0..owners + 2 {
            let standing = Some(Standing { rank, nodes: 95 });
            let is_owner = rank < owners;
            let mut tracker = Tracker::default();
            tracker.record_response(s(100), s(100), Some(rate));
            let news = tracker.news(s(101), news_time, standing);
            expect_that!(news.is_some(), eq(is_owner), "began, {rate}, rank {rank} of {owners}");
            expect_that!(tracker.news(s(106), news_time, standing), none(), "old news, {rate}");

            let mut ended = tracker;
            ended.record_response(s(120), s(119), None);
            let news = ended.news(s(121), news_time, standing);
            expect_that!(news, some(eq((None, s(119)))), "ended, {rate}, rank {rank} of {owners}");

            let mut heard = tracker;
            heard.record_report(s(120), s(119), None);
            let news = heard.news(s(121), news_time, standing);
            expect_that!(news.is_some(), eq(is_owner), "heard, {rate}, rank {rank} of {owners}");

            tracker.record_response(s(120), s(119), Some(rate / 2.0));
            let news = tracker.news(s(121), news_time, standing);
            let is_owner = rank < notice::limit(rate / 2.0).owners();
            expect_that!(news.is_some(), eq(is_owner), "fell, {rate}, rank {rank} of {owners}");
        }
    }
}
