//! Tests of `trace`.

use cuminward_event::{kind::Kind, record::Record, trace};
use googletest::prelude::*;

fn record(node: &str, seq: u64, stamp: u64, kind: Kind) -> Record {
    Record { seq, stamp, node: node.to_owned(), request: Some(String::from("r")), kind }
}

fn admitted() -> Kind {
    Kind::RequestAdmitted { team: String::from("t"), service: String::from("s") }
}

fn completed() -> Kind {
    Kind::RequestCompleted { tokens: 2, after_ms: 5 }
}

#[gtest]
fn nodes_are_merged_by_hybrid_logical_time() {
    let a = vec![record("a", 0, 10 << 16, admitted()), record("a", 1, (10 << 16) + 2, completed())];
    let b = vec![record("b", 0, (10 << 16) + 1, admitted())];
    let merged = trace::merge([a.clone(), b, a]);
    let order: Vec<_> = merged.iter().map(|it| (it.node.as_str(), it.seq)).collect();
    expect_that!(order, elements_are![eq(&("a", 0)), eq(&("b", 0)), eq(&("a", 1))]);
    let text = trace::format_text(&merged);
    expect_that!(text.lines().count(), eq(3));
    expect_that!(
        text.lines().next(),
        some(eq("0.010 a [E1501] request-admitted team=t service=s request=r"))
    );
}

#[gtest]
fn trace_file_has_a_process_for_each_node_and_a_span_for_each_request() {
    let records =
        [record("a", 0, 10 << 16, admitted()), record("b", 0, (11 << 16) + 3, completed())];
    let file = trace::chrome_trace(&records);
    let events = file["traceEvents"].as_array().expect("the trace file has events");
    let of_phase = |phase: &str| events.iter().filter(|it| it["ph"] == phase).count();
    for (phase, count) in [("M", 2), ("i", 2), ("b", 1), ("e", 1)] {
        expect_that!(of_phase(phase), eq(count), "{phase}");
    }
    let end = events.iter().find(|it| it["ph"] == "e").expect("the span ends");
    expect_that!(end["ts"].as_f64(), some(eq(11_003.0)));
    expect_that!(end["id"].as_str(), some(eq("r")));
}

#[gtest]
fn records_round_trip_through_json() {
    let original = record("a", 4, 10 << 16, completed());
    let text = serde_json::to_string(&original).expect("records are serializable");
    let decoded: Record = serde_json::from_str(&text).expect("records are deserializable");
    expect_that!(decoded, eq(&original));
    expect_that!(text, contains_substring(r#""event":"request-completed""#));
}
