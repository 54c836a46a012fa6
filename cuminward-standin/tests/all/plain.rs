use std::{collections::BTreeMap, time::Duration};

use cuminward_standin::{
    environment::{Domain, Environment, Options},
    plain::{self, Fault},
};
use googletest::prelude::*;
use serde_json::json;

use crate::http;

async fn environment(warm_up: Duration) -> Environment {
    let plains = BTreeMap::from([("desk".to_owned(), 1)]);
    let options = Options {
        domains: vec![Domain { plains, ..Domain::new("a", "r", 0) }],
        plain: plain::Options { warm_up, cold_bound: 1, ..plain::Options::default() },
        ..Options::default()
    };
    Environment::start(options).await.expect("free ports can be bound")
}

async fn reserve(environment: &Environment, key: &str) -> http::Answer {
    let headers = [("cuminward-request", "r"), ("idempotency-key", key)];
    let body = json!({"item": "bolt", "quantity": 2}).to_string();
    let address = environment.plain().entries()[0].address.clone();
    http::call(::http::Method::POST, address, "/reservations", &headers, body).await
}

struct Case {
    name: &'static str,
    fault: Option<Fault>,
    status: u16,
    runs: Option<u64>,
}

#[gtest]
#[tokio::test]
async fn reservations_run_or_fail_by_fault() -> Result<()> {
    let host = "a-desk-0".to_owned();
    let cases = [
        Case { name: "healthy", fault: None, status: 201, runs: Some(1) },
        Case {
            name: "lost",
            fault: Some(Fault::LoseAnswers { host: host.clone(), count: 1 }),
            status: 0,
            runs: Some(1),
        },
        Case {
            name: "not-run",
            fault: Some(Fault::NotRun { host: host.clone(), count: 1 }),
            status: 503,
            runs: None,
        },
        Case { name: "down", fault: Some(Fault::Kill { host }), status: 0, runs: None },
    ];
    let environment = environment(Duration::ZERO).await;
    for case in cases {
        if let Some(fault) = &case.fault {
            environment.plain().inject(fault).await;
        }
        let answer = reserve(&environment, case.name).await;
        let runs = environment.plain().counters().runs_by_key.get(case.name).copied();
        verify_that!((answer.status, runs), eq((case.status, case.runs)))
            .with_failure_message(|| case.name.to_owned())?;
        let marked = answer.headers.contains_key("cuminward-not-run");
        verify_that!(marked, eq(case.status == 503))?;
    }
    environment.plain().inject(&Fault::Restart { host: "a-desk-0".to_owned() }).await;
    let address = environment.plain().entries()[0].address.clone();
    let stock = http::get(address, "/stock/bolt").await.json();
    verify_that!(stock, eq(&json!({"item": "bolt", "free": 999_996})))
}

#[gtest]
#[tokio::test]
async fn overrun_fails_everything_in_flight() -> Result<()> {
    let environment = environment(Duration::from_secs(600)).await;
    let (first, second) = tokio::join!(reserve(&environment, "k1"), reserve(&environment, "k2"));
    verify_that!((first.status, second.status), eq((0, 0)))?;
    verify_that!(environment.plain().counters().cold_overruns, eq(1))
}
