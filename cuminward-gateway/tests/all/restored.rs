//! The store comes back from an older copy: it loses its newest records and hands their offsets out again.

use std::time::{Duration, Instant};

use cuminward_adapter::{store, topic};
use cuminward_adapter_fake::{
    catalog::{Retry, Route},
    entry::Entry,
};
use googletest::prelude::*;
use tokio::time;

use crate::{
    configuration::wait_for_status,
    groups::{start_cluster, wait_until_open},
    site::{Node, PLAIN, Site, plain_entry, route},
};

/// Time for which a test checks that something doesn't happen.
const CHECK_TIME: Duration = Duration::from_secs(2);

/// Returns whether all requests for a path get the status during [`CHECK_TIME`].
async fn keeps_status(node: &Node, path: &str, status: u16) -> bool {
    let started = Instant::now();
    while started.elapsed() < CHECK_TIME {
        if node.get(path, &[]).await.map(|it| it.status.as_u16()).ok() != Some(status) {
            return false;
        }
        time::sleep(Duration::from_millis(20)).await;
    }
    true
}

/// Returns a route that the usual catalog doesn't have.
fn new_route(prefix: &str) -> Option<Route> {
    Some(Route { max_attempts: 1, is_anonymous: true, ..route(prefix, Retry::Idempotent, PLAIN) })
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_change_after_the_store_lost_records_is_in_force_although_its_offset_is_known() {
    struct Case {
        /// Versions that the store loses.
        lost: u64,
        /// Versions that the operator writes again before the change.
        rewritten: u64,
        /// Whether the store keeps the newest record of each key only.
        is_compacted: bool,
    }
    let cases = [
        Case { lost: 1, rewritten: 0, is_compacted: false },
        Case { lost: 3, rewritten: 0, is_compacted: false },
        Case { lost: 3, rewritten: 1, is_compacted: false },
        Case { lost: 2, rewritten: 2, is_compacted: false },
        Case { lost: 2, rewritten: 1, is_compacted: true },
    ];
    for (index, case) in cases.into_iter().enumerate() {
        let Case { lost, rewritten, is_compacted } = case;
        let name = format!("lost {lost}, rewritten {rewritten}, compacted {is_compacted}");
        let site = Site::start().await;
        let node = site.node(&format!("restored-{index}")).await;
        let backup = site.store.backup();
        for version in 0..lost {
            site.configure(10 + version, new_route(&format!("/lost-{version}/")));
        }
        let newest = format!("/lost-{}/1", lost - 1);
        expect_that!(wait_for_status(&node, &newest, 200).await, eq(true), "{name}");
        site.store.restore(backup);
        for version in lost - rewritten..lost {
            site.configure(10 + version, new_route(&format!("/lost-{version}/")));
        }
        if is_compacted {
            site.store.compact_platform_topics();
        }
        site.configure(20, new_route("/new/"));
        expect_that!(wait_for_status(&node, "/new/1", 200).await, eq(true), "{name}");
        expect_that!(wait_for_status(&node, &newest, 404).await, eq(true), "{name}");
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_domain_whose_evacuation_the_store_lost_stays_out_of_service() {
    let site = Site::start().await;
    let node = site.node("evacuated").await;
    let backup = site.store.backup();
    site.store.set_evacuated("mercado", true);
    expect_that!(wait_for_status(&node, "/book/1", 503).await, eq(true));
    site.store.restore(backup);
    expect_that!(keeps_status(&node, "/book/1", 503).await, eq(true));
    site.store.set_evacuated("mercado", true);
    expect_that!(keeps_status(&node, "/book/1", 503).await, eq(true));
    site.store.set_evacuated("mercado", false);
    expect_that!(wait_for_status(&node, "/book/1", 200).await, eq(true));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn hosts_that_left_get_no_requests_although_the_store_lists_them_as_ready_again() {
    for is_removed in [false, true] {
        let site = Site::start().await;
        let node = site.node("left").await;
        let leaving = &site.plain[0];
        site.store.put_raw_entry(&site.plain[1].id, "");
        let backup = site.store.backup();
        if is_removed {
            site.store.put_raw_entry(&leaving.id, "");
        } else {
            let entry = Entry { is_draining: true, ..plain_entry(leaving) };
            site.store.put_entry(&leaving.id, &entry);
        }
        expect_that!(wait_for_status(&node, "/book/1", 503).await, eq(true));
        leaving.clear_received();
        site.store.restore(backup);
        expect_that!(keeps_status(&node, "/book/1", 503).await, eq(true));
        expect_that!(leaving.received(), is_empty(), "removed {is_removed}");
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn hosts_whose_entries_the_store_lost_stay_in_use_while_they_may_write_them_again() {
    let site = Site::start().await;
    let entries: Vec<Entry> = site.plain.iter().map(plain_entry).collect();
    for host in &site.plain {
        site.store.put_raw_entry(&host.id, "");
    }
    let backup = site.store.backup();
    for (host, entry) in site.plain.iter().zip(&entries) {
        site.store.put_entry(&host.id, entry);
    }
    let node = site.node("rewriting").await;
    site.store.restore(backup);
    expect_that!(keeps_status(&node, "/book/1", 200).await, eq(true));
    site.store.put_entry(&site.plain[0].id, &entries[0]);
    time::sleep(CHECK_TIME).await;
    site.plain[1].clear_received();
    expect_that!(keeps_status(&node, "/book/1", 200).await, eq(true));
    expect_that!(site.plain[1].received(), is_empty());
}

/// Makes the generation of the group of candidates grow by the changes of its members.
async fn raise_generation(site: &Site, changes: usize) -> Result<()> {
    let client = store::Client::new(site.store.address.to_string(), CHECK_TIME);
    let member = store::Member {
        group: String::from("stewards"),
        name: String::from("other"),
        topic: topic::DUTIES.to_owned(),
        lease: CHECK_TIME,
    };
    for _ in 0..changes / 2 {
        client.join(&member, 0).await.or_fail()?;
        client.leave(&member).await.or_fail()?;
    }
    Ok(())
}

/// The store counts the generations of the candidates again, from which fencing tokens are made.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn hosts_accept_orders_of_a_steward_that_is_elected_after_the_store_lost_elections()
-> Result<()> {
    let site = Site::start().await;
    site.join_replicas(2, 2, None);
    let cluster = start_cluster(&site, &["w-0", "w-1"], 2).await?;
    let backup = site.store.backup();
    raise_generation(&site, 20).await?;
    let former = site.node("former-steward").await;
    expect_that!(wait_until_open(&cluster).await, eq(true));
    site.store.restore(backup);
    cluster.rewrite_entries();
    drop(former);
    let _successor = site.node("successor").await;
    // The head ends; the other host has seen the fencing tokens of before.
    cluster.crash("w-0");
    cluster.restart("w-0");
    expect_that!(cluster.open_group_count(), eq(0));
    expect_that!(wait_until_open(&cluster).await, eq(true));
    expect_that!(cluster.violations(), is_empty());
    Ok(())
}

/// It knows nothing of before, and the store has only what was lost later.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_starts_before_the_operator_writes_again_serves_the_catalog_of_the_other_nodes()
{
    let site = Site::start().await;
    let node = site.node("running").await;
    let backup = site.store.backup();
    site.configure(2, new_route("/new/"));
    expect_that!(wait_for_status(&node, "/new/1", 200).await, eq(true));
    site.store.restore(backup);
    let started = site.node("started").await;
    expect_that!(wait_for_status(&started, "/new/1", 200).await, eq(true));
    expect_that!(keeps_status(&node, "/new/1", 200).await, eq(true));
    site.configure(3, new_route("/newest/"));
    expect_that!(wait_for_status(&started, "/newest/1", 200).await, eq(true));
    expect_that!(wait_for_status(&node, "/newest/1", 200).await, eq(true));
}

/// Limits of all nodes together are divided by the nodes that the store lists.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn nodes_register_again_after_the_store_lost_them() {
    let site = Site::start().await;
    let backup = site.store.backup();
    let _node = site.node("registered").await;
    let is_listed = || site.store.value(topic::NODES, "registered").is_some();
    expect_that!(is_listed(), eq(true));
    for _ in 0..2 {
        site.store.restore(backup.clone());
        expect_that!(is_listed(), eq(false));
        time::sleep(CHECK_TIME).await;
        expect_that!(is_listed(), eq(true));
    }
}

/// It has records of the former era with greater offsets than those of the newest one.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_cannot_read_the_store_gets_a_change_after_the_store_lost_records() {
    let site = Site::start().await;
    let isolated = site.isolated_node("isolated").await;
    let node = site.node("connected").await;
    let backup = site.store.backup();
    for version in 2..5 {
        site.configure(version, new_route(&format!("/lost-{version}/")));
    }
    site.store.set_evacuated("elsewhere", true);
    expect_that!(wait_for_status(&isolated, "/lost-4/1", 200).await, eq(true));
    site.store.restore(backup);
    expect_that!(keeps_status(&isolated, "/lost-4/1", 200).await, eq(true));
    site.configure(5, new_route("/new/"));
    expect_that!(wait_for_status(&node, "/new/1", 200).await, eq(true));
    expect_that!(wait_for_status(&isolated, "/new/1", 200).await, eq(true));
    site.store.set_evacuated("mercado", true);
    expect_that!(wait_for_status(&isolated, "/new/1", 503).await, eq(true));
}
