//! Failure domains that are taken out, brought back, or lose their nodes.

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
const FORMING: Duration = Duration::from_secs(15);

/// Time after which a domain that was taken out may receive no new request.
const OUT_BOUND: Duration = Duration::from_secs(3);

/// Time within which a request that another domain serves has to be answered.
const ANSWER: Duration = Duration::from_secs(2);

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
    cluster.declare(1, 4, &declare::Limits::default()).await.expect("declarations are right");
    cluster.wait_replicas(1, FORMING).await.expect("four hosts form one replica");
    cluster
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn other_domains_serve_for_one_that_was_taken_out() -> Result<()> {
    let cluster = start().await;
    let taken = "a".to_owned();
    cluster.apply([change::Action::TakeOut(taken.clone())]).await.or_fail()?;
    tokio::time::sleep(OUT_BOUND).await;
    let bound = Instant::now();
    let caller = Caller::new(&declare::TEAMS[0]);
    let node = cluster.node("a-0").addresses().callers;
    for index in 0..5 {
        let begun = Instant::now();
        let answer = caller.chat(node, &format!("kite {index}"), 8).await.or_fail()?;
        expect_that!(answer.is_complete_chat(), eq(true), "{}", answer.body);
        let stock = Call { path: "/services/desk/stock/paper".to_owned(), ..Call::default() };
        let answer = caller.send(node, &stock).await.or_fail()?;
        expect_that!(answer.status.as_u16(), eq(200), "{}", answer.body);
        expect_that!(begun.elapsed(), lt(ANSWER));
    }
    expect_that!(cluster.environment.fleet().begun_in_domain_since(&taken, bound), eq(0));
    expect_that!(cluster.environment.plain().begun_in_domain_since(&taken, bound), eq(0));
    cluster.apply([change::Action::BringBack(taken.clone())]).await.or_fail()?;
    let back = || cluster.node("a-0").state().view.load().table.candidates().count() == 1;
    expect_that!(cluster::wait(FORMING, back).await, eq(true));
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
    let used = || ["b-0", "b-1"].into_iter().find(|it| cluster.node(it).state().in_flight() == 1);
    expect_that!(cluster::wait(ANSWER, || used().is_some()).await, eq(true));
    let used = used().or_fail()?;
    tokio::time::sleep(Duration::from_millis(200)).await;
    cluster.remove(used).or_fail()?.kill();
    let answer = chat.await.or_fail()?.or_fail()?;
    let prompt = format!("user: {text}\n");
    let expected = engine::token::reply_text(declare::VERSION, &prompt, u64::from(tokens));
    expect_that!(answer.is_complete_chat(), eq(true), "{}", answer.body);
    expect_that!(answer.chat_text(), eq(&expected));
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
        let answer = caller.send(node, &call).await.or_fail()?;
        expect_that!(answer.status.as_u16(), eq(201), "{}", answer.body);
    }
    let counters = cluster.environment.plain().counters();
    let runs: Vec<u64> = counters.runs_by_request.values().copied().collect();
    expect_that!(runs, eq(&vec![1; 4]));
    cluster.stop().await;
    Ok(())
}
