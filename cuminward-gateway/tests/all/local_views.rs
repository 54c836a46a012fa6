//! What a node observes over its own paths alone, and must not take for a fact about hosts.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use cuminward_adapter::topic;
use cuminward_adapter_fake::{
    caller::Response,
    catalog::{Retry, Route},
    entry::{Entry, Phase},
    gate::{Gate, Mode},
    header,
    host::{self, Behaviour, Host},
    store::Store,
};
use googletest::prelude::*;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time,
};

use crate::site::{self, EVENTS, KEY, Node, Site};

const MODEL: (&str, &str) = (header::MODEL, site::MODEL);

const SILENCE: Duration = Duration::from_millis(1200);

/// Path of the long stream.
const LONG_STREAM: &str = "/long-chat/1";

/// Opens a gate in front of a host and lists the host at the gate.
async fn list(store: &Store, host: &Host, entry: Entry) -> Gate {
    let gate = Gate::start(host.address).await.expect("a loopback port is free");
    store.put_entry(&host.id, &Entry { address: gate.address, ..entry });
    gate
}

fn patient_route() -> Route {
    Route {
        timeout: Duration::from_secs(6),
        latency_objective: Some(Duration::from_millis(300)),
        ..site::route("/long-chat/", Retry::Resumable, site::ENGINE)
    }
}

/// Sends a request for a long stream and reads the response.
async fn send_long(callers: SocketAddr) -> io::Result<Response> {
    let headers = [MODEL, (header::DEADLINE_MS, "6000")];
    site::send(callers, "POST", LONG_STREAM, &headers, "prompt").await
}

/// Returns the number of hosts' runs of the long stream.
fn long_runs(site: &Site) -> usize {
    let received = site.replicas.iter().flat_map(Host::received);
    received.filter(|it| it.request_line.contains(LONG_STREAM)).count()
}

/// Sends short streams, whatever becomes of them.
fn spawn_short(callers: SocketAddr, count: usize) {
    for _ in 0..count {
        tokio::spawn(async move {
            let _ = site::send(callers, "POST", "/chat/2", &[MODEL], "prompt").await;
        });
    }
}

fn has_left(host: &Host) -> bool {
    host.orders().iter().any(|it| it["operation"] == "leave")
}

/// Waits up to 4 s until a node serves streams.
async fn wait_until_serving(node: &Node) {
    for _ in 0..100 {
        let answer = node.send("POST", "/chat/1", &[MODEL], "prompt").await;
        if answer.is_ok_and(|it| it.body == site::events(1..=EVENTS)) {
            return;
        }
        time::sleep(Duration::from_millis(40)).await;
    }
}

/// A site with a node whose paths to the replicas go through gates, and another one without. Each host of the engine
/// is a replica.
struct Gated {
    site: Site,
    gates: Vec<Gate>,
    node: Node,
    /// The store as the node behind the gates sees it.
    _view: Arc<Store>,
    _other: Node,
}

/// Life cycle
impl Gated {
    /// Starts a site with `replicas` replicas, and waits until the node behind the gates serves and knows the other.
    async fn start(name: &str, replicas: usize) -> Result<Gated> {
        let site = Site::with_engine_hosts(replicas).await;
        site.configure(1, None);
        let view = Arc::new(Store::start().await.or_fail()?);
        for host in &site.plain {
            view.put_entry(&host.id, &site::plain_entry(host));
        }
        let mut gates = Vec::new();
        for host in &site.replicas {
            gates.push(list(&view, host, site::replica_entry(host)).await);
        }
        view.declare(&site::usual_catalog(1, Some(patient_route()), 1));
        let other = site.node(&format!("{name}-other")).await;
        let node = site.start_node(name, view.address).await;
        site.store.put(topic::NODES, name, &node.peers.to_string());
        view.put(topic::NODES, &format!("{name}-other"), &other.peers.to_string());
        wait_until_serving(&node).await;
        time::sleep(Duration::from_millis(1500)).await;
        site.replicas.iter().for_each(Host::clear_received);
        Ok(Gated { site, gates, node, _view: view, _other: other })
    }
}

/// Guards against callers who send their next request on a connection whose end the node has decided already, and
/// that the node then reads and drops.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_before_the_body_was_read_announces_the_close() -> Result<()> {
    let site = Site::start().await;
    let node = site.node("announce").await;
    let mut stream = TcpStream::connect(node.callers).await.or_fail()?;
    let head = format!(
        "POST /nowhere HTTP/1.1\r\nhost: a.example\r\nauthorization: Bearer {KEY}\r\n\
         x-cuminward-request-id: 9c41\r\ncontent-length: 100000\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.or_fail()?;
    stream.write_all(&[b'a'; 10_000]).await.or_fail()?;
    let mut refusal = vec![0; 4096];
    let length = stream.read(&mut refusal).await.or_fail()?;
    let refusal = String::from_utf8_lossy(&refusal[..length]).to_ascii_lowercase();
    expect_that!(refusal, contains_substring("connection: close"));
    Ok(())
}

/// Guards against sound streams that move since a connection to their host was slow to open once.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_path_that_is_silent_for_a_moment_moves_no_stream() -> Result<()> {
    let Gated { site, gates, node, _view, _other } = Gated::start("moment", 2).await?;
    host::share_script(&site.replicas, [Behaviour::StreamPausing(3, Duration::from_millis(1000))]);
    let stream = tokio::spawn(send_long(node.callers));
    time::sleep(Duration::from_millis(80)).await;
    let index = site.replicas.iter().position(|it| !it.received().is_empty());
    let index = index.or_fail()?;
    gates[index].set(Mode::Silent);
    spawn_short(node.callers, 4);
    time::sleep(Duration::from_millis(150)).await;
    gates[index].set(Mode::Open);
    let answer = stream.await.or_fail()?.or_fail()?;
    expect_that!(answer.body, eq(&site::events(1..=EVENTS)));
    expect_that!(long_runs(&site), eq(1));
    Ok(())
}

/// Guards against groups that are dissolved since this node alone was refused for a moment.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_that_another_node_contradicts_dissolves_no_replica() -> Result<()> {
    let site = Site::with_engine_hosts(2).await;
    site.join_replicas(1, 2, Some(patient_route()));
    let [head, member] = &site.replicas[..] else { return fail!("the site has two hosts") };
    let view = Arc::new(Store::start().await.or_fail()?);
    for host in &site.plain {
        view.put_entry(&host.id, &site::plain_entry(host));
    }
    view.put_entry(&head.id, &site::member_entry(head, 0, 2));
    let own = list(&view, member, site::member_entry(member, 1, 2)).await;
    let others = list(&site.store, member, site::member_entry(member, 1, 2)).await;
    view.declare(&site::usual_catalog(1, Some(patient_route()), 2));
    let other = site.node("contradict-other").await;
    let node = site.start_node("contradict", view.address).await;
    site.store.put(topic::NODES, "contradict", &node.peers.to_string());
    view.put(topic::NODES, "contradict-other", &other.peers.to_string());
    wait_until_serving(&node).await;
    time::sleep(Duration::from_millis(2500)).await;
    expect_that!(has_left(head), eq(false));
    head.enqueue(Behaviour::StreamPausing(3, SILENCE));
    let stream = tokio::spawn(send_long(node.callers));
    time::sleep(Duration::from_millis(100)).await;
    own.set(Mode::Refuse);
    others.set(Mode::Silent);
    time::sleep(Duration::from_millis(550)).await;
    own.set(Mode::Open);
    others.set(Mode::Open);
    let answer = stream.await.or_fail()?.or_fail()?;
    expect_that!(answer.body, eq(&site::events(1..=EVENTS)));
    expect_that!(has_left(head), eq(false));
    Ok(())
}

/// Guards against groups that are disbanded just before they open since their head is silent for a moment.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_short_silence_of_a_head_disbands_no_forming_group() -> Result<()> {
    for is_silent in [false, true] {
        let site = Site::with_engine_hosts(2).await;
        site.join_replicas(1, 2, None);
        let [head, member] = &site.replicas[..] else { return fail!("the site has two hosts") };
        let report = |phase: Phase| {
            for (index, host) in site.replicas.iter().enumerate() {
                let mut entry = site::member_entry(host, index, 2);
                entry.engine.as_mut().and_then(|it| it.group.as_mut()).expect("a group").phase =
                    phase;
                host.report(&entry);
                site.store.put_entry(&host.id, &entry);
            }
        };
        report(Phase::Joining);
        let _node = site.node(&format!("forming-{is_silent}")).await;
        time::sleep(Duration::from_millis(2500)).await;
        expect_that!(has_left(member), eq(false), "joining, {is_silent}");
        if is_silent {
            head.fall_silent(SILENCE);
        }
        report(Phase::Ready);
        time::sleep(Duration::from_millis(2500)).await;
        expect_that!(has_left(member), eq(false), "ready, {is_silent}");
    }
    Ok(())
}

/// Guards against streams that leave a sound tunnel since their own connection was the first through it.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_opened_its_tunnel_itself_stays_in_it() -> Result<()> {
    let Gated { site, gates, node, _view, _other } = Gated::start("own-tunnel", 2).await?;
    gates.iter().for_each(|it| it.set(Mode::Reset));
    time::sleep(Duration::from_millis(300)).await;
    // The first event comes after a usual time for a prompt of some length, and before requests without an event
    // move to another replica.
    host::share_script(&site.replicas, [Behaviour::StreamPausing(0, Duration::from_millis(250))]);
    let answer = send_long(node.callers).await.or_fail()?;
    expect_that!(answer.body, eq(&site::events(1..=EVENTS)));
    expect_that!(long_runs(&site), eq(1));
    Ok(())
}

/// Guards against streams that wait for the deadline since no connection to the other hosts could be opened for a
/// moment, in which nothing was sent there.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_goes_on_at_hosts_that_were_out_of_reach_for_a_moment() -> Result<()> {
    let site = Site::with_engine_hosts(3).await;
    site.configure(1, Some(patient_route()));
    let mut gates = Vec::new();
    for host in &site.replicas {
        gates.push(list(&site.store, host, site::replica_entry(host)).await);
    }
    let node = site.node("moment-cut").await;
    wait_until_serving(&node).await;
    host::share_script(&site.replicas, [Behaviour::StreamPausing(1, Duration::from_millis(300))]);
    let stream = tokio::spawn(send_long(node.callers));
    time::sleep(Duration::from_millis(100)).await;
    gates.iter().for_each(|it| it.set(Mode::Reset));
    time::sleep(Duration::from_millis(900)).await;
    gates.iter().for_each(|it| it.set(Mode::Open));
    let answer = stream.await.or_fail()?.or_fail()?;
    expect_that!(answer.is_complete, eq(true));
    expect_that!(answer.body, eq(&site::events(1..=EVENTS)));
    Ok(())
}

/// Guards against streams at hosts that this node reaches, and that move since it can't reach some others.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn paths_to_some_hosts_that_are_lost_move_no_stream_at_the_others() -> Result<()> {
    let Gated { site, gates, node, _view, _other } = Gated::start("some", 5).await?;
    host::share_script(&site.replicas, [Behaviour::StreamPausing(3, Duration::from_millis(1000))]);
    let stream = tokio::spawn(send_long(node.callers));
    time::sleep(Duration::from_millis(60)).await;
    let index = site.replicas.iter().position(|it| !it.received().is_empty()).or_fail()?;
    let cut = (0..5).filter(|it| *it != index).take(3);
    cut.for_each(|it| gates[it].set(Mode::Reset));
    spawn_short(node.callers, 15);
    let answer = stream.await.or_fail()?.or_fail()?;
    expect_that!(answer.body, eq(&site::events(1..=EVENTS)));
    expect_that!(long_runs(&site), eq(1));
    Ok(())
}
