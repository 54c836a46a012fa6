//! Hosts that ask a node for a pause: they refuse a request and say when they take the next one.

use std::{collections::HashSet, iter, slice, time::Duration};

use cuminward_adapter_fake::{
    entry::Entry,
    host::{Behaviour, Host},
};
use futures::{StreamExt, future, stream};
use googletest::prelude::*;
use tokio::time::{self, Instant};

use crate::{
    load::{
        Answer, CONCURRENT_CASES, HOSTS, LOAD, RESPONSE_TIME, Service, arrivals, drive, handle_all,
        send, start_nodes,
    },
    site::{self, Node, Site},
};

/// Time after a response that asks for a pause in which earlier requests may still arrive.
const GRACE: Duration = Duration::from_millis(500);

/// Largest number of requests from a node within the rest of a pause.
const MAX_REQUESTS: usize = 2;

/// Number of requests of a test that a host answers by its script.
const SCRIPT: usize = 4000;

/// Returns a behaviour that asks for a pause of these values.
fn ask(behaviour: Behaviour, values: &[&str]) -> Behaviour {
    let values = values.iter().map(|it| (*it).to_owned()).collect();
    Behaviour::AskForPause(Box::new(behaviour), values)
}

/// Returns when the requests of some answers arrived at a host.
fn arrivals_of(host: &Host, answers: &[Answer]) -> Vec<Instant> {
    let sent: HashSet<String> = answers.iter().map(|it| format!("POST {}", it.path)).collect();
    let received = host.received();
    let mut own: Vec<Instant> =
        received.iter().filter(|it| sent.contains(&it.request_line)).map(|it| it.at).collect();
    own.sort();
    own
}

/// Returns the largest number of arrivals between [`GRACE`] after one of them and the end of a pause that it began.
fn most_in_pause(arrivals: &[Instant], pause: Duration) -> usize {
    let first = arrivals.first().copied();
    let within = |it: &&Instant| first.is_some_and(|at| **it > at + GRACE && **it < at + pause);
    arrivals.iter().filter(within).count()
}

/// Sends requests to each node at the same time. Returns the answers by node.
async fn drive_each(nodes: &[Node], service: Service, duration: Duration) -> Vec<Vec<Answer>> {
    let driving = nodes.iter().map(|it| drive(slice::from_ref(it), service, LOAD, duration));
    future::join_all(driving).await
}

/// Guards against nodes that send a host more requests although it asked them for a pause, and against nodes that others
/// keep from a host that asked only these.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_host_that_asks_for_a_pause_gets_no_request_until_it_ends() {
    const PAUSE: Duration = Duration::from_secs(4);

    #[derive(Debug, Clone)]
    struct Case {
        nodes: usize,
        service: Service,
        /// What the host does with all requests.
        script: Vec<Behaviour>,
        /// Number of hosts of the service.
        hosts: usize,
    }

    /// Returns the largest number of requests from a node within the pause, and the requests of all nodes.
    async fn play(case: &Case) -> (usize, usize) {
        let site = Site::with_hosts(case.hosts, case.hosts).await;
        site.configure(1, None);
        let nodes = start_nodes(&site, case.nodes).await;
        let hosts = case.service.hosts(&site);
        if case.service == Service::Plain {
            handle_all(&hosts[1..], &Behaviour::RespondAfter(RESPONSE_TIME, String::from("ok")));
        }
        iter::repeat_n(&case.script, SCRIPT / case.script.len())
            .flatten()
            .for_each(|it| hosts[0].enqueue(it.clone()));
        let answers = drive_each(&nodes, case.service, PAUSE).await;
        let most = answers.iter().map(|it| most_in_pause(&arrivals_of(&hosts[0], it), PAUSE));
        (most.max().unwrap_or(0), hosts[0].received().len())
    }

    let (plain, engine) = (Service::Plain, Service::Engine);
    let refusal = || vec![ask(Behaviour::Refuse, &["4"])];
    let failure = || vec![ask(Behaviour::Fail(503), &["4"])];
    let served = Behaviour::RespondAfter(RESPONSE_TIME, String::from("ok"));
    let every_second = || vec![ask(Behaviour::Refuse, &["4"]), served.clone()];
    let cases = [
        Case { nodes: 1, service: plain, script: refusal(), hosts: 1 },
        Case { nodes: 1, service: plain, script: failure(), hosts: HOSTS },
        Case { nodes: 1, service: plain, script: every_second(), hosts: 1 },
        Case { nodes: 1, service: engine, script: refusal(), hosts: 1 },
        Case { nodes: 1, service: engine, script: refusal(), hosts: HOSTS },
        Case { nodes: 3, service: plain, script: every_second(), hosts: HOSTS },
        Case { nodes: 3, service: engine, script: failure(), hosts: 1 },
        Case { nodes: 9, service: plain, script: refusal(), hosts: 1 },
    ];
    let playing = stream::iter(&cases).map(|case| async move { (case, play(case).await) });
    let played: Vec<_> = playing.buffered(CONCURRENT_CASES).collect().await;
    for (case, (most, all)) in played {
        let name = format!("{} nodes, {:?}, {} hosts", case.nodes, case.service, case.hosts);
        expect_that!(most, le(MAX_REQUESTS), "{name}");
        expect_that!(all, ge(1), "{name}");
    }
}

/// What a host gets that answers all requests with a value of `Retry-After`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Effect {
    /// No more requests.
    Paused,
    /// Further requests, as if it had sent none.
    None,
}

/// Guards against values that make a node wait that say nothing, and against values that it doesn't understand.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn only_one_valid_value_with_status_503_is_a_pause() {
    const DURATION: Duration = Duration::from_secs(2);

    #[derive(Debug, Clone, Copy)]
    struct Case {
        status: u16,
        values: &'static [&'static str],
        effect: Effect,
    }

    async fn play(case: Case) -> usize {
        let site = Site::with_hosts(1, 1).await;
        site.configure(1, None);
        let nodes = start_nodes(&site, 1).await;
        handle_all(&site.plain, &ask(Behaviour::Fail(case.status), case.values));
        drive(&nodes, Service::Plain, LOAD, DURATION).await;
        let arrivals = arrivals(&site.plain[0]);
        most_in_pause(&arrivals, DURATION)
    }

    let (paused, none) = (Effect::Paused, Effect::None);
    let cases = [
        Case { status: 503, values: &["30"], effect: paused },
        Case { status: 503, values: &["2.5"], effect: paused },
        Case { status: 503, values: &["1000000000000"], effect: paused },
        Case { status: 503, values: &["99999999999999999999999999"], effect: paused },
        Case { status: 503, values: &["Fri, 31 Dec 9999 23:59:59 GMT"], effect: paused },
        Case { status: 503, values: &[], effect: none },
        Case { status: 503, values: &[""], effect: none },
        Case { status: 503, values: &["-5"], effect: none },
        Case { status: 503, values: &["soon"], effect: none },
        Case { status: 503, values: &["inf"], effect: none },
        Case { status: 503, values: &["30", "30"], effect: none },
        Case { status: 503, values: &["0"], effect: none },
        Case { status: 503, values: &["Thu, 01 Jan 1970 00:00:00 GMT"], effect: none },
        Case { status: 429, values: &["30"], effect: none },
        Case { status: 500, values: &["30"], effect: none },
    ];
    let playing = stream::iter(cases).map(|case| async move { (case, play(case).await) });
    let played: Vec<_> = playing.buffered(CONCURRENT_CASES).collect().await;
    for (case, received) in played {
        match case.effect {
            Effect::Paused => expect_that!(received, le(MAX_REQUESTS), "{case:?}"),
            Effect::None => expect_that!(received, ge(10 * MAX_REQUESTS), "{case:?}"),
        };
    }
}

/// Guards against callers who wait in vain while all hosts are paused, or aren't told when to return, and against those
/// who are sent away although the pause is nearly over.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_rejected_at_once_if_all_hosts_are_paused() {
    /// Longest time of a rejection.
    const AT_ONCE: Duration = Duration::from_millis(100);

    struct Case {
        /// Pauses that the two hosts ask for.
        pauses: [&'static str; 2],
        /// Bounds of the time after which the caller is to return, in seconds; `None` if the request is served.
        retry_after: Option<(f64, f64)>,
    }
    let cases = [
        Case { pauses: ["20", "30"], retry_after: Some((18.0, 20.1)) },
        Case { pauses: ["8", "1000000000000"], retry_after: Some((6.0, 8.1)) },
        Case { pauses: ["1000000000000", "1000000000000"], retry_after: Some((10.0, 120.0)) },
        Case { pauses: ["0.2", "30"], retry_after: None },
    ];
    for service in [Service::Plain, Service::Engine] {
        for case in &cases {
            let name = format!("{service:?}, {:?}", case.pauses);
            let site = Site::with_hosts(2, 2).await;
            site.configure(1, None);
            let nodes = start_nodes(&site, 1).await;
            for (host, pause) in service.hosts(&site).iter().zip(case.pauses) {
                host.enqueue(ask(Behaviour::Refuse, &[pause]));
            }
            // Tries both hosts.
            send(&nodes[0], service).await;
            let answer = send(&nodes[0], service).await;
            let Some((least, most)) = case.retry_after else {
                expect_that!(answer.is_served(), eq(true), "{name}");
                continue;
            };
            expect_that!(answer.status(), some(eq(503)), "{name}");
            expect_that!(answer.elapsed, lt(AT_ONCE), "{name}");
            let after = answer.retry_after().unwrap_or_default().as_secs_f64();
            expect_that!(after, ge(least), "{name}");
            expect_that!(after, le(most), "{name}");
        }
    }
}

/// Guards against pauses that outlast the start of the host that asked for them, or end with any new entry.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_pause_ends_with_a_newer_start_of_its_host() {
    /// Time in which a node reads a change of the host list.
    const READ_TIME: Duration = Duration::from_millis(1500);

    for (incarnation, is_over) in [(1, false), (2, true)] {
        let site = Site::with_hosts(1, 1).await;
        site.configure(1, None);
        let nodes = start_nodes(&site, 1).await;
        let host = &site.plain[0];
        host.enqueue(ask(Behaviour::Refuse, &["1000000000000"]));
        send(&nodes[0], Service::Plain).await;
        let entry = Entry { incarnation, seq: 1, ..site::plain_entry(host) };
        site.store.put_entry(&host.id, &entry);
        time::sleep(READ_TIME).await;
        let answer = send(&nodes[0], Service::Plain).await;
        expect_that!(answer.is_served(), eq(is_over), "{incarnation}");
    }
}

/// Guards against hosts that get all waiting requests at once when their pause ends.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_host_gets_requests_one_after_the_other_after_a_pause() -> Result<()> {
    const PAUSE: Duration = Duration::from_secs(1);

    /// Time after the first request in which requests are counted, and the largest number of them.
    const BEGINNING: Duration = Duration::from_millis(100);
    const MAX_AT_BEGINNING: usize = 2;

    for service in [Service::Plain, Service::Engine] {
        let site = Site::with_hosts(1, 1).await;
        site.configure(1, None);
        let nodes = start_nodes(&site, 1).await;
        let host = &service.hosts(&site)[0];
        host.enqueue(ask(Behaviour::Refuse, &["1"]));
        send(&nodes[0], service).await;
        host.clear_received();
        let answers = drive(&nodes, service, LOAD, 3 * PAUSE).await;
        let arrivals = arrivals(host);
        let first = *arrivals.first().or_fail()?;
        let beginning = arrivals.iter().filter(|it| **it < first + BEGINNING).count();
        expect_that!(beginning, le(MAX_AT_BEGINNING), "{service:?}");
        let served = answers.iter().filter(|it| it.is_served()).count();
        expect_that!(served, ge(answers.len() / 4), "{service:?}");
    }
    Ok(())
}

/// Guards against status queries and orders that reach a host within a pause that it asked for.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_paused_host_gets_no_status_queries_and_orders() {
    /// Time in which the steward orders a draining host to leave its group.
    const ORDER_TIME: Duration = Duration::from_secs(4);

    for (pause, bounds) in [("30", 0..=MAX_REQUESTS), ("0", 3..=usize::MAX)] {
        let site = Site::with_hosts(1, 2).await;
        site.configure(1, None);
        site.replicas.iter().for_each(|it| it.report(&site::replica_entry(it)));
        let nodes = start_nodes(&site, 1).await;
        let host = &site.replicas[0];
        handle_all(&site.replicas, &ask(Behaviour::Refuse, &[pause]));
        send(&nodes[0], Service::Engine).await;
        time::sleep(GRACE).await;
        let before = host.control_calls();
        let draining = Entry { is_draining: true, seq: 1, ..site::replica_entry(host) };
        site.store.put_entry(&host.id, &draining);
        time::sleep(ORDER_TIME).await;
        let calls = host.control_calls() - before;
        expect_that!(bounds.contains(&calls), eq(true), "{pause}: {calls}");
    }
}
