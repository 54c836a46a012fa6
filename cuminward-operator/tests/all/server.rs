//! Tests of server and client over loopback sockets.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use cuminward_core::{
    catalog::{Availability, Domain},
    change::Action,
};
use cuminward_operator::{client, proto, server::Receipt, status::Error};
use futures::StreamExt;
use googletest::prelude::*;

use crate::fake::{self, Fault, Log};

fn declare_domain(name: &str) -> Action {
    let name = name.to_owned();
    Action::DeclareDomain(Domain { name, region: "r".to_owned(), service: Availability::InService })
}

/// Returns a client of the nodes at the given addresses.
fn connect(addresses: &[SocketAddr], token: &str) -> client::Client {
    let options = client::OptionsBuilder::default()
        .endpoints(addresses.iter().map(|it| format!("http://{it}")).collect::<Vec<_>>())
        .token(token.to_owned())
        .retry_delay(Duration::from_millis(10))
        .build()
        .expect("all settings are given");
    client::Client::new(options).expect("the settings are well formed")
}

fn accepted(revision: u64) -> std::result::Result<Receipt, Error> {
    Ok(Receipt { revision, repeated: false })
}

#[gtest]
#[tokio::test]
async fn changes_are_validated_and_read_back() -> Result<()> {
    let node = fake::start(&Arc::default(), &[]).await;
    let client = connect(&[node.address], "w");
    let apply = |id: &str, expected, action| client.apply(id.to_owned(), expected, action);
    expect_that!(apply("c1", None, declare_domain("a")).await, eq(&accepted(1)));
    expect_that!(apply("c2", Some(1), Action::TakeOut("a".to_owned())).await, eq(&accepted(2)));
    let conflict =
        Error::Conflict { revision: 2, change: "c2".to_owned(), operator: "ana".to_owned() };
    let late = apply("c3", Some(1), Action::BringBack("a".to_owned())).await;
    expect_that!(late, err(eq(&conflict)));
    let invalid = apply("c4", None, Action::TakeOut("b".to_owned())).await;
    expect_that!(invalid, err(eq(&Error::Invalid("domain `b` isn't declared".to_owned()))));
    let again = apply("c1", None, declare_domain("a")).await;
    expect_that!(again, ok(eq(&Receipt { revision: 1, repeated: true })));
    let catalog = client.catalog().await?;
    expect_that!(catalog.in_service("a"), eq(false));
    let history = client.history(2).await?;
    let verdicts: Vec<_> = history.iter().map(|it| (it.change.as_str(), it.verdict())).collect();
    let (conflict, invalid) = (proto::Verdict::Conflict, proto::Verdict::Invalid);
    expect_that!(verdicts, eq(&vec![("c3", conflict), ("c4", invalid)]));
    let late = apply("c3", Some(1), Action::BringBack("a".to_owned())).await;
    expect_that!(late, err(matches_pattern!(Error::Conflict { .. })));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn a_lost_response_is_resolved_by_the_change_id() {
    let log: Arc<Log> = Arc::default();
    let first = fake::start(&log, &[Fault::LostResponse, Fault::LogUnavailable]).await;
    let second = fake::start(&log, &[Fault::LogUnavailable]).await;
    let client = connect(&[first.address, second.address], "w");
    let applied = client.apply("c1".to_owned(), None, declare_domain("a")).await;
    expect_that!(applied, ok(eq(&Receipt { revision: 1, repeated: true })));
}

#[gtest]
#[tokio::test]
async fn errors_tell_whether_the_change_was_applied() -> Result<()> {
    struct Case {
        faults: &'static [Fault],
        token: &'static str,
        expected: Error,
    }
    let unavailable = "the log is unavailable".to_owned();
    let lost = "the response was lost".to_owned();
    let cases = [
        Case {
            faults: &[Fault::LogUnavailable; 3],
            token: "w",
            expected: Error::Unavailable(unavailable),
        },
        Case {
            faults: &[Fault::LostResponse, Fault::LogUnavailable, Fault::LogUnavailable],
            token: "w",
            expected: Error::OutcomeUnknown(lost),
        },
        Case {
            faults: &[],
            token: "r",
            expected: Error::Forbidden("operator `luis` may only read".to_owned()),
        },
        Case {
            faults: &[],
            token: "x",
            expected: Error::Unauthenticated("no operator has this token".to_owned()),
        },
    ];
    for case in cases {
        let node = fake::start(&Arc::default(), case.faults).await;
        let client = connect(&[node.address], case.token);
        let result = client.apply("c1".to_owned(), None, declare_domain("a")).await;
        expect_that!(result, err(eq(&case.expected)));
    }
    Ok(())
}

#[gtest]
#[tokio::test]
async fn a_closed_port_is_unreachable_and_the_next_node_answers() {
    let closed = "127.0.0.1:1".parse().expect("the address is valid");
    let alone = connect(&[closed], "w").apply("c1".to_owned(), None, declare_domain("a")).await;
    expect_that!(alone, err(matches_pattern!(Error::Unreachable(_))));
    let node = fake::start(&Arc::default(), &[]).await;
    let client = connect(&[closed, node.address], "w");
    expect_that!(client.apply("c1".to_owned(), None, declare_domain("a")).await, eq(&accepted(1)));
}

#[gtest]
#[tokio::test]
async fn event_streams_end_with_the_server() -> Result<()> {
    let node = fake::start(&Arc::default(), &[]).await;
    let client = connect(&[node.address], "r");
    let request = proto::FollowEventsRequest { request: "q1".to_owned(), from_hlc: 0 };
    let answer = client.follow(&request).await.pop().expect("there is one node");
    let mut events = answer.result?;
    let event = events.next().await.expect("one event is sent")?;
    expect_that!(event, matches_pattern!(proto::Event { number: eq(&7), request: eq("q1"), .. }));
    node.shutdown.cancel();
    expect_that!(events.next().await.is_none(), eq(true));
    node.task.await?;
    Ok(())
}
