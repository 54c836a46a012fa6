//! The HTTP interface of the log.

use std::{sync::Arc, time::Duration};

use axum::{
    Extension, Json,
    extract::{Path, Query, State},
    response::{IntoResponse, Response},
};
use serde_json::{Value, json};

use super::{Counters, Fault, Shared, store::Stream};
use crate::{reply, server};

/// Records of one answer when the caller doesn't say.
const DEFAULT_READ: usize = 1000;
/// Longest time that a read waits.
const MAX_WAIT: Duration = Duration::from_secs(60);

#[derive(serde::Deserialize)]
pub(super) struct Range {
    #[serde(default)]
    from: u64,
    max: Option<usize>,
    #[serde(default)]
    wait_ms: u64,
}

fn valid(stream: &str) -> bool {
    let allowed = |it: char| it.is_ascii_alphanumeric() || "-_.".contains(it);
    !stream.is_empty() && stream.chars().all(allowed)
}

fn unavailable() -> Response {
    reply::error(503, "unavailable", "the log is down; nothing was appended")
}

pub(super) async fn append(
    State(shared): State<Arc<Shared>>,
    Path(stream): Path<String>,
    Extension(connection): Extension<server::Connection>,
    Json(value): Json<Value>,
) -> Response {
    let delay = shared.lock().delay;
    tokio::time::sleep(delay).await;
    if !valid(&stream) {
        return reply::error(400, "invalid-stream", "the stream's name has other characters");
    }
    let (offset, lost) = {
        let mut inner = shared.lock();
        if inner.down {
            return unavailable();
        }
        if !inner.take_token() {
            inner.counters.limited += 1;
            return reply::error(429, "rate-limited", "too many appends a second");
        }
        let offset = inner.push(&stream, value);
        let lost = inner.lose_answers > 0;
        inner.lose_answers = inner.lose_answers.saturating_sub(1);
        inner.counters.lost_answers += u64::from(lost);
        (offset, lost)
    };
    shared.appended.send_modify(|it| *it += 1);
    if lost {
        return connection.abandon().await;
    }
    Json(json!({"offset": offset})).into_response()
}

pub(super) async fn read(
    State(shared): State<Arc<Shared>>,
    Path(stream): Path<String>,
    Query(range): Query<Range>,
) -> Response {
    let delay = shared.lock().delay;
    tokio::time::sleep(delay).await;
    let mut changes = shared.appended.subscribe();
    let wait = Duration::from_millis(range.wait_ms).min(MAX_WAIT);
    let deadline = tokio::time::Instant::now() + wait;
    loop {
        changes.mark_unchanged();
        if let Some(answer) = read_now(&shared, &stream, &range, false) {
            return answer;
        }
        let changed = tokio::time::timeout_at(deadline, changes.changed()).await;
        if changed.is_err() {
            break;
        }
    }
    read_now(&shared, &stream, &range, true).expect("an empty answer is allowed")
}

/// Answers a read; `None` when there is no record yet and an empty answer isn't wanted.
fn read_now(shared: &Shared, stream: &str, range: &Range, empty: bool) -> Option<Response> {
    let mut inner = shared.lock();
    if inner.down {
        return Some(unavailable());
    }
    inner.trim_all();
    let none = Stream::default();
    let found = inner.streams.get(stream).unwrap_or(&none);
    let (oldest, next) = (found.oldest, found.next());
    if range.from < oldest {
        let message = "the record is no longer kept";
        return Some(reply::error_with(410, "trimmed", message, &[("oldest", oldest)]));
    }
    if range.from >= next && !empty {
        return None;
    }
    let skipped = (range.from - oldest) as usize;
    let kept = found.records.iter().enumerate().skip(skipped);
    let records: Vec<Value> = kept
        .take(range.max.unwrap_or(DEFAULT_READ))
        .map(|(index, it)| {
            json!({"offset": oldest + index as u64, "at_ms": it.at_ms, "value": it.value})
        })
        .collect();
    inner.counters.reads += 1;
    Some(Json(json!({"oldest": oldest, "next": next, "records": records})).into_response())
}

pub(super) async fn control(State(shared): State<Arc<Shared>>, Json(fault): Json<Fault>) {
    shared.apply(&fault);
}

pub(super) async fn counters(State(shared): State<Arc<Shared>>) -> Json<Counters> {
    Json(shared.lock().counters.clone())
}
