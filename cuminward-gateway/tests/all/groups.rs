//! Orders from the steward to the hosts of a model engine.

use std::{sync::Arc, time::Duration};

use cuminward_adapter_fake::cluster::{Cluster, Delays, Spec};
use googletest::prelude::*;
use tokio::{net::TcpListener, time};

use crate::site::{ENGINE, EVENTS, Site};

const DELAYS: Delays = Delays {
    load: Duration::from_millis(100),
    join: Duration::from_millis(50),
    open: Duration::from_millis(20),
    stall_timeout: Duration::from_millis(1000),
    event_pause: Duration::from_millis(20),
    answer: Duration::from_millis(10),
    late_order: Duration::from_millis(2000),
};

/// Time within which the steward has read a change of the host list.
const STEWARD_READS: Duration = Duration::from_millis(800);

/// Starts an engine whose replicas have `size` hosts.
pub(crate) async fn start_cluster(site: &Site, ids: &[&str], size: usize) -> Result<Cluster> {
    let cluster = Cluster::new(Arc::clone(&site.store), DELAYS, size, EVENTS);
    for id in ids {
        let listener = TcpListener::bind("127.0.0.1:0").await.or_fail()?;
        let spec = Spec {
            id: (*id).to_owned(),
            service: ENGINE.to_owned(),
            domain: String::from("mercado"),
            fabric: Some(String::from("f")),
            address: listener.local_addr().or_fail()?,
        };
        cluster.start(spec, listener);
    }
    Ok(cluster)
}

/// Waits up to 10 s; returns whether the only group has opened.
pub(crate) async fn wait_until_open(cluster: &Cluster) -> bool {
    for _ in 0..200 {
        if cluster.open_group_count() == 1 {
            return true;
        }
        time::sleep(Duration::from_millis(50)).await;
    }
    false
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_outdated_host_entry_causes_no_order() -> Result<()> {
    let site = Site::start().await;
    let cluster = start_cluster(&site, &["w-0"], 1).await?;
    let _node = site.node("outdated").await;
    expect_that!(wait_until_open(&cluster).await, eq(true));
    time::sleep(STEWARD_READS).await;
    cluster.put_entry_without_group("w-0");
    time::sleep(Duration::from_millis(2500)).await;
    expect_that!(cluster.violations(), is_empty());
    expect_that!(cluster.open_group_count(), eq(1));
    Ok(())
}
