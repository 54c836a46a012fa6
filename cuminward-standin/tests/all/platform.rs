use std::time::{Duration, Instant};

use cuminward_core::host;
use cuminward_standin::{
    environment,
    hosts::{Change, List},
    weights,
};
use googletest::prelude::*;
use serde_json::json;

use crate::http;

#[gtest]
#[tokio::test]
async fn host_list_changes_are_visible_after_the_lag() -> Result<()> {
    let list = List::start(0, Duration::from_millis(150)).await.or_fail()?;
    let entry = environment::node_entry("n1", "a", "127.0.0.1:1");
    list.change(Change::Put { entry: entry.clone() });
    let before = http::get(list.address(), "/v1/hosts").await.json();
    verify_that!(before["hosts"], eq(&json!([])))?;
    tokio::time::sleep(Duration::from_millis(200)).await;
    let after = http::get(list.address(), "/v1/hosts").await.json();
    let visible: Vec<host::Entry> = serde_json::from_value(after["hosts"].clone()).or_fail()?;
    verify_that!(visible, eq(&vec![entry]))
}

#[gtest]
#[tokio::test]
async fn transfers_share_the_rate() -> Result<()> {
    let options = weights::Options { bytes_per_second: 1_000_000, default_bytes: 100_000 };
    let store = weights::Store::start(0, options).await.or_fail()?;
    let started = Instant::now();
    let fetch = json!({"host": "h", "model": "m", "version": "v"});
    let (first, second) = tokio::join!(
        http::post(store.address(), "/v1/fetches", &fetch),
        http::post(store.address(), "/v1/fetches", &fetch),
    );
    verify_that!((first.status, second.status), eq((200, 200)))?;
    verify_that!(started.elapsed(), ge(Duration::from_millis(190)))?;
    verify_that!(store.counters().fetches, eq(2))?;
    let status = http::get(store.address(), "/v1/status").await.json();
    verify_that!(status, eq(&json!({"active": 0, "queued": 0, "bytes_per_second": 1_000_000})))
}
