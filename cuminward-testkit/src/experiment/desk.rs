//! Load on the order desk: reservations, some of them repeated through another node, and look-ups.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use cuminward_core::id;
use cuminward_derive::{record, value};
use http::Method;
use serde_json::Value;
use tokio::{task::JoinSet, time::Instant};

use crate::{
    caller::{Call, Caller, Response},
    declare,
    experiment::testbed,
};

/// Time between the starts of two calls.
const INTERVAL: Duration = Duration::from_millis(60);

/// Longest time that a caller waits for a response.
const TIMEOUT: Duration = Duration::from_secs(15);

/// Result of one call, as its caller observed it.
#[record]
pub struct Sample {
    /// Start of the call since the start of the load, in seconds.
    pub start_seconds: f64,
    /// Idempotency key; empty without one.
    pub key: String,
    /// Id that the node gave to the request; empty without a response.
    pub request: id::Request,
    /// Whether the call was a reservation, not a look-up.
    pub reservation: bool,
    /// How the call ended.
    pub end: End,
    /// HTTP status and body of a response that isn't the expected one, or why there was none; empty
    /// if the call was complete.
    pub detail: String,
}

/// How a call ended.
#[value]
#[serde(rename_all = "kebab-case")]
pub enum End {
    /// The expected response was received.
    Complete,
    /// An error response said that the call wasn't executed.
    NotRun,
    /// An error response didn't say that the call wasn't executed.
    Unknown,
    /// A successful response didn't match the call.
    Wrong,
    /// No complete response was received.
    None,
}

/// A planned call and what its response has to contain.
struct Plan {
    call: Call,
    team: usize,
    reservation: bool,
    item: String,
    repeats: bool,
}

/// Calls the order desk for a time and returns a sample of each call.
pub async fn run(testbed: &Arc<testbed::Testbed>, seed: u64, duration: Duration) -> Vec<Sample> {
    let callers = Arc::new(declare::TEAMS.each_ref().map(Caller::new));
    let start = Instant::now();
    let mut calls = JoinSet::new();
    let count = (duration.as_millis() / INTERVAL.as_millis()) as usize;
    for index in 0..count {
        tokio::time::sleep_until(start + INTERVAL * index as u32).await;
        let (testbed, callers) = (Arc::clone(testbed), Arc::clone(&callers));
        let plan = plan_call(seed, index);
        calls.spawn(async move { make_calls(&testbed, &callers[plan.team], &plan, index).await });
    }
    calls.join_all().await.into_iter().flatten().collect()
}

fn plan_call(seed: u64, index: usize) -> Plan {
    let item = format!("bolt-{}", index % 7);
    let reservation = !index.is_multiple_of(3);
    let key = Some(format!("order-{seed}-{index}")).filter(|_| reservation && index % 6 != 5);
    let call = match reservation {
        true => Call {
            method: Method::POST,
            path: format!("/services/{}/reservations", declare::DESK),
            body: format!(r#"{{"item":"{item}","quantity":{}}}"#, index % 5 + 1),
            key,
        },
        false => {
            Call { path: format!("/services/{}/stock/{item}", declare::DESK), ..Call::default() }
        }
    };
    let repeats = call.key.is_some() && index % 4 == 1;
    Plan { call, team: index % declare::TEAMS.len(), reservation, item, repeats }
}

/// Sends a call, and sends it once more through another node if the plan says so.
async fn make_calls(
    testbed: &testbed::Testbed,
    caller: &Caller,
    plan: &Plan,
    index: usize,
) -> Vec<Sample> {
    let mut samples = Vec::new();
    let times = if plan.repeats { 2 } else { 1 };
    for time in 0..times {
        let Some(node) = testbed.pick_node(index + time) else { continue };
        samples.push(send(testbed, caller, plan, node).await);
    }
    samples
}

async fn send(
    testbed: &testbed::Testbed,
    caller: &Caller,
    plan: &Plan,
    node: SocketAddr,
) -> Sample {
    let start_seconds = testbed.start.elapsed().as_secs_f64();
    let answer = tokio::time::timeout(TIMEOUT, caller.send(node, &plan.call)).await;
    let answer =
        answer.unwrap_or_else(|_| Err("no complete response within the time limit".to_owned()));
    let (end, request, detail) = match answer {
        Ok(answer) => classify(plan, &answer),
        Err(reason) => (End::None, String::new(), reason),
    };
    Sample {
        start_seconds,
        key: plan.call.key.clone().unwrap_or_default(),
        request,
        reservation: plan.reservation,
        end,
        detail,
    }
}

fn classify(plan: &Plan, answer: &Response) -> (End, id::Request, String) {
    let request = answer.headers.get("cuminward-request").and_then(|it| it.to_str().ok());
    let request = request.unwrap_or_default().to_owned();
    let detail = format!("{} {}", answer.status.as_u16(), answer.body.trim());
    let end = match (answer.status.is_success(), answer.outcome()) {
        (true, _) if is_expected(plan, answer) => End::Complete,
        (true, _) => End::Wrong,
        (false, "not-run") => End::NotRun,
        (false, _) => End::Unknown,
    };
    let detail = if end == End::Complete { String::new() } else { detail };
    (end, request, detail)
}

/// Whether the body of a successful response matches the call.
fn is_expected(plan: &Plan, answer: &Response) -> bool {
    let Ok(body) = serde_json::from_str::<Value>(&answer.body) else { return false };
    let item = body["item"].as_str() == Some(plan.item.as_str());
    if !plan.reservation {
        return item && body["free"].is_u64();
    }
    let asked: Value = serde_json::from_str(&plan.call.body).unwrap_or_default();
    item && body["reservation"].is_u64() && body["quantity"] == asked["quantity"]
}
