//! Orders to the hosts of an engine.

use std::{sync::Arc, time::Duration};

use cuminward_adapter_fake::crew::{Crew, Place, Times};
use googletest::prelude::*;
use tokio::{net::TcpListener, time};

use crate::site::{ENGINE, EVENTS, Site};

const TIMES: Times = Times {
    load: Duration::from_millis(100),
    join: Duration::from_millis(50),
    open: Duration::from_millis(20),
    stall: Duration::from_millis(1000),
    event_pause: Duration::from_millis(20),
    answer: Duration::from_millis(10),
    late_order: Duration::from_millis(2000),
};

/// Time within which the steward has read a change of the list.
const STEWARD_READS: Duration = Duration::from_millis(800);

/// Starts a crew of one host, which is a replica of its own once it is told so.
async fn crew_of_one(site: &Site, id: &str) -> Result<Crew> {
    let crew = Crew::new(Arc::clone(&site.store), TIMES, 1, EVENTS);
    let listener = TcpListener::bind("127.0.0.1:0").await.or_fail()?;
    let place = Place {
        id: id.to_owned(),
        service: ENGINE.to_owned(),
        domain: String::from("mercado"),
        fabric: Some(String::from("f")),
        address: listener.local_addr().or_fail()?,
    };
    crew.start(place, listener);
    Ok(crew)
}

async fn wait_until_open(crew: &Crew) -> bool {
    for _ in 0..200 {
        if crew.open_groups() == 1 {
            return true;
        }
        time::sleep(Duration::from_millis(50)).await;
    }
    false
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_order_that_only_an_outdated_entry_suggests_is_not_given() -> Result<()> {
    let site = Site::start().await;
    let crew = crew_of_one(&site, "w-0").await?;
    let _node = site.node("outdated").await;
    expect_that!(wait_until_open(&crew).await, eq(true));
    time::sleep(STEWARD_READS).await;
    crew.list_without_group("w-0");
    time::sleep(Duration::from_millis(2500)).await;
    expect_that!(crew.violations(), is_empty());
    expect_that!(crew.open_groups(), eq(1));
    Ok(())
}
