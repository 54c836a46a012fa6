//! Resuming a stream in another failure domain when all replicas of its own domain are lost.

use std::time::Duration;

use cuminward_standin::{
    engine::{self, control::Fault},
    environment,
};
use cuminward_testkit::{
    caller::Caller,
    cluster::{self, Cluster},
    declare,
};
use googletest::prelude::*;

/// Time within which replicas have to be formed.
const FORMATION_TIMEOUT: Duration = Duration::from_secs(15);

/// Length of the reply, in tokens: streaming it takes longer than noticing the lost replicas.
const TOKENS: u32 = 120;

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_resumes_in_another_domain_when_both_replicas_of_its_own_are_lost() -> Result<()> {
    let options = cluster::Options {
        environment: environment::Options {
            domains: vec![
                environment::Domain::new("a", "r", 2),
                environment::Domain::new("b", "r", 2),
            ],
            ..environment::Options::default()
        },
        nodes_per_domain: 1,
        ..cluster::Options::default()
    };
    let cluster = Cluster::start(options).await.expect("loopback ports are free");
    cluster.declare(2, 1, &declare::Limits::default()).await.or_fail()?;
    cluster.wait_replicas(2, FORMATION_TIMEOUT).await.or_fail()?;
    let node = cluster.node("a-0").addresses().callers;
    let caller = Caller::new(&declare::TEAMS[0]);
    let text = "a long tail";
    let chat = tokio::spawn(async move { caller.chat(node, text, TOKENS).await });
    let has_started = || cluster.environment.fleet().counters().tokens > 5;
    expect_that!(cluster::wait(FORMATION_TIMEOUT, has_started).await, eq(true));
    for host in ["a-f0-h0", "a-f0-h1"] {
        cluster.environment.fleet().inject(&Fault::Kill { host: host.to_owned() }).await;
    }
    let response = chat.await.or_fail()?.or_fail()?;
    let prompt = format!("user: {text}\n");
    let expected = engine::token::reply_text(declare::VERSION, &prompt, u64::from(TOKENS));
    expect_that!(response.is_complete_chat(), eq(true), "{}", response.body);
    expect_that!(response.chat_text(), eq(&expected));
    cluster.stop().await;
    Ok(())
}
