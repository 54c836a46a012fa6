//! Propagation of the catalog, the host list and evacuations from the store to a node.

use std::time::Duration;

use cuminward_adapter_fake::{
    catalog::{Retry, Route},
    entry::Entry,
};
use googletest::prelude::*;
use http::StatusCode;
use tokio::time;

use crate::site::{Node, PLAIN, Site, is_ready, plain_entry, route};

/// Time within which a change must take effect.
pub(crate) const IN_FORCE: Duration = Duration::from_millis(2000);

/// Returns a route that the usual catalog doesn't have.
pub(crate) fn new_route() -> Option<Route> {
    Some(Route { max_attempts: 1, is_anonymous: true, ..route("/new/", Retry::Idempotent, PLAIN) })
}

/// Polls a path until it returns the status; returns whether that happens within [`IN_FORCE`].
pub(crate) async fn wait_for_status(node: &Node, path: &str, status: u16) -> bool {
    let poll = async {
        while node.get(path, &[]).await.map(|it| it.status.as_u16()).ok() != Some(status) {
            time::sleep(Duration::from_millis(20)).await;
        }
    };
    time::timeout(IN_FORCE, poll).await.is_ok()
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_node_without_a_catalog_is_not_ready_and_rejects_requests() -> Result<()> {
    let site = Site::empty().await;
    let node = site.starting_node("unconfigured").await;
    time::sleep(Duration::from_millis(300)).await;
    expect_that!(is_ready(node.ready).await, eq(false));
    let answer = node.get("/book/1", &[]).await.or_fail()?;
    expect_that!(answer.status.as_u16(), eq(503));
    site.configure(1, None);
    expect_that!(wait_for_status(&node, "/book/1", 200).await, eq(true));
    expect_that!(is_ready(node.ready).await, eq(true));
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn the_newest_catalog_version_applies_and_is_never_reverted() {
    let site = Site::start().await;
    let node = site.node("versions").await;
    site.configure(5, new_route());
    expect_that!(wait_for_status(&node, "/new/1", 200).await, eq(true));
    site.configure(4, None);
    time::sleep(Duration::from_millis(500)).await;
    expect_that!(wait_for_status(&node, "/new/1", 200).await, eq(true));
    site.configure(6, None);
    expect_that!(wait_for_status(&node, "/new/1", 404).await, eq(true));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_node_reads_the_newest_records_after_the_history_is_truncated() {
    let site = Site::start().await;
    let node = site.node("compacted").await;
    site.configure(2, new_route());
    site.store.compact_platform_topics();
    expect_that!(wait_for_status(&node, "/new/1", 200).await, eq(true));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn the_last_known_catalog_applies_during_a_store_outage() {
    let site = Site::start().await;
    let node = site.node("outage").await;
    site.store.set_refusal(Some(StatusCode::SERVICE_UNAVAILABLE));
    time::sleep(Duration::from_secs(1)).await;
    expect_that!(wait_for_status(&node, "/book/1", 200).await, eq(true));
    site.configure(2, new_route());
    site.store.set_refusal(None);
    expect_that!(wait_for_status(&node, "/new/1", 200).await, eq(true));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_evacuated_domain_and_leaving_hosts_get_no_requests() -> Result<()> {
    let site = Site::start().await;
    let node = site.node("leaving").await;
    let leaving = Entry { is_draining: true, ..plain_entry(&site.plain[0]) };
    site.store.put_entry(&site.plain[0].id, &leaving);
    time::sleep(Duration::from_millis(1200)).await;
    for index in 0..8 {
        let answer = node.get(&format!("/book/{index}"), &[]).await.or_fail()?;
        expect_that!(answer.status.as_u16(), eq(200));
    }
    expect_that!(site.plain[0].received(), is_empty());
    site.store.set_evacuated("mercado", true);
    expect_that!(wait_for_status(&node, "/book/1", 503).await, eq(true));
    site.store.set_evacuated("mercado", false);
    expect_that!(wait_for_status(&node, "/book/1", 200).await, eq(true));
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_unreadable_host_entry_affects_no_other_host() {
    let site = Site::start().await;
    let node = site.node("garbled").await;
    site.store.put_raw_entry("p-0", "\u{1}garbage");
    site.store.put_raw_entry("p-9", "{}");
    time::sleep(Duration::from_millis(1000)).await;
    expect_that!(wait_for_status(&node, "/book/1", 200).await, eq(true));
    expect_that!(site.plain[0].received(), is_empty());
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_change_missed_by_a_long_poll_takes_effect_in_time() {
    let site = Site::start().await;
    let node = site.node("deaf").await;
    site.store.set_wakeups_suppressed(true);
    time::sleep(Duration::from_millis(100)).await;
    site.configure(2, new_route());
    expect_that!(wait_for_status(&node, "/new/1", 200).await, eq(true));
}
