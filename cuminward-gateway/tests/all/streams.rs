//! Streams of events: failover to another replica and resumption.

use std::time::{Duration, Instant};

use cuminward_adapter_fake::{
    entry::Entry,
    header,
    host::{self, Behaviour},
};
use googletest::prelude::*;
use tokio::time;

use crate::site::{self, EVENTS, Site, events};

const MODEL: (&str, &str) = (header::MODEL, site::MODEL);

struct Case {
    name: &'static str,
    script: Vec<Behaviour>,
    end: End,
    attempts: usize,
}

/// How the caller's response ends.
#[derive(Clone, Copy)]
struct End {
    status: u16,
    is_complete: bool,
    /// Last event that the caller receives; 0 if none.
    last: u64,
}

/// All events arrive.
const COMPLETE: End = End { status: 200, is_complete: true, last: EVENTS };

/// The response is a failure.
const FAILED: End = End { status: 502, is_complete: true, last: 0 };

/// The response is broken off after an event.
const fn broken_after(last: u64) -> End {
    End { status: 200, is_complete: false, last }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_continues_at_another_replica_after_its_last_event() -> Result<()> {
    let cases = [
        Case { name: "complete", script: vec![], end: COMPLETE, attempts: 1 },
        Case {
            name: "cut off midway",
            script: vec![Behaviour::StreamUntil(3)],
            end: COMPLETE,
            attempts: 2,
        },
        Case {
            name: "cut off before the first event",
            script: vec![Behaviour::StreamUntil(0)],
            end: COMPLETE,
            attempts: 2,
        },
        Case {
            name: "cut off twice",
            script: vec![Behaviour::StreamUntil(3), Behaviour::StreamUntil(5)],
            end: broken_after(5),
            attempts: 2,
        },
        Case {
            name: "refused at first",
            script: vec![Behaviour::Refuse],
            end: COMPLETE,
            attempts: 2,
        },
        Case {
            name: "lost twice before the first event",
            script: vec![Behaviour::StreamUntil(0), Behaviour::StreamUntil(0)],
            end: FAILED,
            attempts: 2,
        },
    ];
    for case in cases {
        check(case).await?;
    }
    Ok(())
}

/// Plays a case on a site of its own.
async fn check(case: Case) -> Result<()> {
    let site = Site::start().await;
    let node = site.node("streams").await;
    host::share_script(&site.replicas, case.script);
    let answer = node.send("POST", "/chat/1", &[MODEL], "prompt").await.or_fail()?;
    expect_that!(answer.status.as_u16(), eq(case.end.status), "{}", case.name);
    expect_that!(answer.is_complete, eq(case.end.is_complete), "{}", case.name);
    expect_that!(answer.body, eq(&events(1..=case.end.last)), "{}", case.name);
    let received: Vec<_> = site.replicas.iter().flat_map(|it| it.received()).collect();
    expect_that!(received.len(), eq(case.attempts), "{}", case.name);
    Ok(())
}

/// Guards against streams that ended as complete without an event when the second upstream failed.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_failure_of_the_second_upstream_does_not_complete_a_stream() -> Result<()> {
    let cases = [
        Case {
            name: "before the first event",
            script: vec![Behaviour::StreamUntil(0), Behaviour::Fail(500)],
            end: FAILED,
            attempts: 2,
        },
        Case {
            name: "a success that isn't a stream",
            script: vec![Behaviour::StreamUntil(0), Behaviour::Respond(String::from("text"))],
            end: FAILED,
            attempts: 2,
        },
        Case {
            name: "midway",
            script: vec![Behaviour::StreamUntil(3), Behaviour::Fail(500)],
            end: broken_after(3),
            attempts: 2,
        },
    ];
    for case in cases {
        check(case).await?;
    }
    Ok(())
}

/// Returns a behaviour whose response ends with its connection.
fn unframed(behaviour: Behaviour) -> Behaviour {
    Behaviour::Unframed(Box::new(behaviour))
}

/// Guards against incident inc1, in which streams that ended inside an event reached callers as complete.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_ends_with_its_connection_inside_an_event_was_broken_off() -> Result<()> {
    let cases = [
        Case {
            name: "complete",
            script: vec![unframed(Behaviour::Stream)],
            end: COMPLETE,
            attempts: 1,
        },
        Case {
            name: "ends midway",
            script: vec![unframed(Behaviour::StreamUntil(3))],
            end: COMPLETE,
            attempts: 2,
        },
        Case {
            name: "ends inside the first event",
            script: vec![unframed(Behaviour::StreamUntil(0))],
            end: COMPLETE,
            attempts: 2,
        },
        Case {
            name: "ends right after the head",
            script: vec![unframed(Behaviour::StreamNothing)],
            end: COMPLETE,
            attempts: 2,
        },
        Case {
            name: "ends midway twice",
            script: vec![unframed(Behaviour::StreamUntil(3)), unframed(Behaviour::StreamUntil(5))],
            end: broken_after(5),
            attempts: 2,
        },
        Case {
            name: "ends inside the first event twice",
            script: vec![unframed(Behaviour::StreamUntil(0)), unframed(Behaviour::StreamUntil(0))],
            end: FAILED,
            attempts: 2,
        },
    ];
    for case in cases {
        check(case).await?;
    }
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_resumes_gets_the_events_after_its_last_one() -> Result<()> {
    let site = Site::start().await;
    let node = site.node("resumes").await;
    host::share_script(&site.replicas, vec![Behaviour::StreamUntil(6)]);
    let headers = [MODEL, ("last-event-id", "4")];
    let answer = node.send("POST", "/chat/1", &headers, "prompt").await.or_fail()?;
    expect_that!(answer.body, eq(&events(5..=EVENTS)));
    expect_that!(answer.is_complete, eq(true));
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_for_a_model_without_replicas_is_rejected() -> Result<()> {
    let site = Site::start().await;
    let node = site.node("unserved").await;
    let headers = [(header::MODEL, "other")];
    let started = Instant::now();
    let answer = node.send("POST", "/chat/1", &headers, "prompt").await.or_fail()?;
    expect_that!(answer.status.as_u16(), eq(503));
    expect_that!(started.elapsed(), lt(Duration::from_millis(150)), "rejected without a wait");
    expect_that!(answer.headers.contains_key("retry-after"), eq(true));
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_has_begun_waits_for_a_replica_as_long_as_its_caller() -> Result<()> {
    let site = Site::start().await;
    let [first, second] = &site.replicas[..] else { return fail!("the site has two replicas") };
    let closed = Entry { engine: None, ..site::replica_entry(second) };
    site.store.put_entry(&second.id, &closed);
    let node = site.node("waits").await;
    first.enqueue(Behaviour::StreamUntil(3));
    let return_second = async {
        time::sleep(Duration::from_millis(700)).await;
        site.store.put_entry(&second.id, &site::replica_entry(second));
    };
    let sending = node.send("POST", "/chat/1", &[MODEL], "prompt");
    let (answer, ()) = tokio::join!(sending, return_second);
    let answer = answer.or_fail()?;
    expect_that!(answer.is_complete, eq(true));
    expect_that!(answer.body, eq(&events(1..=EVENTS)));
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_stays_at_a_slow_replica_if_no_other_has_room() -> Result<()> {
    let site = Site::empty().await;
    site.join_replicas(1, 2, None);
    let node = site.node("stays").await;
    let slow = Behaviour::RespondAfter(Duration::from_millis(900), String::from("late"));
    site.replicas[0].enqueue(slow);
    let answer = node.send("POST", "/chat/1", &[MODEL], "prompt").await.or_fail()?;
    expect_that!(answer.status.as_u16(), eq(200));
    expect_that!(answer.body, eq("late"));
    expect_that!(site.replicas[0].received().len(), eq(1));
    Ok(())
}
