//! Failure domains that are taken out of service, brought back, or lose nodes.

use std::time::{Duration, Instant};

use cuminward_core::change;
use cuminward_standin::{engine, environment};
use cuminward_testkit::{
    caller::{Call, Caller},
    cluster::{self, Cluster},
    declare,
};
use googletest::prelude::*;
use http::Method;

/// Time within which replicas have to be formed.
const FORMATION_TIMEOUT: Duration = Duration::from_secs(15);

/// Time after which a domain that was taken out of service must not receive new requests.
const TAKE_OUT_DELAY: Duration = Duration::from_secs(3);

/// Time within which a request that another domain serves has to be answered.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

async fn start() -> Cluster {
    let domain = |name: &str| environment::Domain {
        plains: [(declare::DESK.to_owned(), 1)].into(),
        ..environment::Domain::new(name, "r", 4)
    };
    let options = cluster::Options {
        environment: environment::Options {
            domains: vec![domain("a"), domain("b")],
            ..environment::Options::default()
        },
        nodes_per_domain: 2,
        ..cluster::Options::default()
    };
    let cluster = Cluster::start(options).await.expect("loopback ports are free");
    cluster.declare(1, 4, &declare::Limits::default()).await.expect("the declarations are valid");
    cluster.wait_replicas(1, FORMATION_TIMEOUT).await.expect("four hosts form one replica");
    cluster
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn requests_to_a_domain_that_was_taken_out_are_served_by_other_domains() -> Result<()> {
    let cluster = start().await;
    let domain = "a".to_owned();
    cluster.apply([change::Action::TakeOut(domain.clone())]).await.or_fail()?;
    tokio::time::sleep(TAKE_OUT_DELAY).await;
    let taken_out_at = Instant::now();
    let caller = Caller::new(&declare::TEAMS[0]);
    let node = cluster.node("a-0").addresses().callers;
    for index in 0..5 {
        let started = Instant::now();
        let response = caller.chat(node, &format!("kite {index}"), 8).await.or_fail()?;
        expect_that!(response.is_complete_chat(), eq(true), "{}", response.body);
        let stock = Call { path: "/services/desk/stock/paper".to_owned(), ..Call::default() };
        let response = caller.send(node, &stock).await.or_fail()?;
        expect_that!(response.status.as_u16(), eq(200), "{}", response.body);
        expect_that!(started.elapsed(), lt(RESPONSE_TIMEOUT));
    }
    expect_that!(cluster.environment.fleet().begun_in_domain_since(&domain, taken_out_at), eq(0));
    expect_that!(cluster.environment.plain().begun_in_domain_since(&domain, taken_out_at), eq(0));
    cluster.apply([change::Action::BringBack(domain.clone())]).await.or_fail()?;
    let is_back = || cluster.node("a-0").state().view.load().table.candidates().count() == 1;
    expect_that!(cluster::wait(FORMATION_TIMEOUT, is_back).await, eq(true));
    cluster.stop().await;
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_relayed_stream_survives_the_other_node() -> Result<()> {
    let mut cluster = start().await;
    cluster.apply([change::Action::TakeOut("a".to_owned())]).await.or_fail()?;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let node = cluster.node("a-0").addresses().callers;
    let caller = Caller::new(&declare::TEAMS[0]);
    let tokens = 200;
    let text = "a long tail";
    let chat = tokio::spawn(async move { caller.chat(node, text, tokens).await });
    let serving =
        || ["b-0", "b-1"].into_iter().find(|it| cluster.node(it).state().in_flight() == 1);
    expect_that!(cluster::wait(RESPONSE_TIMEOUT, || serving().is_some()).await, eq(true));
    let serving = serving().or_fail()?;
    tokio::time::sleep(Duration::from_millis(200)).await;
    cluster.remove(serving).or_fail()?.kill();
    let response = chat.await.or_fail()?.or_fail()?;
    let prompt = format!("user: {text}\n");
    let expected = engine::token::reply_text(declare::VERSION, &prompt, u64::from(tokens));
    expect_that!(response.is_complete_chat(), eq(true), "{}", response.body);
    expect_that!(response.chat_text(), eq(&expected));
    cluster.stop().await;
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_reservation_runs_once_whichever_domain_serves_it() -> Result<()> {
    let cluster = start().await;
    cluster.apply([change::Action::TakeOut("b".to_owned())]).await.or_fail()?;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let caller = Caller::new(&declare::TEAMS[1]);
    for (index, node) in cluster.callers().into_iter().enumerate() {
        let call = Call {
            method: Method::POST,
            path: "/services/desk/reservations".to_owned(),
            body: format!(r#"{{"item":"bolt {index}","quantity":1}}"#),
            key: None,
        };
        let response = caller.send(node, &call).await.or_fail()?;
        expect_that!(response.status.as_u16(), eq(201), "{}", response.body);
    }
    let counters = cluster.environment.plain().counters();
    let runs: Vec<u64> = counters.runs_by_request.values().copied().collect();
    expect_that!(runs, eq(&vec![1; 4]));
    cluster.stop().await;
    Ok(())
}
