//! Sound hosts that send nothing for a while and go on.

use std::time::Duration;

use cuminward_adapter_fake::{
    caller::Response,
    catalog::{Retry, Route},
    entry::Entry,
    header,
    host::{self, Behaviour},
};
use googletest::prelude::*;
use tokio::time;

use crate::site::{self, EVENTS, Site};

const MODEL: (&str, &str) = (header::MODEL, site::MODEL);

/// Silence of a sound host.
const SILENCE: Duration = Duration::from_millis(1200);

/// Number of hosts of a replica.
const SIZE: usize = 2;

struct Case {
    name: &'static str,
    /// Number of replicas of the site.
    replicas: usize,
    /// Behaviours for the requests that reach the replicas, one after the other.
    script: Vec<Behaviour>,
}

/// Returns a route whose requests outlast several silences.
fn patient_route() -> Route {
    Route {
        timeout: Duration::from_secs(6),
        latency_objective: Some(Duration::from_millis(300)),
        ..site::route("/long-chat/", Retry::Resumable, site::ENGINE)
    }
}

/// Sends a request for a stream to the replicas of a case, and returns the response and how many requests each host
/// received.
async fn play(case: &Case, route: Route, node: &str) -> Result<(Response, Vec<usize>)> {
    let site = Site::with_engine_hosts(case.replicas * SIZE).await;
    site.join_replicas(1, SIZE, Some(route));
    let node = site.node(node).await;
    host::share_script(&site.replicas, case.script.clone());
    let headers = [MODEL, (header::DEADLINE_MS, "6000")];
    let answer = node.send("POST", "/long-chat/1", &headers, "prompt").await.or_fail()?;
    let received = site.replicas.iter().map(|it| it.received().len()).collect();
    Ok((answer, received))
}

/// Guards against streams that were broken off during a silence of the last upstream that they could use.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_silence_ends_no_stream_that_can_not_go_on_elsewhere() -> Result<()> {
    let silent_after = |event| Behaviour::StreamFallingSilent(event, SILENCE);
    let cases = [
        Case { name: "no other replica", replicas: 1, script: vec![silent_after(3)] },
        Case {
            name: "no other replica, before the first event",
            replicas: 1,
            script: vec![silent_after(0)],
        },
        Case {
            name: "last attempt",
            replicas: 3,
            script: vec![Behaviour::StreamUntil(3), silent_after(5)],
        },
        Case {
            name: "last attempt, before its first event",
            replicas: 3,
            script: vec![Behaviour::StreamUntil(3), silent_after(3)],
        },
        Case {
            name: "last attempt, nothing sent to the caller",
            replicas: 3,
            script: vec![Behaviour::StreamUntil(0), silent_after(0)],
        },
        Case {
            name: "members answer",
            replicas: 1,
            script: vec![Behaviour::StreamPausing(3, 2 * SILENCE + Duration::from_millis(600))],
        },
        Case {
            name: "silent at both attempts",
            replicas: 3,
            script: vec![silent_after(3), silent_after(5)],
        },
    ];
    for case in cases {
        let (answer, _) = play(&case, patient_route(), "silence").await?;
        expect_that!(answer.status.as_u16(), eq(200), "{}", case.name);
        expect_that!(answer.is_complete, eq(true), "{}", case.name);
        expect_that!(answer.body, eq(&site::events(1..=EVENTS)), "{}", case.name);
    }
    Ok(())
}

/// Guards against streams that were moved from one silent sound host to the next until no attempt was left, and then cut
/// by the failure of the last one.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn the_last_attempt_is_not_spent_on_a_silence_of_a_sound_host() -> Result<()> {
    let silent_after = |event| Behaviour::StreamFallingSilent(event, SILENCE);
    let cases = [
        Case {
            name: "in the middle",
            replicas: 4,
            script: vec![silent_after(2), silent_after(4), Behaviour::StreamUntil(6)],
        },
        Case {
            name: "after a failure",
            replicas: 4,
            script: vec![Behaviour::StreamUntil(2), silent_after(4), Behaviour::StreamUntil(6)],
        },
    ];
    for case in cases {
        let route = Route { max_attempts: 3, ..patient_route() };
        let (answer, _) = play(&case, route, "last-attempt").await?;
        expect_that!(answer.is_complete, eq(true), "{}", case.name);
        expect_that!(answer.body, eq(&site::events(1..=EVENTS)), "{}", case.name);
    }
    Ok(())
}

/// Guards against streams that were cut, or refused, since they had left a silent sound host for one that then failed: no
/// host was left to try, though the first one went on a moment later.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_returns_to_a_host_that_was_silent_if_the_next_one_fails() -> Result<()> {
    let silent_after = |event| Behaviour::StreamFallingSilent(event, SILENCE);
    let refused = [const { Behaviour::Refuse }; 4];
    let cases = [
        Case {
            name: "cut off elsewhere",
            replicas: 3,
            script: vec![silent_after(3), Behaviour::StreamUntil(5)],
        },
        Case {
            name: "cut off elsewhere before the first event",
            replicas: 3,
            script: vec![silent_after(0), Behaviour::StreamUntil(0)],
        },
        Case {
            name: "refused elsewhere",
            replicas: 5,
            script: [silent_after(3)].into_iter().chain(refused).collect(),
        },
        Case {
            name: "refused by the only other host before the first event",
            replicas: 2,
            script: vec![silent_after(0), Behaviour::Refuse],
        },
    ];
    for case in cases {
        let (answer, received) = play(&case, patient_route(), "return").await?;
        expect_that!(answer.status.as_u16(), eq(200), "{}", case.name);
        expect_that!(answer.is_complete, eq(true), "{}", case.name);
        expect_that!(answer.body, eq(&site::events(1..=EVENTS)), "{}", case.name);
        let most = received.into_iter().max();
        expect_that!(most, some(eq(2)), "{}: requests at the first host", case.name);
    }
    Ok(())
}

/// Guards against streams that wait in vain for a third host where there are two, although attempts are left.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_returns_to_a_host_that_was_silent_if_there_is_no_other() -> Result<()> {
    let case = Case {
        name: "two replicas",
        replicas: 2,
        script: vec![Behaviour::StreamFallingSilent(3, SILENCE), Behaviour::StreamUntil(5)],
    };
    let route = Route { max_attempts: 3, ..patient_route() };
    let (answer, _) = play(&case, route, "return-of-two").await?;
    expect_that!(answer.is_complete, eq(true));
    expect_that!(answer.body, eq(&site::events(1..=EVENTS)));
    Ok(())
}

struct Dissolution {
    name: &'static str,
    silence: Duration,
    is_dissolved: bool,
}

/// Guards against replicas that were dissolved, and the streams at them cut, while a member was silent.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_short_silence_of_a_member_dissolves_no_replica() -> Result<()> {
    let cases = [
        Dissolution { name: "sound host", silence: SILENCE, is_dissolved: false },
        Dissolution { name: "lost host", silence: 4 * SILENCE, is_dissolved: true },
    ];
    for case in cases {
        let site = Site::with_engine_hosts(SIZE).await;
        site.join_replicas(1, SIZE, Some(patient_route()));
        let [head, member] = &site.replicas[..] else { return fail!("the site has two hosts") };
        let node = site.node("dissolution").await;
        head.enqueue(Behaviour::StreamPausing(3, SILENCE));
        let headers = [MODEL, (header::DEADLINE_MS, "6000")];
        let fall_silent = async {
            time::sleep(Duration::from_millis(100)).await;
            member.fall_silent(case.silence);
            time::sleep(case.silence).await;
        };
        let sending = node.send("POST", "/long-chat/1", &headers, "prompt");
        let (answer, ()) = tokio::join!(sending, fall_silent);
        expect_that!(answer.or_fail()?.is_complete, eq(true), "{}", case.name);
        let leaves = |it: &serde_json::Value| it["operation"] == "leave";
        let is_dissolved = head.orders().iter().any(leaves);
        expect_that!(is_dissolved, eq(case.is_dissolved), "{}", case.name);
    }
    Ok(())
}

/// Guards against idempotent requests that failed although the only upstream would have responded in time.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_slow_upstream_keeps_a_request_that_no_other_can_take() -> Result<()> {
    let site = Site::start().await;
    let [first, second] = &site.plain[..] else { return fail!("the site has two plain hosts") };
    let draining = Entry { is_draining: true, ..site::plain_entry(second) };
    site.store.put_entry(&second.id, &draining);
    let node = site.node("slow").await;
    first.enqueue(Behaviour::RespondAfter(SILENCE, String::from("late")));
    let answer = node.get("/desk/1", &[]).await.or_fail()?;
    expect_that!(answer.status.as_u16(), eq(200));
    expect_that!(answer.body, eq("late"));
    expect_that!(first.received().len(), eq(1));
    Ok(())
}
