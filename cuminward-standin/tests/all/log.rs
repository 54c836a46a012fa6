use std::time::{Duration, Instant};

use cuminward_standin::log::{Fault, Log, Options};
use googletest::prelude::*;
use serde_json::json;

use crate::http;

const RECORDS: &str = "/v1/streams/config/records";

async fn start(options: Options) -> Log {
    Log::start(0, options).await.expect("a free port can be bound")
}

#[gtest]
#[tokio::test]
async fn appends_and_reads() -> Result<()> {
    let log = start(Options::default()).await;
    for offset in 0..3 {
        let answer = http::post(log.address(), RECORDS, &json!({"n": offset})).await;
        verify_that!(answer.json(), eq(&json!({"offset": offset})))?;
    }
    let answer = http::get(log.address(), &format!("{RECORDS}?from=1&max=1")).await.json();
    verify_that!(answer["oldest"], eq(&json!(0)))?;
    verify_that!(answer["next"], eq(&json!(3)))?;
    verify_that!(answer["records"][0]["offset"], eq(&json!(1)))?;
    verify_that!(answer["records"][0]["value"], eq(&json!({"n": 1})))?;
    verify_that!(answer["records"].as_array().map(Vec::len), some(eq(1)))
}

#[gtest]
#[tokio::test]
async fn read_waits_for_a_record() -> Result<()> {
    let log = start(Options::default()).await;
    let address = log.address();
    let reading =
        tokio::spawn(
            async move { http::get(address, &format!("{RECORDS}?from=0&wait_ms=5000")).await },
        );
    tokio::time::sleep(Duration::from_millis(50)).await;
    let started = Instant::now();
    log.append("config", json!(7));
    let answer = reading.await.or_fail()?.json();
    verify_that!(answer["records"][0]["value"], eq(&json!(7)))?;
    verify_that!(started.elapsed(), lt(Duration::from_secs(2)))
}

struct Case {
    name: &'static str,
    fault: Fault,
    status: u16,
    code: &'static str,
    records: usize,
}

#[gtest]
#[tokio::test]
async fn injected_faults_affect_appends() -> Result<()> {
    let cases = [
        Case { name: "down", fault: Fault::Down, status: 503, code: "unavailable", records: 0 },
        Case {
            name: "rate",
            fault: Fault::Rate { appends_per_second: 0 },
            status: 429,
            code: "rate-limited",
            records: 0,
        },
        Case {
            name: "lost answer",
            fault: Fault::LoseAnswers { count: 1 },
            status: 0,
            code: "",
            records: 1,
        },
    ];
    for case in cases {
        let log = start(Options::default()).await;
        log.inject(&case.fault);
        let answer = http::post(log.address(), RECORDS, &json!(1)).await;
        verify_that!((answer.status, answer.code()), eq(&(case.status, case.code.to_owned())))
            .with_failure_message(|| case.name.to_owned())?;
        verify_that!(log.records("config").len(), eq(case.records))?;
    }
    Ok(())
}

#[gtest]
#[tokio::test]
async fn trims_old_records() -> Result<()> {
    let log = start(Options { keep_records: 2, ..Options::default() }).await;
    (0..5).for_each(|it| {
        log.append("config", json!(it));
    });
    let answer = http::get(log.address(), &format!("{RECORDS}?from=2")).await;
    verify_that!((answer.status, answer.code()), eq(&(410, "trimmed".to_owned())))?;
    verify_that!(answer.json()["oldest"], eq(&json!(3)))
}
