//! Tests of `sink`.

use std::{sync::Arc, thread};

use cuminward_core::hlc;
use cuminward_event::{kind::Kind, record, sink::Sink};
use googletest::prelude::*;

fn sink(capacity: usize) -> Sink {
    Sink::new(String::from("n1"), Arc::new(hlc::Clock::default()), capacity)
}

fn event(in_flight: u64) -> Kind {
    Kind::NodeDraining { in_flight }
}

#[gtest]
fn events_are_filtered_by_sequence_number_and_request() {
    let sink = sink(1000);
    for n in 0..10 {
        sink.emit(event(n));
        sink.emit_for(if n % 2 == 0 { "even" } else { "odd" }, event(n));
    }
    struct Case {
        from: u64,
        max: usize,
        request: Option<&'static str>,
        seqs: Vec<u64>,
    }
    let cases = [
        Case { from: 0, max: 3, request: None, seqs: vec![0, 1, 2] },
        Case { from: 17, max: 100, request: None, seqs: vec![17, 18, 19] },
        Case { from: 0, max: 100, request: Some("even"), seqs: vec![1, 5, 9, 13, 17] },
        Case { from: 6, max: 2, request: Some("even"), seqs: vec![9, 13] },
        Case { from: 0, max: 100, request: Some("none"), seqs: vec![] },
        Case { from: 20, max: 100, request: None, seqs: vec![] },
    ];
    for case in cases {
        let found = sink.since(case.from, case.max, case.request);
        let seqs: Vec<_> = found.iter().map(|it| it.seq).collect();
        expect_that!(seqs, eq(&case.seqs));
    }
    expect_that!(sink.count(1003), eq(20));
    expect_that!(sink.count(1004), eq(0));
}

#[gtest]
fn buffer_and_texts_are_bounded() {
    let sink = sink(64);
    for n in 0..10_000 {
        sink.emit(Kind::SettingsLoaded { file: "é".repeat(1000 + n % 3) });
    }
    let buffered = sink.since(0, usize::MAX, None);
    expect_that!(buffered.len(), le(64));
    expect_that!(buffered.last().map(|it| it.seq), some(eq(9_999)));
    for record in buffered {
        expect_that!(serde_json::to_vec(&record).map(|it| it.len()), ok(le(&1_000)));
    }
    expect_that!(sink.count(1005), eq(10_000));
}

#[gtest]
fn concurrent_reader_sees_every_event_once() {
    const THREADS: u64 = 4;
    const EVENTS: u64 = 2_000;
    let sink = sink(usize::from(u16::MAX));
    let mut seen = Vec::new();
    thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| (0..EVENTS).for_each(|n| sink.emit(event(n))));
        }
        while seen.len() < (THREADS * EVENTS) as usize {
            let from = seen.last().map_or(0, |it: &record::Record| it.seq + 1);
            seen.extend(sink.since(from, 100, None));
        }
    });
    let seqs: Vec<_> = seen.iter().map(|it| it.seq).collect();
    expect_that!(seqs, eq(&(0..THREADS * EVENTS).collect::<Vec<_>>()));
}
