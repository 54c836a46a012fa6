//! Hosts that name the number of requests per second that they take from all nodes together.

use std::{slice, time::Duration};

use cuminward_adapter_fake::{
    catalog::{Retry, Route},
    entry::Entry,
    header,
    host::{Behaviour, Host},
};
use cuminward_serving::{nodes::List, notice};
use futures::{StreamExt, future, stream};
use googletest::prelude::*;
use serde_json::json;
use tokio::time::{self, Instant};
use xxhash_rust::xxh3;

use crate::{
    load::{
        Answer, CONCURRENT_CASES, HOSTS, LOAD, RESPONSE_TIME, Service, arrivals, drive, handle_all,
        send, start_deaf_nodes, start_nodes,
    },
    site::{self, Node, Site},
};

/// Time from when a host first named a limit until the limit holds.
const STABLE_WINDOW: Duration = Duration::from_secs(3);

/// Period in which the requests to a host are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Returns the maximum number of requests that a host may get in [`WINDOW`].
fn allowed(limit: f64) -> usize {
    (1.5 * limit * WINDOW.as_secs_f64() + 5.0).floor() as usize
}

/// Which hosts of a service name a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Limited {
    /// One host, beside others without a limit.
    One,
    All,
}

/// Returns the largest number of arrivals within [`WINDOW`], from [`STABLE_WINDOW`] after the first one on.
fn max_in_window(arrivals: &[Instant]) -> usize {
    let Some(first) = arrivals.first() else { return 0 };
    let stable = arrivals.partition_point(|it| *it < *first + STABLE_WINDOW);
    let counts = (stable..arrivals.len()).map(|start| {
        let end = arrivals[start] + WINDOW;
        arrivals.partition_point(|it| *it < end) - start
    });
    counts.max().unwrap_or(0)
}

/// What the nodes of a case know of each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Exchange {
    /// They hear each other.
    Messages,
    /// They know of each other from the store, and hear nothing from each other.
    ListOnly,
}

/// A load at which each host of a service would get several times what a limited one takes.
#[derive(Debug, Clone, Copy)]
struct Case {
    nodes: usize,
    exchange: Exchange,
    service: Service,
    limited: Limited,
    /// Limit of each limited host, in requests per second.
    limit: f64,
}

/// What happened in a case.
struct Outcome {
    /// Arrivals at each limited host.
    arrivals: Vec<Vec<Instant>>,
    answers: Vec<Answer>,
}

/// Number of slots of a replica.
const REPLICA_SLOTS: u32 = 30;

/// Time for which the callers of a case send requests.
const CASE_DURATION: Duration = Duration::from_secs(9);

/// Case with nodes that hear each other.
const HEARING: Case = Case {
    nodes: 1,
    exchange: Exchange::Messages,
    service: Service::Plain,
    limited: Limited::One,
    limit: 2.0,
};

async fn play(case: Case) -> Outcome {
    let site = Site::with_hosts(HOSTS, HOSTS).await;
    // The slots of a replica aren't what is scarce, also on a busy machine.
    site.configure_slots(1, REPLICA_SLOTS);
    let (nodes, _views) = match case.exchange {
        Exchange::Messages => (start_nodes(&site, case.nodes).await, Vec::new()),
        Exchange::ListOnly => start_deaf_nodes(&site, case.nodes).await,
    };
    let response = Behaviour::RespondAfter(RESPONSE_TIME, String::from("ok"));
    handle_all(&site.plain, &response);
    let hosts = case.service.hosts(&site);
    let limited = match case.limited {
        Limited::One => &hosts[..1],
        Limited::All => hosts,
    };
    limited.iter().for_each(|it| it.name_limit(Some(&case.limit.to_string())));
    let answers = drive(&nodes, case.service, LOAD, CASE_DURATION).await;
    Outcome { arrivals: limited.iter().map(arrivals).collect(), answers }
}

/// Checks that limited hosts get no more than they take and at least half of it, and that no request fails if there is
/// a host without a limit.
fn check(case: Case, outcome: &Outcome) {
    let stable_time = (CASE_DURATION - STABLE_WINDOW).as_secs_f64();
    for arrivals in &outcome.arrivals {
        expect_that!(max_in_window(arrivals), le(allowed(case.limit)), "{case:?}");
        let stable = arrivals.iter().filter(|it| **it >= arrivals[0] + STABLE_WINDOW).count();
        if case.limit >= 2.0 {
            expect_that!(stable as f64, ge(case.limit * stable_time / 2.0), "{case:?}");
        }
    }
    let failed = outcome.answers.iter().filter(|it| match case.limited {
        Limited::One => !it.is_served(),
        Limited::All => !it.is_served() && it.status() != Some(503),
    });
    let failed: Vec<_> = failed.map(|it| (&it.path, it.status(), it.elapsed)).collect();
    expect_that!(failed, is_empty(), "{case:?}");
}

async fn play_and_check(cases: impl IntoIterator<Item = Case>) {
    let playing = stream::iter(cases).map(|case| async move { (case, play(case).await) });
    let outcomes: Vec<_> = playing.buffered(CONCURRENT_CASES).collect().await;
    outcomes.iter().for_each(|(case, outcome)| check(*case, outcome));
}

/// Guards against nodes that together send a host more requests than the limit that it names, against limited hosts
/// that get next to nothing, and against requests that fail although other hosts have no limit.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_host_that_names_a_limit_gets_no_more_from_all_nodes_together() {
    let (all, engine) = (Limited::All, Service::Engine);
    let cases = [
        Case { nodes: 1, limit: 2.0, ..HEARING },
        Case { nodes: 1, limit: 2.0, service: engine, limited: all, ..HEARING },
        Case { nodes: 3, limit: 0.5, limited: all, ..HEARING },
        Case { nodes: 3, limit: 2.0, service: engine, ..HEARING },
        Case { nodes: 6, limit: 5.0, ..HEARING },
        Case { nodes: 1, limit: 0.5, service: engine, ..HEARING },
        Case { nodes: 3, limit: 5.0, ..HEARING },
        Case { nodes: 6, limit: 2.0, limited: all, ..HEARING },
        Case { nodes: 6, limit: 0.5, service: engine, ..HEARING },
        Case { nodes: 6, limit: 2.0, service: engine, limited: all, ..HEARING },
    ];
    play_and_check(cases).await;
}

/// Guards against nodes that each use the parts of others while they can't hear that these do so too.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_limit_holds_while_nodes_do_not_hear_each_other() {
    const DEAF: Case = Case { exchange: Exchange::ListOnly, ..HEARING };
    let cases = [
        Case { nodes: 3, limit: 2.0, ..DEAF },
        Case { nodes: 3, limit: 0.5, service: Service::Engine, ..DEAF },
        Case { nodes: 6, limit: 5.0, ..DEAF },
        Case { nodes: 6, limit: 2.0, limited: Limited::All, ..DEAF },
    ];
    play_and_check(cases).await;
}

/// Returns the answers of nodes that had no room for the request.
fn rejections(answers: &[Answer]) -> Vec<&Answer> {
    answers.iter().filter(|it| it.status() == Some(503)).collect()
}

/// Guards against callers who wait in vain, or are told a time after which there is no room yet.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_rejected_at_once_if_all_hosts_have_used_their_limits() -> Result<()> {
    /// Longest time that half of the rejections take. Requests wait for twice as long if there is room by then.
    const AT_ONCE: Duration = Duration::from_millis(150);

    /// Time by which a caller returns later than it was told.
    const LATENESS: Duration = Duration::from_millis(100);

    for service in [Service::Plain, Service::Engine] {
        let site = Site::with_hosts(2, 2).await;
        site.configure(1, None);
        let nodes = start_nodes(&site, 1).await;
        let hosts = service.hosts(&site);
        hosts.iter().for_each(|it| it.name_limit(Some("0.5")));
        let _ = drive(&nodes, service, LOAD, Duration::from_secs(1)).await;
        let answers = drive(&nodes, service, LOAD, Duration::from_secs(4)).await;
        let rejections = rejections(&answers);
        let mut times: Vec<Duration> = rejections.iter().map(|it| it.elapsed).collect();
        times.sort();
        expect_that!(times.get(times.len() / 2), some(lt(&AT_ONCE)), "{service:?}");
        let untold = rejections.iter().filter(|it| it.retry_after().is_none()).count();
        expect_that!(untold, eq(0), "{service:?}");
        let received: Vec<_> = hosts.iter().flat_map(Host::received).collect();
        let was_sent = |it: &Answer| {
            received.iter().any(|request| request.request_line == format!("POST {}", it.path))
        };
        expect_that!(rejections.iter().filter(|it| was_sent(it)).count(), eq(0), "{service:?}");
        let Some(after) = send(&nodes[0], service).await.retry_after() else { continue };
        time::sleep(after + LATENESS).await;
        let answer = send(&nodes[0], service).await;
        expect_that!(answer.is_served(), eq(true), "{service:?}, after {after:?}");
    }
    Ok(())
}

/// What ends the limit of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// The host responds without a limit.
    Response,
    /// The host was started again and names no limit since.
    Restart,
}

/// Guards against hosts that get fewer requests for good since they were in need once.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_limit_ends_with_a_response_that_names_none() {
    /// Time in which all nodes notice the end of a limit.
    const END_TIME: Duration = Duration::from_secs(4);

    #[derive(Debug, Clone, Copy)]
    struct Case {
        nodes: usize,
        /// Limit in requests per second. Before a restart, it is so low that no response tells the nodes of its end.
        limit: f64,
        end: End,
    }

    /// Returns the maximum number of requests in [`WINDOW`] while there is a limit, and the number after its end.
    async fn play(case: Case) -> (usize, usize) {
        let site = Site::with_hosts(HOSTS, 1).await;
        site.configure(1, None);
        let nodes = start_nodes(&site, case.nodes).await;
        let response = Behaviour::RespondAfter(RESPONSE_TIME, String::from("ok"));
        handle_all(&site.plain, &response);
        let host = &site.plain[0];
        host.name_limit(Some(&case.limit.to_string()));
        drive(&nodes, Service::Plain, LOAD, STABLE_WINDOW + WINDOW).await;
        let limited = max_in_window(&arrivals(host));
        host.name_limit(None);
        if case.end == End::Restart {
            let restarted = Entry { incarnation: 2, ..site::plain_entry(host) };
            site.store.put_entry(&host.id, &restarted);
        }
        drive(&nodes, Service::Plain, LOAD, END_TIME).await;
        host.clear_received();
        drive(&nodes, Service::Plain, LOAD, WINDOW).await;
        (limited, host.received().len())
    }

    let cases = [
        Case { nodes: 1, limit: 2.0, end: End::Response },
        Case { nodes: 3, limit: 2.0, end: End::Response },
        Case { nodes: 1, limit: 0.05, end: End::Restart },
        Case { nodes: 3, limit: 0.05, end: End::Restart },
    ];
    let usual = (LOAD * WINDOW.as_secs_f64()) as usize / HOSTS;
    let playing = cases.map(|case| async move { (case, play(case).await) });
    for (case, (limited, after)) in future::join_all(playing).await {
        expect_that!(limited, le(allowed(case.limit)), "{case:?}");
        expect_that!(after, ge(usual / 2), "{case:?}");
    }
}

/// Guards against a limit that ends with a slow response from before the limit, and against one that ends with any new
/// entry of its host.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_response_to_an_earlier_request_does_not_end_a_limit() -> Result<()> {
    /// Number of requests that the host got before it named a limit.
    const SLOW_REQUESTS: u32 = 40;

    /// Interval at which the host responds to them, and at which it writes its entry.
    const INTERVAL: Duration = Duration::from_millis(100);

    const LIMIT: f64 = 0.5;

    let site = Site::with_hosts(1, 1).await;
    let slow = Route {
        timeout: Duration::from_secs(10),
        latency_objective: Some(Duration::from_millis(300)),
        ..site::route("/slow/", Retry::Never, site::PLAIN)
    };
    site.configure(1, Some(slow));
    let host = &site.plain[0];
    put_wide_entry(&site, host, 0)?;
    let nodes = start_nodes(&site, 1).await;
    let mut sending = Vec::new();
    for index in 0..SLOW_REQUESTS {
        let response_time = STABLE_WINDOW + INTERVAL * index;
        host.enqueue(Behaviour::RespondAfter(response_time, String::from("late")));
        let callers = nodes[0].callers;
        sending.push(tokio::spawn(async move {
            let id = format!("slow-{index}");
            let headers = [(header::REQUEST_ID, id.as_str()), (header::DEADLINE_MS, "10000")];
            site::send(callers, "POST", "/slow/1", &headers, "").await.map(|it| it.status.as_u16())
        }));
    }
    let arrived = async {
        while host.received().len() < SLOW_REQUESTS as usize {
            time::sleep(Duration::from_millis(10)).await;
        }
    };
    verify_that!(time::timeout(Duration::from_secs(2), arrived).await.is_ok(), eq(true))?;
    host.clear_received();
    host.name_limit(Some(&LIMIT.to_string()));
    tokio::select! {
        _ = drive(&nodes, Service::Plain, LOAD, STABLE_WINDOW + WINDOW) => {}
        written = rewrite_entry(&site, host, INTERVAL) => written?,
    }
    expect_that!(max_in_window(&arrivals(host)), le(allowed(LIMIT)));
    for answer in sending {
        expect_that!(answer.await.or_fail()?.or_fail()?, eq(200));
    }
    Ok(())
}

/// Writes the entry of a host again at an interval, as hosts do that stay.
async fn rewrite_entry(site: &Site, host: &Host, interval: Duration) -> Result<()> {
    for seq in 1.. {
        time::sleep(interval).await;
        put_wide_entry(site, host, seq)?;
    }
    Ok(())
}

/// Writes an entry of a plain host that runs a hundred requests at once.
fn put_wide_entry(site: &Site, host: &Host, seq: u64) -> Result<()> {
    let stored = site.store.entry(&host.id).or_fail()?;
    let mut entry: serde_json::Value = serde_json::from_slice(&stored).or_fail()?;
    entry["slots"] = json!(100);
    entry["seq"] = json!(seq);
    site.store.put_raw_entry(&host.id, &entry.to_string());
    Ok(())
}

/// Guards against nodes that heed a limit only in responses that succeed.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_limit_in_a_failure_or_a_refusal_counts() {
    const LIMIT: f64 = 0.5;

    struct Case {
        name: &'static str,
        service: Service,
        /// What the only host does with all requests.
        behaviour: Behaviour,
    }

    async fn play(case: &Case) -> usize {
        let site = Site::with_hosts(1, 1).await;
        site.configure(1, None);
        let nodes = start_nodes(&site, 1).await;
        let hosts = case.service.hosts(&site);
        handle_all(hosts, &case.behaviour);
        hosts[0].name_limit(Some(&LIMIT.to_string()));
        drive(&nodes, case.service, LOAD, STABLE_WINDOW + WINDOW).await;
        max_in_window(&arrivals(&hosts[0]))
    }

    let (plain, engine) = (Service::Plain, Service::Engine);
    let cases = [
        Case { name: "failure", service: plain, behaviour: Behaviour::Fail(500) },
        Case { name: "overload", service: plain, behaviour: Behaviour::Fail(429) },
        Case { name: "refusal", service: plain, behaviour: Behaviour::Refuse },
        Case { name: "failed stream", service: engine, behaviour: Behaviour::Fail(500) },
        Case { name: "refused stream", service: engine, behaviour: Behaviour::Refuse },
        Case { name: "head of a stream", service: engine, behaviour: Behaviour::StreamNothing },
    ];
    let playing = cases.iter().map(|case| async move { (case, play(case).await) });
    for (case, received) in future::join_all(playing).await {
        expect_that!(received, le(allowed(LIMIT)), "{}", case.name);
    }
}

/// Guards against limits that hold for the first attempt of each request only.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_were_sent_to_another_host_before_count() {
    const LIMIT: f64 = 0.5;

    struct Case {
        name: &'static str,
        service: Service,
        /// What the host without a limit does with all requests.
        behaviour: Behaviour,
    }

    async fn play(case: &Case) -> usize {
        let site = Site::with_hosts(2, 2).await;
        site.configure(1, None);
        let nodes = start_nodes(&site, 3).await;
        let [other, limited] = case.service.hosts(&site) else { return usize::MAX };
        handle_all(slice::from_ref(other), &case.behaviour);
        limited.name_limit(Some(&LIMIT.to_string()));
        drive(&nodes, case.service, LOAD, STABLE_WINDOW + WINDOW).await;
        max_in_window(&arrivals(limited))
    }

    let late = Behaviour::RespondAfter(Duration::from_secs(1), String::from("late"));
    let pausing = Behaviour::StreamPausing(7, Duration::from_secs(1));
    let case = |name, service, behaviour| Case { name, service, behaviour };
    let cases = [
        case("failed", Service::Plain, Behaviour::Fail(500)),
        case("lost", Service::Plain, Behaviour::CloseConnection),
        case("refused", Service::Plain, Behaviour::Refuse),
        case("moved", Service::Plain, late),
        case("refused stream", Service::Engine, Behaviour::Refuse),
        case("begun stream", Service::Engine, Behaviour::StreamNothing),
        case("resumed stream", Service::Engine, Behaviour::StreamUntil(7)),
        case("pausing stream", Service::Engine, pausing),
    ];
    let playing = stream::iter(&cases).map(|case| async move { (case, play(case).await) });
    let played: Vec<_> = playing.buffered(CONCURRENT_CASES).collect().await;
    for (case, received) in played {
        expect_that!(received, le(allowed(LIMIT)), "{}", case.name);
    }
}

/// Time in which a node learns what another one tells.
const LEARN_TIME: Duration = Duration::from_secs(1);

/// Returns the nodes in the order in which they own the limit of a host.
fn sort_by_rank(nodes: Vec<Node>, host: &Host) -> Vec<Node> {
    let name = |index: usize| format!("load-{index}");
    let rank = |own: usize| {
        let mut list = List::new(name(own));
        (0..nodes.len()).for_each(|it| {
            list.add(&name(it));
        });
        list.rank(xxh3::xxh3_64(host.id.as_bytes()))
    };
    let ranks: Vec<usize> = (0..nodes.len()).map(rank).collect();
    let mut ranked: Vec<(usize, Node)> = ranks.into_iter().zip(nodes).collect();
    ranked.sort_by_key(|it| it.0);
    ranked.into_iter().map(|it| it.1).collect()
}

/// Sends some requests to each node at once; returns how many were served.
async fn send_to_all(nodes: &[Node]) -> usize {
    const REQUESTS: usize = 4;
    let sending = (0..nodes.len() * REQUESTS)
        .map(|it| async move { send(&nodes[it % nodes.len()], Service::Plain).await.is_served() });
    future::join_all(sending).await.into_iter().filter(|it| *it).count()
}

/// Guards against nodes that learn of a limit only from a response of their own, against nodes without a part of a limit
/// that don't learn from just any owner that it has ended, and against such nodes that send their callers away for long.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn nodes_learn_from_each_other_that_a_limit_begins_and_ends() {
    /// Longest time after which a caller of a node without a part is to return, in which it may reach another node.
    const MAX_RETRY_AFTER: Duration = Duration::from_millis(400);
    const LIMIT: f64 = 2.0;
    let owners = notice::limit(LIMIT).owners();
    for teller in [0, owners - 1] {
        let site = Site::with_hosts(1, 1).await;
        site.configure(1, None);
        let host = &site.plain[0];
        let nodes = sort_by_rank(start_nodes(&site, 6).await, host);
        expect_that!(owners, lt(nodes.len()));
        let (with_part, without_part) = nodes.split_at(owners);

        host.name_limit(Some(&LIMIT.to_string()));
        let teller = &with_part[teller];
        expect_that!(send(teller, Service::Plain).await.is_served(), eq(true));
        time::sleep(LEARN_TIME).await;
        expect_that!(send_to_all(with_part).await + send_to_all(without_part).await, eq(0));
        for node in without_part {
            let answer = send(node, Service::Plain).await;
            expect_that!(answer.retry_after(), some(le(MAX_RETRY_AFTER)));
        }

        host.name_limit(None);
        let mut is_served = false;
        for _ in 0..40 {
            time::sleep(Duration::from_millis(100)).await;
            is_served |= send(teller, Service::Plain).await.is_served();
            if is_served {
                break;
            }
        }
        expect_that!(is_served, eq(true));
        time::sleep(LEARN_TIME).await;
        expect_that!(send_to_all(without_part).await, eq(without_part.len() * 4));
    }
}

/// Guards against requests that wait in vain behind others for the room that a limit leaves.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn requests_do_not_wait_for_room_that_others_will_take() {
    /// Longest time that half of the rejections take. Requests wait for twice as long if there is room by then.
    const AT_ONCE: Duration = Duration::from_millis(150);

    for limit in ["2", "10"] {
        let site = Site::with_hosts(1, 1).await;
        site.configure(1, None);
        let nodes = start_nodes(&site, 1).await;
        site.plain[0].name_limit(Some(limit));
        let _ = drive(&nodes, Service::Plain, LOAD, Duration::from_secs(1)).await;
        let answers = drive(&nodes, Service::Plain, LOAD, Duration::from_secs(4)).await;
        let mut times: Vec<Duration> = rejections(&answers).iter().map(|it| it.elapsed).collect();
        times.sort();
        expect_that!(times.get(times.len() / 2), some(lt(&AT_ONCE)), "{limit}");
        expect_that!(answers.iter().filter(|it| it.is_served()).count(), gt(0), "{limit}");
    }
}

/// Guards against a host that gets far too many requests when it starts again under its id and is still in need.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_host_that_starts_again_in_need_is_not_flooded() -> Result<()> {
    const LIMIT: f64 = 2.0;
    let site = Site::with_hosts(1, 1).await;
    site.configure(1, None);
    let nodes = start_nodes(&site, 6).await;
    let host = &site.plain[0];
    let slow = Behaviour::RespondAfter(Duration::from_secs(1), String::from("ok"));
    handle_all(&site.plain, &slow);
    host.name_limit(Some(&LIMIT.to_string()));
    let _ = drive(&nodes, Service::Plain, LOAD, STABLE_WINDOW).await;
    let entry = site.store.entry(&host.id).or_fail()?;
    let mut entry: serde_json::Value = serde_json::from_slice(&entry).or_fail()?;
    entry["born"] = (entry["born"].as_u64().or_fail()? + 1000).into();
    host.clear_received();
    site.store.put_raw_entry(&host.id, &entry.to_string());
    let _ = drive(&nodes, Service::Plain, LOAD, WINDOW).await;
    expect_that!(host.received().len(), le(allowed(LIMIT)));
    Ok(())
}

/// Guards against nodes that send a host a burst of requests although it has named a limit in its report.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_limit_in_a_response_to_a_health_check_counts() {
    /// Pause in a stream after which the members of its replica are asked.
    const PAUSE: Duration = Duration::from_millis(800);

    let site = Site::with_hosts(1, 4).await;
    site.join_replicas(1, 2, None);
    let nodes = start_nodes(&site, 1).await;
    let head = &site.replicas[0];
    handle_all(slice::from_ref(head), &Behaviour::StreamPausing(7, PAUSE));
    let streams = future::join_all((0..4).map(|_| send(&nodes[0], Service::Engine)));
    let naming = async {
        while head.received().is_empty() {
            time::sleep(Duration::from_millis(5)).await;
        }
        head.name_limit(Some("0.2"));
    };
    future::join(streams, naming).await;
    head.clear_received();
    let answers = future::join_all((0..8).map(|_| send(&nodes[0], Service::Engine))).await;
    expect_that!(head.received().len(), le(1));
    expect_that!(answers.iter().filter(|it| !it.is_served()).count(), eq(0));
}
