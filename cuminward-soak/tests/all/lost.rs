//! Detection of requests that were cut although their hosts were sound.

use std::{collections::BTreeSet, time::Duration};

use bytes::Bytes;
use cuminward_adapter_fake::cluster::Run;
use cuminward_soak::{
    caller::{End, Try},
    fault::Fault,
    history::Event,
    lost::{self, Records},
};
use googletest::prelude::*;
use tokio::time::Instant;

const NODES: usize = 5;

struct Case {
    name: &'static str,
    end: End,
    /// Time from the beginning of the request to its end, in milliseconds.
    age_ms: u64,
    has_run: bool,
    is_broken_off: bool,
    /// Fault that acts all the while.
    fault: Option<Fault>,
    is_lost: bool,
}

#[gtest]
fn requests_cut_at_sound_hosts_are_lost() {
    let base = Case {
        name: "cut",
        end: End::Cut,
        age_ms: 300,
        has_run: true,
        is_broken_off: false,
        fault: None,
        is_lost: true,
    };
    let cases = [
        Case { name: "beside a pause of its host", fault: Some(Fault::Pause(0, 1)), ..base },
        Case { name: "beside a new configuration", fault: Some(Fault::Configure), ..base },
        Case { name: "beside a crash", fault: Some(Fault::Crash(0)), is_lost: false, ..base },
        Case { name: "a member crashed", fault: Some(Fault::Crash(1)), is_lost: false, ..base },
        Case { name: "its node ended", fault: Some(Fault::Kill(0)), is_lost: false, ..base },
        Case { name: "by its host", is_broken_off: true, is_lost: false, ..base },
        Case { name: "at its deadline", age_ms: 2950, is_lost: false, ..base },
        Case { name: "not passed on", has_run: false, is_lost: false, ..base },
        Case { name: "served", end: End::Served, is_lost: false, ..base },
        Case { name: "refused", end: End::Failed, is_lost: false, ..base },
        Case { name: "no answer in time", end: End::TimedOut, is_lost: false, ..base },
        base,
    ];
    let start = Instant::now() + Duration::from_secs(60);
    for case in cases {
        let ended = start + Duration::from_millis(case.age_ms);
        let request = String::from("r");
        let sent = Try { request: request.clone(), node: 0, sent: start, ended, end: case.end };
        let run = Run {
            request: request.clone(),
            host: String::from("h0"),
            members: vec![String::from("h0"), String::from("h1")],
            request_line: String::new(),
            body: Bytes::new(),
            team: None,
            began: start,
        };
        let event = |fault| Event { fault, from: start, until: Some(ended) };
        let events: Vec<Event> = case.fault.into_iter().map(event).collect();
        let runs = if case.has_run { vec![run] } else { Vec::new() };
        let broken_off: BTreeSet<String> =
            case.is_broken_off.then_some(request).into_iter().collect();
        let found = lost::find(&Records {
            tries: &[sent],
            runs: &runs,
            broken_off: &broken_off,
            events: &events,
            hosts: &[String::from("h0"), String::from("h1")],
            nodes: NODES,
        });
        expect_that!(found.len(), eq(usize::from(case.is_lost)), "{}: {found:?}", case.name);
    }
}
