//! Merging of events into a time line, and its text and trace formats.

use std::collections::BTreeMap;

use cuminward_ctl::{timeline, trace, view::Event};
use googletest::prelude::*;
use serde_json::Value;

fn event(millis: u64, counter: u64, node: &str, request: &str) -> Event {
    Event {
        hlc: millis << 16 | counter,
        node: node.to_owned(),
        number: 12,
        name: "request-done".to_owned(),
        request: request.to_owned(),
        fields: BTreeMap::from([("tokens".to_owned(), "7".to_owned())]),
    }
}

#[gtest]
fn events_merge_by_time_without_duplicates() {
    let (first, second, third) =
        (event(1, 0, "b", ""), event(1, 1, "a", "q"), event(2, 0, "b", "q"));
    let merged =
        timeline::merge([vec![third.clone(), first.clone()], vec![second.clone(), first.clone()]]);
    expect_that!(merged, eq(&vec![first, second.clone(), third]));
    let line = "0.001+1 a 0012 request-done request=q tokens=\"7\"";
    expect_that!(timeline::format_line(&second), eq(line));
}

#[gtest]
fn traces_have_instants_and_a_span_for_each_request_and_node() -> Result<()> {
    let events = [event(1, 0, "a", "q"), event(2, 3, "a", "q"), event(3, 0, "b", "")];
    let trace = trace::build(&events);
    let entries = trace["traceEvents"].as_array().or_fail()?;
    let entries_of = |kind: &'static str| {
        entries.iter().filter(move |it| it["ph"] == kind).collect::<Vec<&Value>>()
    };
    expect_that!(entries_of("M").len(), eq(2));
    expect_that!(entries_of("i").len(), eq(3));
    expect_that!(entries_of("X").len(), eq(1));
    expect_that!(entries_of("X")[0]["ts"].as_u64(), some(eq(1_000)));
    expect_that!(entries_of("X")[0]["dur"].as_u64(), some(eq(1_003)));
    Ok(())
}
