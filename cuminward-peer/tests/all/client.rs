//! Tests of `client` with a real `server`.

use std::time::{Duration, Instant};

use cuminward_once::claim;
use cuminward_peer::{client, handshake, message, server};
use cuminward_route::admission;
use googletest::prelude::*;
use tokio::{net::TcpListener, time};

use crate::node::{self, NAME, Node};

#[gtest]
#[tokio::test]
async fn calls_are_answered() {
    let node = Node::start(server::Options::default()).await;
    let pool = node::pool(&node.address, client::Options::default());

    expect_that!(pool.hello(NAME, node::hello("n1")).await, ok(eq(&node::hello(NAME))));
    let config = pool.config(NAME, 4, 3).await.expect("the node answers");
    let offsets: Vec<_> = config.records.iter().map(|it| it.offset).collect();
    expect_that!(offsets, elements_are![eq(&4), eq(&5), eq(&6)]);
    let observations = pool.observations(NAME, 7, 1).await.expect("the node answers");
    expect_that!(observations.changed, elements_are![eq(&node::report("h1"))]);
    expect_that!(observations.ages, elements_are![eq(&7)]);
    let admission =
        message::Admission { from: String::from("n1"), incarnation: 1, messages: vec![batch()] };
    expect_that!(pool.admission(NAME, admission.clone()).await, ok(eq(&admission)));
    let claim = claim::Claim { hash: [1; 16], issuer: String::from("n1") };
    let verdicts = pool.claim_keys(NAME, vec![claim; 4]).await.expect("the node answers");
    expect_that!(verdicts.len(), eq(4));
    expect_that!(verdicts[1], eq(&claim::Verdict::Repeated { by: String::from("n3") }));
    let events = pool.events(NAME, 10, 2, Some(String::from("r"))).await;
    expect_that!(events.map(|it| it.next), ok(eq(&12)));

    expect_that!(node.counter.calls(), eq(6));
    expect_that!(pool.counter().calls(), eq(6));
    expect_that!(pool.counter().failures(), eq(0));
    expect_that!(pool.counter().sent(), eq(node.counter.received()));
}

#[gtest]
#[tokio::test]
async fn calls_to_unreachable_nodes_are_not_sent() {
    let options = client::Options {
        connect_timeout: Duration::from_millis(100),
        backoff: Duration::from_secs(100),
        ..client::Options::default()
    };
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port is free");
    let unresponsive = listener.local_addr().expect("the listener is bound").to_string();
    let node = Node::start(server::Options::default()).await;
    struct Case {
        name: &'static str,
        address: String,
        secret: &'static str,
        cause: &'static str,
    }
    let cases = [
        Case {
            name: "closed port",
            address: String::from("127.0.0.1:1"),
            secret: "kites",
            cause: "failed",
        },
        Case {
            name: "unresponsive",
            address: unresponsive,
            secret: "kites",
            cause: "connection attempt timed out",
        },
        Case {
            name: "other secret",
            address: node.address.clone(),
            secret: "paper",
            cause: "doesn't know the secret",
        },
    ];
    for case in cases {
        let secret = handshake::Secret::new(case.secret);
        let pool = node::pool_with(&case.address, options.clone(), secret);
        for _ in 0..2 {
            let answer = pool.hello(NAME, node::hello("n1")).await;
            let cause = contains_substring(case.cause);
            expect_that!(
                answer,
                err(matches_pattern!(client::Error::Unreachable { message: cause })),
                "{}",
                case.name
            );
        }
        expect_that!(
            pool.hello("n9", node::hello("n1")).await,
            err(eq(&client::Error::UnknownNode))
        );
    }
    expect_that!(node.counter.calls(), eq(0));
    // The server detects the closed connection slightly later than the client.
    let start = Instant::now();
    while node.sink.count(1804) == 0 && start.elapsed() < Duration::from_secs(5) {
        time::sleep(Duration::from_millis(2)).await;
    }
    expect_that!(node.sink.count(1804), eq(1));
}

#[gtest]
#[tokio::test]
async fn client_reconnects_to_restarted_node() {
    let options = client::Options {
        backoff: Duration::from_millis(5),
        max_backoff: Duration::from_millis(10),
        ..client::Options::default()
    };
    let node = Node::start(server::Options::default()).await;
    let pool = node::pool(&node.address, options);
    expect_that!(pool.hello(NAME, node::hello("n1")).await, ok(anything()));
    let address = node.stop().await;
    expect_that!(pool.hello(NAME, node::hello("n1")).await, err(anything()));
    let _node = Node::start_at(&address, server::Options::default()).await;
    let mut attempts = 0;
    while pool.hello(NAME, node::hello("n1")).await.is_err() && attempts < 1000 {
        attempts += 1;
        time::sleep(Duration::from_millis(5)).await;
    }
    expect_that!(pool.hello(NAME, node::hello("n1")).await, ok(anything()));
}

#[gtest]
#[tokio::test]
async fn call_after_timeout_succeeds() {
    let node = Node::start(server::Options::default()).await;
    let pool = node::pool(&node.address, client::Options::default());
    let answer = pool.reply(NAME, [0; 16], Duration::from_millis(50)).await;
    expect_that!(answer, err(eq(&client::Error::Timeout)));
    expect_that!(pool.hello(NAME, node::hello("n1")).await, ok(anything()));
}

/// Returns admission messages with each optional field once set and once empty.
fn batch() -> admission::message::Batch {
    let started = Some(admission::message::Started { incarnation: 3, age: Duration::from_secs(4) });
    let holdings = admission::message::Holdings {
        upstream: String::from("g#1"),
        join: 1,
        session: None,
        report: 2,
        ack: 3,
        reset: 4,
        in_use: 5,
        allowance: 6,
        reserve: 7,
        waiting: 8,
        sent: Duration::from_millis(9),
        started,
    };
    let joined =
        admission::message::Holdings { session: Some(1), started: None, ..holdings.clone() };
    admission::message::Batch {
        node: String::from("n1"),
        holdings: vec![holdings, joined],
        ..admission::message::Batch::default()
    }
}
