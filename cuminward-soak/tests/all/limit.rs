//! Detection of hosts that got more requests than the limit allows that they had named.

use std::time::Duration;

use cuminward_adapter_fake::cluster::{Arrival, Limit};
use cuminward_soak::{
    caller::{End, Try},
    fault::{Fault, Scope},
    history::Event,
    limit::{self, Records},
};
use cuminward_standin::link::Disruption;
use googletest::prelude::*;
use tokio::time::Instant;

const NODES: usize = 3;
const HOST: &str = "h0";

/// Requests a second, and the number of requests that it allows in 4 s.
const RATE: f64 = 2.0;
const ALLOWED: u64 = 17;

/// When the host ceases to name the limit, in milliseconds after it began to.
const UNTIL_MS: u64 = 12_000;

/// Requests of a node that arrive one after the other; the times are in milliseconds.
#[derive(Clone, Copy)]
struct Series {
    node: usize,
    from_ms: u64,
    interval_ms: u64,
    count: u64,
}

struct Case {
    name: &'static str,
    /// Nodes that pass on a response, and when, in milliseconds.
    passed: Vec<(usize, u64)>,
    sent: Vec<Series>,
    /// A fault with its beginning and end in milliseconds.
    fault: Option<(Fault, u64, u64)>,
    is_violation: bool,
}

/// Returns a case in which a node sends one request more than the limit allows.
fn base() -> Case {
    Case {
        name: "one too many",
        passed: vec![(0, 200)],
        sent: vec![BASE_SERIES],
        fault: None,
        is_violation: true,
    }
}

const BASE_SERIES: Series = Series { node: 0, from_ms: 4000, interval_ms: 100, count: ALLOWED + 1 };

fn case(name: &'static str, series: Series, is_violation: bool) -> Case {
    Case { name, sent: vec![series], is_violation, ..base() }
}

fn beside(name: &'static str, fault: Fault, is_violation: bool) -> Case {
    Case { name, fault: Some((fault, 3000, 3500)), is_violation, ..base() }
}

#[gtest]
fn more_requests_than_a_named_limit_allows_are_detected() {
    let strand = Fault::Strand(Scope::Node(0), Disruption::Hang);
    let half = Series { count: ALLOWED / 2 + 1, ..BASE_SERIES };
    let cases = [
        base(),
        case("as many as allowed", Series { count: ALLOWED, ..BASE_SERIES }, false),
        case("before the limit binds", Series { from_ms: 1000, ..BASE_SERIES }, false),
        case("after its end", Series { from_ms: UNTIL_MS, ..BASE_SERIES }, false),
        case("over more than 4 s", Series { interval_ms: 300, ..BASE_SERIES }, false),
        case("by a node that doesn't know it", Series { node: 1, ..BASE_SERIES }, false),
        Case {
            name: "by two nodes",
            passed: vec![(0, 200), (1, 300)],
            sent: vec![half, Series { node: 1, ..half }],
            ..base()
        },
        Case {
            name: "half a second after the node passed it on",
            passed: vec![(1, 200), (0, 3500)],
            ..base()
        },
        Case {
            name: "less than half a second after",
            passed: vec![(1, 200), (0, 3550)],
            is_violation: false,
            ..base()
        },
        Case { name: "nobody passed it on", passed: vec![], is_violation: false, ..base() },
        beside("killed", Fault::Kill(0), false),
        beside("all killed", Fault::KillAll, false),
        beside("frozen", Fault::Freeze(0), false),
        beside("cut off from the store", Fault::StoreCut(0), false),
        beside("stranded", strand, false),
        beside("another one killed", Fault::Kill(1), true),
        beside("without a store", Fault::StoreDown, true),
        beside("a new configuration", Fault::Configure, true),
        beside("the host paused", Fault::Pause(0, 1), false),
        beside("another host paused", Fault::Pause(1, 1), true),
        Case {
            name: "killed before it passed it on again",
            passed: vec![(0, 200), (0, 3510)],
            sent: vec![Series { from_ms: 4010, ..BASE_SERIES }],
            ..beside("", Fault::Kill(0), true)
        },
    ];
    for case in cases {
        let found = find(&case);
        expect_that!(found.len(), eq(usize::from(case.is_violation)), "{}: {found:?}", case.name);
    }
}

fn find(case: &Case) -> Vec<String> {
    let start = Instant::now() + Duration::from_secs(60);
    let at = |ms: u64| start + Duration::from_millis(ms);
    let mut tries = Vec::new();
    let mut arrivals = Vec::new();
    let mut add = |node, sent, ended, end| {
        let request = format!("r{}", arrivals.len());
        arrivals.push(Arrival { request: request.clone(), host: String::from(HOST), at: sent });
        tries.push(Try { request, node, sent, ended, end });
    };
    for &(node, ms) in &case.passed {
        add(node, at(ms - 100), at(ms), End::Served);
    }
    for series in &case.sent {
        for number in 0..series.count {
            let sent = at(series.from_ms + number * series.interval_ms);
            add(series.node, sent, sent, End::TimedOut);
        }
    }
    let event = |(fault, from, until)| Event { fault, from: at(from), until: Some(at(until)) };
    let events: Vec<Event> = case.fault.into_iter().map(event).collect();
    let (from, until) = (start, at(UNTIL_MS));
    limit::find(&Records {
        tries: &tries,
        arrivals: &arrivals,
        limits: &[Limit { host: String::from(HOST), rate: RATE, from, until }],
        events: &events,
        hosts: &[String::from(HOST)],
        nodes: NODES,
    })
}
