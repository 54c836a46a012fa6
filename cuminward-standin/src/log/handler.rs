//! HTTP handlers of the log.

use std::{sync::Arc, time::Duration};

use axum::{
    Extension, Json,
    extract::{Path, Query, State},
    response::{IntoResponse, Response},
};
use serde_json::{Value, json};

use super::{Counters, Fault, Shared, store::Stream};
use crate::{reply, server};

/// Most records in one response if the query has no `max`.
const DEFAULT_MAX_RECORDS: usize = 1000;
/// Longest time that a read waits for a record; a longer `wait_ms` is reduced to it.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Query parameters of a read.
#[derive(serde::Deserialize)]
pub(super) struct Range {
    #[serde(default)]
    from: u64,
    max: Option<usize>,
    #[serde(default)]
    wait_ms: u64,
}

/// Whether a stream's name consists of ASCII letters, digits, `-`, `_` and `.` only.
fn is_valid_name(stream: &str) -> bool {
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
    if !is_valid_name(&stream) {
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
    read_now(&shared, &stream, &range, true).expect("with allow_empty a read always has a response")
}

/// Builds the response to a read, or `None` if there is no record to return yet and `allow_empty`
/// is false.
fn read_now(shared: &Shared, stream: &str, range: &Range, allow_empty: bool) -> Option<Response> {
    let mut inner = shared.lock();
    if inner.down {
        return Some(unavailable());
    }
    inner.trim_all();
    let empty_stream = Stream::default();
    let found = inner.streams.get(stream).unwrap_or(&empty_stream);
    let (oldest, next) = (found.oldest, found.next_offset());
    if range.from < oldest {
        let message = "the record is no longer kept";
        return Some(reply::error_with(410, "trimmed", message, &[("oldest", oldest)]));
    }
    if range.from >= next && !allow_empty {
        return None;
    }
    let skipped = (range.from - oldest) as usize;
    let kept = found.records.iter().enumerate().skip(skipped);
    let records: Vec<Value> = kept
        .take(range.max.unwrap_or(DEFAULT_MAX_RECORDS))
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
