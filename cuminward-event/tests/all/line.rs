//! Tests of `line`.

use std::{
    io::{self, Write},
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use cuminward_core::hlc;
use cuminward_event::{kind::Kind, line::Writer, record::Record, sink::Sink};
use googletest::prelude::*;

/// An output whose writes block while it is closed, like a full pipe.
#[derive(Clone, Default)]
struct BlockableOutput {
    state: Arc<State>,
}

#[derive(Default)]
struct State {
    content: Mutex<Content>,
    opened: Condvar,
}

#[derive(Default)]
struct Content {
    is_open: bool,
    bytes: Vec<u8>,
}

impl BlockableOutput {
    fn open(&self) {
        self.state.content.lock().expect("no thread panics while holding the lock").is_open = true;
        self.state.opened.notify_all();
    }

    fn lines(&self) -> Vec<Record> {
        let bytes = self
            .state
            .content
            .lock()
            .expect("no thread panics while holding the lock")
            .bytes
            .clone();
        let text = String::from_utf8(bytes).expect("lines are UTF-8");
        text.lines().map(|it| serde_json::from_str(it).expect("a line is a record")).collect()
    }
}

impl Write for BlockableOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut content =
            self.state.content.lock().expect("no thread panics while holding the lock");
        while !content.is_open {
            content =
                self.state.opened.wait(content).expect("no thread panics while holding the lock");
        }
        content.bytes.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn sink(output: &BlockableOutput) -> Sink {
    let writer = Writer::start(output.clone()).expect("the thread starts");
    Sink::with_output(String::from("n1"), Arc::new(hlc::Clock::default()), 16, writer)
}

fn event(count: u64) -> Kind {
    Kind::NodeDraining { in_flight: count }
}

fn wait_for(output: &BlockableOutput, condition: impl Fn(&[Record]) -> bool) -> Vec<Record> {
    let deadline = Instant::now() + Duration::from_secs(10);
    loop {
        let lines = output.lines();
        if condition(&lines) || Instant::now() > deadline {
            return lines;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[gtest]
fn events_are_written_as_json_lines() {
    let output = BlockableOutput::default();
    output.open();
    let sink = sink(&output);
    sink.emit(event(1));
    sink.emit_for("r1", event(2));
    let lines = wait_for(&output, |it| it.len() == 2);
    expect_that!(lines[0].kind, eq(&event(1)));
    expect_that!(lines[1].request.as_deref(), some(eq("r1")));
}

#[gtest]
fn full_pipe_does_not_block_and_dropped_lines_are_counted() {
    let output = BlockableOutput::default();
    let sink = sink(&output);
    let start = Instant::now();
    for count in 0..10_000 {
        sink.emit(event(count));
    }
    expect_that!(start.elapsed(), lt(Duration::from_secs(2)));
    output.open();
    wait_for(&output, |it| it.len() > 1000);
    sink.emit(event(10_000));
    let is_report = |it: &&Record| matches!(it.kind, Kind::LinesDropped { .. });
    let lines = wait_for(&output, |it| it.iter().any(|it| it.kind == event(10_000)));
    let dropped: u64 = lines
        .iter()
        .filter(is_report)
        .map(|it| if let Kind::LinesDropped { count } = it.kind { count } else { 0 })
        .sum();
    let written = lines.iter().filter(|it| !is_report(it)).count() as u64;
    expect_that!(dropped, gt(5000));
    expect_that!(dropped + written, eq(10_001));
}
