//! Graceful shutdown of a node and reload of its settings.

use std::time::{Duration, Instant};

use cuminward_adapter_fake::{header, host::Behaviour};
use googletest::prelude::*;
use tokio::{runtime::Runtime, time};

use crate::site::{self, EVENTS, Site, is_ready};

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_node_finishes_the_requests_in_flight() -> Result<()> {
    let site = Site::start().await;
    let node = site.node("stopping").await;
    for host in &site.plain {
        let slow = Behaviour::RespondAfter(Duration::from_millis(1500), String::from("late"));
        host.enqueue(slow);
    }
    let (gateway, callers, ready) = (node.gateway, node.callers, node.ready);
    let caller = tokio::spawn(async move { site::send(callers, "POST", "/book/1", &[], "").await });
    time::sleep(Duration::from_millis(200)).await;
    let started = Instant::now();
    let stopping = tokio::spawn(gateway.stop());
    time::sleep(Duration::from_millis(100)).await;
    expect_that!(is_ready(ready).await, eq(false));
    let during = site::send(callers, "GET", "/desk/1", &[], "").await.or_fail()?;
    expect_that!(during.status.as_u16(), eq(200));
    expect_that!(during.headers.get("connection").is_some_and(|it| it == "close"), eq(true));
    let answer = caller.await.or_fail()?.or_fail()?;
    expect_that!(answer.status.as_u16(), eq(200));
    stopping.await.or_fail()?;
    expect_that!(started.elapsed(), lt(Duration::from_secs(6)));
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn settings_are_reloaded_and_invalid_ones_are_refused() -> Result<()> {
    let site = Site::start().await;
    let node = site.node("reload").await;
    let text = std::fs::read_to_string(&node.settings).or_fail()?;
    std::fs::write(&node.settings, "node: {").or_fail()?;
    time::sleep(Duration::from_millis(2500)).await;
    expect_that!(node.get("/book/1", &[]).await.or_fail()?.status.as_u16(), eq(200));
    // With a `fill` of 0, no upstream has capacity for a request.
    std::fs::write(&node.settings, format!("{text}admission: {{fill: 0.0}}\n")).or_fail()?;
    time::sleep(Duration::from_millis(2500)).await;
    expect_that!(node.get("/book/1", &[]).await.or_fail()?.status.as_u16(), eq(503));
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_node_leaves_the_steward_assignment_at_once_and_does_not_rejoin() -> Result<()> {
    let site = Site::start().await;
    let node = site.node("leaves").await;
    expect_that!(site.store.member_count(), eq(1));
    let stopping = tokio::spawn(node.gateway.stop());
    time::sleep(Duration::from_millis(200)).await;
    for _ in 0..10 {
        expect_that!(site.store.member_count(), eq(0));
        time::sleep(Duration::from_millis(200)).await;
    }
    stopping.await.or_fail()
}

/// Guards against streams that reach their callers as complete because the task that forwards them is gone.
#[gtest]
fn a_stream_that_a_node_drops_at_its_end_does_not_look_complete() -> Result<()> {
    const ROUNDS: usize = 20;
    const STREAMS: usize = 10;
    let outside = Runtime::new().or_fail()?;
    for round in 0..ROUNDS {
        let inside = Runtime::new().or_fail()?;
        let site = outside.block_on(Site::start());
        let node = inside.block_on(site.node("dropped"));
        let callers = node.callers;
        let headers = [(header::MODEL, site::MODEL)];
        let send = || async move { site::send(callers, "POST", "/chat/1", &headers, "").await };
        let calls: Vec<_> = (0..STREAMS).map(|_| outside.spawn(send())).collect();
        std::thread::sleep(Duration::from_millis(70));
        drop(inside);
        for call in calls {
            let Ok(answer) = outside.block_on(call).or_fail()? else { continue };
            let has_all = answer.body.contains(&format!("id: {EVENTS}\n"));
            expect_that!(answer.is_complete, eq(has_all), "round {round}: {}", answer.body);
        }
    }
    Ok(())
}
