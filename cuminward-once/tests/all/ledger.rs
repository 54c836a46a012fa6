//! Tests of `ledger`: one ledger with given responses of the log.

use std::time::Duration;

use cuminward_once::{
    claim::{Claim, Reason, Verdict},
    ledger::{Answer, Input, Ledger, Options, Outcome, Output},
    record::{Entry, Key, KeyBatch, Page, Record},
};
use googletest::prelude::*;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn ledger() -> Ledger {
    let mut ledger = Ledger::new(String::from("b"), 1, Options::default());
    let page = Page { oldest: 0, next: 0, entries: Vec::new() };
    ledger.step(ms(0), Input::Read(page));
    ledger
}

fn claim(number: u64, hash: u8) -> Input {
    let claim = Claim { hash: [hash; 16], issuer: format!("n{number}") };
    Input::Claim { number, claim }
}

fn page(offset: u64, record: Record) -> Input {
    let entries = vec![Entry { offset, at_ms: 1000 + offset, record }];
    Input::Read(Page { oldest: 0, next: offset + 1, entries })
}

/// Record of a key that another node has claimed.
fn foreign_record(hash: u8) -> Record {
    let keys = vec![Key { hash: [hash; 16], issuer: String::from("other") }];
    Record::Started(KeyBatch { node: String::from("c"), batch: String::from("c-1-0"), keys })
}

fn appends(outputs: &[Output]) -> Vec<KeyBatch> {
    let append = |it: &Output| match it {
        Output::Append(started) => Some(started.clone()),
        Output::Decide { .. } => None,
    };
    outputs.iter().filter_map(append).collect()
}

fn decisions(outputs: Vec<Output>) -> Vec<(u64, Verdict)> {
    let decide = |it| match it {
        Output::Decide { number, verdict } => Some((number, verdict)),
        Output::Append(_) => None,
    };
    outputs.into_iter().filter_map(decide).collect()
}

#[gtest]
fn claim_is_decided_by_log_order() {
    struct Case {
        name: &'static str,
        /// Inputs after the claim's record was written, with their times in milliseconds.
        inputs: fn(KeyBatch) -> Vec<(u64, Input)>,
        verdict: Option<Verdict>,
    }
    fn appended(started: &KeyBatch, outcome: Outcome) -> Input {
        Input::Appended(Answer { batch: started.batch.clone(), outcome })
    }
    let cases = [
        Case {
            name: "read back first",
            inputs: |it| {
                vec![(5, appended(&it, Outcome::Stored)), (6, page(0, Record::Started(it)))]
            },
            verdict: Some(Verdict::First { offset: 0 }),
        },
        Case {
            name: "lost answer, read back",
            inputs: |it| {
                vec![(5, appended(&it, Outcome::Unknown)), (6, page(0, Record::Started(it)))]
            },
            verdict: Some(Verdict::First { offset: 0 }),
        },
        Case {
            name: "read back before the answer",
            inputs: |it| vec![(5, page(0, Record::Started(it)))],
            verdict: Some(Verdict::First { offset: 0 }),
        },
        Case {
            name: "after another node's record",
            inputs: |it| vec![(5, page(0, foreign_record(1))), (6, page(1, Record::Started(it)))],
            verdict: Some(Verdict::Repeated { by: String::from("other") }),
        },
        Case {
            name: "before another node's record",
            inputs: |it| vec![(5, page(0, Record::Started(it))), (6, page(1, foreign_record(1)))],
            verdict: Some(Verdict::First { offset: 0 }),
        },
        Case {
            name: "not stored",
            inputs: |it| vec![(5, appended(&it, Outcome::NotStored))],
            verdict: Some(Verdict::Refused(Reason::LogUnavailable)),
        },
        Case {
            name: "stored and not read back yet",
            inputs: |it| vec![(5, appended(&it, Outcome::Stored)), (3_999, Input::Tick)],
            verdict: None,
        },
        Case {
            name: "never read back",
            inputs: |it| vec![(5, appended(&it, Outcome::Unknown)), (4_000, Input::Tick)],
            verdict: Some(Verdict::Refused(Reason::TimedOut)),
        },
        Case {
            name: "read back after a pause",
            inputs: |it| vec![(4_000, page(0, Record::Started(it)))],
            verdict: Some(Verdict::Refused(Reason::TimedOut)),
        },
        Case {
            name: "gap in the records",
            inputs: |it| vec![(5, page(1, Record::Started(it)))],
            verdict: None,
        },
    ];
    for case in cases {
        let mut ledger = ledger();
        let started = appends(&ledger.step(ms(0), claim(1, 1))).remove(0);
        let mut decided = Vec::new();
        for (at, input) in (case.inputs)(started) {
            decided.extend(decisions(ledger.step(ms(at), input)));
        }
        let expected: Vec<_> = case.verdict.into_iter().map(|it| (1, it)).collect();
        expect_that!(decided, eq(&expected), "{}", case.name);
        expect_that!(ledger.pending_count(), eq(1 - expected.len()), "{}", case.name);
    }
}

#[gtest]
fn later_claims_of_a_key_are_repeats() {
    let mut ledger = ledger();
    let started = appends(&ledger.step(ms(0), claim(1, 1))).remove(0);
    expect_that!(ledger.step(ms(1), claim(2, 1)), is_empty());
    let decided = decisions(ledger.step(ms(2), page(0, Record::Started(started))));
    let repeated = || Verdict::Repeated { by: String::from("n1") };
    expect_that!(decided, eq(&vec![(1, Verdict::First { offset: 0 }), (2, repeated())]));
    expect_that!(decisions(ledger.step(ms(3), claim(3, 1))), eq(&vec![(3, repeated())]));
}

#[gtest]
fn late_record_does_not_decide_a_later_claim() {
    let mut ledger = ledger();
    let first = appends(&ledger.step(ms(0), claim(1, 1))).remove(0);
    ledger.step(
        ms(1),
        Input::Appended(Answer { batch: first.batch.clone(), outcome: Outcome::Unknown }),
    );
    let outputs = ledger.step(ms(4_000), Input::Tick);
    expect_that!(decisions(outputs), eq(&vec![(1, Verdict::Refused(Reason::TimedOut))]));
    let second = appends(&ledger.step(ms(4_100), claim(2, 1))).remove(0);
    expect_that!(decisions(ledger.step(ms(4_200), page(0, Record::Started(first)))), is_empty());
    let decided = decisions(ledger.step(ms(4_300), page(1, Record::Started(second))));
    expect_that!(decided, eq(&vec![(2, Verdict::Repeated { by: String::from("n1") })]));
}

#[gtest]
fn batches_are_bounded_in_rate_size_and_number() {
    let options = Options { max_keys: 10, max_in_flight: 3, max_claims: 100, ..Options::default() };
    let mut ledger = Ledger::new(String::from("b"), 1, options);
    ledger.step(ms(0), Input::Read(Page { oldest: 0, next: 0, entries: Vec::new() }));
    let mut sizes = Vec::new();
    let mut refused = 0;
    for n in 0..200_u64 {
        let outputs = ledger.step(ms(n), claim(n, n as u8));
        sizes.extend(appends(&outputs).iter().map(|it| it.keys.len()));
        refused += decisions(outputs).len();
    }
    expect_that!(sizes, elements_are![eq(&1), eq(&10), eq(&10)]);
    expect_that!(ledger.pending_count(), eq(100));
    expect_that!(refused, eq(100));
}

#[gtest]
fn incomplete_window_refuses_claims_and_writes_an_empty_batch() {
    let mut ledger = Ledger::new(String::from("b"), 1, Options::default());
    ledger.step(ms(0), Input::Trimmed { oldest: 7 });
    let outputs = ledger.step(ms(1), claim(1, 1));
    expect_that!(appends(&outputs).first().map(|it| it.keys.len()), some(eq(0)));
    let refused = Verdict::Refused(Reason::WindowIncomplete);
    expect_that!(decisions(outputs), eq(&vec![(1, refused.clone())]));
    for (offset, at_ms, complete) in [(7, 1_000, false), (8, 601_000, false), (9, 601_001, true)] {
        let entries = vec![Entry { offset, at_ms, record: Record::Other }];
        ledger.step(ms(2), Input::Read(Page { oldest: 7, next: offset + 1, entries }));
        expect_that!(ledger.window().is_complete(), eq(complete));
    }
    ledger.step(ms(3), Input::Trimmed { oldest: 20 });
    expect_that!(decisions(ledger.step(ms(4), claim(2, 2))), eq(&vec![(2, refused)]));
}

#[gtest]
fn unknown_records_are_decoded_as_other() {
    let text = r#"{"kind":"later","x":1}"#;
    let record: Record = serde_json::from_str(text).expect("unknown kinds are accepted");
    expect_that!(record, eq(&Record::Other));
    let text = serde_json::to_string(&foreign_record(1)).expect("records are serializable");
    expect_that!(text, contains_substring(r#""kind":"started","node":"c","batch":"c-1-0""#));
    expect_that!(serde_json::from_str::<Record>(&text).ok(), some(eq(&foreign_record(1))));
}
