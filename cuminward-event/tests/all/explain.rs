//! Tests of `explain`.

use cuminward_event::{explain, kind::Kind, record::Record};
use googletest::prelude::*;

/// Returns the hybrid logical timestamp `ms` milliseconds after a fixed time.
fn stamp(ms: u64) -> u64 {
    (1_700_000_000_000 + ms) << 16
}

fn record(ms: u64, node: &str, request: Option<&str>, kind: Kind) -> Record {
    let request = request.map(str::to_owned);
    Record { seq: ms, stamp: stamp(ms), node: node.to_owned(), request, kind }
}

fn failed(upstream: &str) -> Kind {
    Kind::AttemptFailed {
        upstream: upstream.to_owned(),
        failure: String::from("unknown"),
        cause: String::from("the replica lost a member after a silence of 641 ms"),
        last_event: 4,
        next: String::from("again"),
    }
}

fn lost(replica: &str) -> Kind {
    let (host, cause) = (String::from("h1"), String::from("Silent"));
    let others = String::from("unreported");
    Kind::HostUnreachable { host, replica: replica.to_owned(), cause, others }
}

#[gtest]
fn request_events_include_related_events() {
    let records = vec![
        record(9_000, "n1", Some("r1"), failed("g1/7")),
        record(8_900, "n2", None, lost("g1/7")),
        record(8_950, "n2", None, lost("g2/8")),
        record(100, "n2", None, lost("g1/7")),
        record(9_100, "n1", Some("r2"), failed("g1/7")),
        record(
            5_000,
            "n3",
            None,
            Kind::GroupsChanged { service: String::from("s"), levels: String::from("m=1") },
        ),
        record(8_000, "n1", None, Kind::NodeDraining { in_flight: 3 }),
        record(8_000, "n2", None, Kind::NodeDraining { in_flight: 3 }),
        record(20_000, "n2", None, lost("g1/7")),
    ];
    let events = explain::request_events(records, "r1");
    let times: Vec<u64> = events.iter().map(|it| it.seq).collect();
    expect_that!(times, eq(&[5_000, 8_000, 8_900, 9_000]));
}

#[gtest]
fn prefixes_and_lines_without_a_record_are_skipped() {
    let line = serde_json::to_string(&record(1, "n1", Some("r1"), failed("g")));
    let line = line.expect("records are serializable");
    let lines = [String::from("no record"), format!("12.3 node {line}"), line, String::from("{}")];
    let parsed = explain::parse_lines(lines);
    expect_that!(parsed.records.len(), eq(2));
    expect_that!(parsed.unreadable.is_empty(), eq(true));
}

/// Guards against events of another build that are missing from an explanation without a word.
#[gtest]
fn events_of_other_builds_are_read_or_counted() {
    struct Case {
        name: &'static str,
        line: &'static str,
        read: usize,
        unreadable: usize,
    }
    let cases = [
        Case {
            name: "known",
            line: r#"{"seq":1,"stamp":5,"node":"n","event":"host-found","host":"h"}"#,
            read: 1,
            unreadable: 0,
        },
        Case {
            name: "a field more",
            line: r#"{"seq":1,"stamp":5,"node":"n","event":"host-found","host":"h","mood":{"x":1}}"#,
            read: 1,
            unreadable: 0,
        },
        Case {
            name: "a field less",
            line: r#"{"seq":1,"stamp":5,"node":"n","event":"host-found"}"#,
            read: 0,
            unreadable: 1,
        },
        Case {
            name: "another kind",
            line: r#"n1 {"seq":1,"stamp":5,"node":"n","event":"mood-changed","mood":7}"#,
            read: 0,
            unreadable: 1,
        },
        Case { name: "no event", line: r#"{"level":"info","event":"x"}"#, read: 0, unreadable: 0 },
        Case {
            name: "cut off",
            line: r#"{"seq":1,"stamp":5,"node":"n","ev"#,
            read: 0,
            unreadable: 0,
        },
    ];
    for Case { name, line, read, unreadable } in cases {
        let parsed = explain::parse_lines([line.to_owned()]);
        expect_that!(parsed.records.len(), eq(read), "{name}");
        expect_that!(parsed.unreadable.values().sum::<usize>(), eq(unreadable), "{name}");
    }
}
