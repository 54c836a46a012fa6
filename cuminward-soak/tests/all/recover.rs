//! Comparison of stranded nodes with the others.

use std::time::Duration;

use cuminward_soak::{
    caller::{End, Try},
    fault::{Fault, Scope},
    history::{Event, STABLE_WINDOW},
    recover::{self, Report, Share},
};
use cuminward_standin::link::Disruption;
use googletest::prelude::*;
use tokio::time::Instant;

const NODES: usize = 3;
const FAULT: Fault = Fault::Strand(Scope::Node(1), Disruption::Hang);
const STRANDING: Duration = Duration::from_secs(8);

struct BoundCase {
    name: &'static str,
    /// Requests sent and served at stranded nodes and at the others.
    stranded: (usize, usize),
    others: (usize, usize),
    is_violation: bool,
}

#[gtest]
fn stranded_nodes_serve_two_thirds_as_often() {
    let case =
        |name, stranded, others, is_violation| BoundCase { name, stranded, others, is_violation };
    let cases = [
        case("all served", (100, 100), (100, 100), false),
        case("two thirds", (99, 66), (100, 100), false),
        case("less than two thirds", (99, 65), (100, 100), true),
        case("as rarely as the others", (100, 20), (100, 30), false),
        case("few failures", (14, 0), (186, 186), false),
        case("too many failures", (15, 0), (185, 185), true),
        case("nothing at the others", (100, 0), (0, 0), false),
        case("nothing at all", (0, 0), (0, 0), false),
    ];
    let share = |(sent, served)| Share { sent, served };
    for case in cases {
        let (stranded, others) = (share(case.stranded), share(case.others));
        let report = Report { fault: FAULT, stranded, others };
        expect_that!(report.is_violation(), eq(case.is_violation), "{}", case.name);
    }
}

struct CountCase {
    name: &'static str,
    node: usize,
    end: End,
    /// Time since the beginning of the stranding.
    after: Duration,
    /// Requests sent and served at stranded nodes and at the others.
    stranded: (usize, usize),
    others: (usize, usize),
}

#[gtest]
fn requests_count_at_nodes_in_touch_while_some_are_stranded() {
    let case = |name, node, end, after, stranded, others| CountCase {
        name,
        node,
        end,
        after,
        stranded,
        others,
    };
    let after = Duration::from_secs(5);
    let early = STABLE_WINDOW - Duration::from_millis(1);
    let cases = [
        case("served", 1, End::Served, after, (1, 1), (0, 0)),
        case("elsewhere", 0, End::Served, after, (0, 0), (1, 1)),
        case("refused", 1, End::Failed, after, (1, 0), (0, 0)),
        case("cut", 1, End::Cut, after, (1, 0), (0, 0)),
        case("no connection", 1, End::Unreachable, after, (1, 0), (0, 0)),
        case("no answer in time", 1, End::TimedOut, after, (1, 0), (0, 0)),
        case("too early", 1, End::Failed, early, (0, 0), (0, 0)),
        case("too late", 1, End::Failed, STRANDING, (0, 0), (0, 0)),
        case("not in touch", 2, End::Cut, after, (0, 0), (0, 0)),
    ];
    let start = Instant::now() + Duration::from_secs(60);
    let event = |fault| Event { fault, from: start, until: Some(start + STRANDING) };
    let events = [event(FAULT), event(Fault::Freeze(2))];
    let share = |(sent, served)| Share { sent, served };
    for case in cases {
        let sent = start + case.after;
        let request = String::from("r");
        let it = Try { request, node: case.node, sent, ended: sent, end: case.end };
        let expected =
            Report { fault: FAULT, stranded: share(case.stranded), others: share(case.others) };
        let reports = recover::report(&[it], &events, NODES);
        expect_that!(reports, eq(&vec![expected]), "{}", case.name);
    }
}
