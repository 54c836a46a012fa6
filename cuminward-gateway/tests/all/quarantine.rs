//! Requests that crash the hosts that run them.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use cuminward_adapter_fake::{header, host::Host};
use googletest::prelude::*;
use tokio::time;

use crate::site::{self, Node, Site};

/// Id of the part of a prompt that crashes hosts.
const CRASHING_PART: &str = "dead";

/// Number of crashes after which no request with the same part may reach a host.
const MAX_CRASHES: u64 = 5;

/// Number of requests with the part, each sent to the next node.
const ROUNDS: usize = 12;

/// Time in which nodes learn of a change in the host list, and of crashes that other nodes saw.
const SPREAD_TIME: Duration = Duration::from_millis(500);

/// Sends a request with a body of its own and these parts of the prompt; returns the status, or `None` if the
/// response is incomplete.
async fn send(node: &Node, parts: &str, body: &str) -> Option<u16> {
    let headers = [(header::MODEL, site::MODEL), (header::PROMPT_PARTS, parts)];
    let answer = node.send("POST", "/chat/1", &headers, body).await.ok()?;
    answer.is_complete.then(|| answer.status.as_u16())
}

/// Returns the number of requests with the crashing part that a host received.
fn crashes(host: &Host) -> u64 {
    let parts =
        host.received().into_iter().filter_map(|it| it.headers.get(header::PROMPT_PARTS).cloned());
    parts.filter(|it| it.to_str().is_ok_and(|it| it.contains(CRASHING_PART))).count() as u64
}

/// Waits until the hosts that crashed have started again, and lists them in new formations.
async fn recover(site: &Site) {
    for host in &site.replicas {
        while host.restarts() < crashes(host) {
            time::sleep(Duration::from_millis(20)).await;
        }
        let mut entry = site::replica_entry(host);
        entry.incarnation += host.restarts();
        if let Some(group) = entry.engine.as_mut().and_then(|it| it.group.as_mut()) {
            group.epoch += host.restarts();
        }
        site.store.put_entry(&host.id, &entry);
    }
    time::sleep(SPREAD_TIME).await;
}

/// Returns the parts of a prompt that crashes hosts, and of one that shares its first part and crashes none. Both
/// end with a part of their own.
fn parts(number: usize) -> (String, String) {
    (format!("aa:40,{CRASHING_PART}:100,{number:x}1:300"), format!("aa:40,{number:x}2:300"))
}

/// Starts a site whose replicas crash on the part, and two nodes.
async fn start(name: &str) -> (Site, [Node; 2]) {
    let site = Site::start().await;
    for host in &site.replicas {
        host.crash_on_part(CRASHING_PART);
    }
    let nodes = [site.node(&format!("{name}-a")).await, site.node(&format!("{name}-b")).await];
    (site, nodes)
}

/// Guards against the day `tainted`, on which requests of which no two were alike crashed one host after the
/// other.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn requests_with_a_part_that_crashes_hosts_are_refused_and_others_are_not() -> Result<()> {
    let (site, nodes) = start("crashes").await;
    for round in 0..ROUNDS {
        let (crashing, sound) = parts(round);
        let node = &nodes[round % nodes.len()];
        let status = send(node, &crashing, &format!("crashing {round}")).await;
        let is_last = round + 1 == ROUNDS;
        let expected = if is_last { vec![Some(503)] } else { vec![Some(502), Some(503)] };
        expect_that!(expected, contains(eq(&status)), "round {round}");
        recover(&site).await;
        for node in &nodes {
            let status = send(node, &sound, &format!("sound {round}")).await;
            expect_that!(status, some(eq(200)), "a request without the part after round {round}");
        }
    }
    let crashes: u64 = site.replicas.iter().map(crashes).sum();
    expect_that!(crashes, le(MAX_CRASHES));
    Ok(())
}

/// Guards against the refusal of requests that were in flight when another one crashed their hosts.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_was_in_flight_at_two_crashes_of_another_one_is_not_refused() -> Result<()> {
    let (site, nodes) = start("blamed").await;
    let (crashing, sound) = parts(0);
    let first = send(&nodes[0], &sound, "first").await;
    expect_that!(first, some(eq(200)));
    // Both are sent to one host, and again to the other one.
    let _ = tokio::join!(
        send(&nodes[0], &crashing, "crashing"),
        send(&nodes[0], &sound, "sound"),
        send(&nodes[0], &sound, "sound"),
    );
    recover(&site).await;
    for node in &nodes {
        expect_that!(send(node, &sound, "sound").await, some(eq(200)));
    }
    Ok(())
}

/// Guards against a crashing request that is sent to hosts again after all nodes were killed.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_crashing_request_stays_refused_after_all_nodes_were_killed() {
    let (site, mut nodes) = start("killed").await;
    let (crashing, sound) = parts(0);
    for round in 0..ROUNDS {
        let status = send(&nodes[round % nodes.len()], &crashing, "crashing").await;
        recover(&site).await;
        if status == Some(503) {
            break;
        }
    }
    let crashes_before: u64 = site.replicas.iter().map(crashes).sum();
    for kill in 0..2 {
        drop(nodes);
        nodes = [site.node("killed-a").await, site.node("killed-b").await];
        for node in &nodes {
            expect_that!(send(node, &crashing, "crashing").await, some(eq(503)), "kill {kill}");
            recover(&site).await;
            expect_that!(send(node, &sound, "sound").await, some(eq(200)), "kill {kill}");
        }
    }
    let crashes: u64 = site.replicas.iter().map(crashes).sum();
    expect_that!(crashes, eq(crashes_before));
}

/// Guards against stored crashes that a later build, with more fields, can't pass on to this one, and against an
/// unreadable record that hides the others.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn stored_crashes_are_read_whatever_else_is_stored() {
    const TOPIC: &str = "keyed.crashes";
    let site = Site::start().await;
    for host in &site.replicas {
        host.crash_on_part(CRASHING_PART);
    }
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("the clock is set");
    for crash in 1_u64..=3 {
        let at = now.as_millis() as u64 - 1000 * crash;
        let entry = format!(
            r#"{{"subject":{{"Part":57005}},"crash":{crash},"at_unix_ms":{at},"companions":[],"later":[1]}}"#
        );
        site.store.put(TOPIC, &format!("part:dead/{crash}"), &entry);
    }
    site.store.put(TOPIC, "part:dead/4", r#"{"subject":{"Later":1}}"#);
    site.store.put(TOPIC, "part:dead/5", "garbage");
    let node = site.node("stored").await;
    let (crashing, sound) = parts(0);
    expect_that!(send(&node, &crashing, "crashing").await, some(eq(503)));
    expect_that!(send(&node, &sound, "sound").await, some(eq(200)));
}
