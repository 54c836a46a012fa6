//! Callers of the order desk: reservations, some repeated through another node, and look-ups.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use cuminward_core::id;
use cuminward_derive::{record, value};
use http::Method;
use serde_json::Value;
use tokio::{task::JoinSet, time::Instant};

use crate::{
    caller::{Call, Caller, Response},
    declare,
    experiment::stage,
};

/// Time between two calls.
const INTERVAL: Duration = Duration::from_millis(60);

/// Longest time that a caller waits.
const TIMEOUT: Duration = Duration::from_secs(15);

/// What a caller heard about one call.
#[record]
pub struct Heard {
    /// Time of the call since the start, in seconds.
    pub start_seconds: f64,
    /// Idempotency key; empty without one.
    pub key: String,
    /// Id that the node gave to the request; empty without an answer.
    pub request: id::Request,
    /// Whether it was a reservation.
    pub reservation: bool,
    /// How it ended.
    pub end: End,
    /// HTTP status and body of an answer that isn't the wanted one, or why there was none.
    pub detail: String,
}

/// How a call ended.
#[value]
#[serde(rename_all = "kebab-case")]
pub enum End {
    /// The right answer was received.
    Complete,
    /// A refusal said that nothing ran.
    NotRun,
    /// A refusal said that the outcome is unknown.
    Unknown,
    /// The answer was not the one to this call.
    Wrong,
    /// There was no whole answer.
    None,
}

/// A call with what its answer has to hold.
struct Wish {
    call: Call,
    team: usize,
    reservation: bool,
    item: String,
    repeats: bool,
}

/// Calls the order desk for a time and returns what the callers heard.
pub async fn run(stage: &Arc<stage::Stage>, seed: u64, duration: Duration) -> Vec<Heard> {
    let callers = Arc::new(declare::TEAMS.each_ref().map(Caller::new));
    let start = Instant::now();
    let mut calls = JoinSet::new();
    let count = (duration.as_millis() / INTERVAL.as_millis()) as usize;
    for index in 0..count {
        tokio::time::sleep_until(start + INTERVAL * index as u32).await;
        let (stage, callers) = (Arc::clone(stage), Arc::clone(&callers));
        let wish = wish(seed, index);
        calls.spawn(async move { call(&stage, &callers[wish.team], &wish, index).await });
    }
    calls.join_all().await.into_iter().flatten().collect()
}

fn wish(seed: u64, index: usize) -> Wish {
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
    Wish { call, team: index % declare::TEAMS.len(), reservation, item, repeats }
}

/// Makes a call, and makes it again through another node where the caller repeats its calls.
async fn call(stage: &stage::Stage, caller: &Caller, wish: &Wish, index: usize) -> Vec<Heard> {
    let mut heard = Vec::new();
    let times = if wish.repeats { 2 } else { 1 };
    for time in 0..times {
        let Some(node) = stage.balance(index + time) else { continue };
        heard.push(once(stage, caller, wish, node).await);
    }
    heard
}

async fn once(stage: &stage::Stage, caller: &Caller, wish: &Wish, node: SocketAddr) -> Heard {
    let start_seconds = stage.begun.elapsed().as_secs_f64();
    let answer = tokio::time::timeout(TIMEOUT, caller.send(node, &wish.call)).await;
    let answer = answer.unwrap_or_else(|_| Err("no answer in time".to_owned()));
    let (end, request, detail) = match answer {
        Ok(answer) => judge(wish, &answer),
        Err(reason) => (End::None, String::new(), reason),
    };
    Heard {
        start_seconds,
        key: wish.call.key.clone().unwrap_or_default(),
        request,
        reservation: wish.reservation,
        end,
        detail,
    }
}

fn judge(wish: &Wish, answer: &Response) -> (End, id::Request, String) {
    let request = answer.headers.get("cuminward-request").and_then(|it| it.to_str().ok());
    let request = request.unwrap_or_default().to_owned();
    let detail = format!("{} {}", answer.status.as_u16(), answer.body.trim());
    let end = match (answer.status.is_success(), answer.outcome()) {
        (true, _) if is_right(wish, answer) => End::Complete,
        (true, _) => End::Wrong,
        (false, "not-run") => End::NotRun,
        (false, _) => End::Unknown,
    };
    let detail = if end == End::Complete { String::new() } else { detail };
    (end, request, detail)
}

/// Whether an answer is whole and belongs to the call.
fn is_right(wish: &Wish, answer: &Response) -> bool {
    let Ok(body) = serde_json::from_str::<Value>(&answer.body) else { return false };
    let item = body["item"].as_str() == Some(wish.item.as_str());
    if !wish.reservation {
        return item && body["free"].is_u64();
    }
    let asked: Value = serde_json::from_str(&wish.call.body).unwrap_or_default();
    item && body["reservation"].is_u64() && body["quantity"] == asked["quantity"]
}
