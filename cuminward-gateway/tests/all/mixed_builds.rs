//! What nodes of this build know 1 s after they met nodes of the build at commit ef07e0b, which a fake speaks for: parts
//! of limits, relays and elections.

use std::{
    collections::{BTreeSet, HashMap},
    io,
    net::SocketAddr,
    ops::RangeInclusive,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use cuminward_adapter::topic;
use cuminward_adapter_fake::{
    gate::{Gate, Mode},
    header,
    host::Host,
};
use futures::{StreamExt, future, stream};
use googletest::prelude::*;
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, copy},
    net::{TcpListener, TcpStream, UdpSocket},
    task::JoinSet,
    time,
};

use crate::{
    builds::{DATAGRAM_TIMEOUT, LEARN_TIME, shows},
    former_build::{Digest, Sighting, Subject, empty_digest, run_former_node, send_digests},
    site::{self, Node, Site},
};

/// Failure domain of the nodes of a site, and another one.
const DOMAIN: &str = "mercado";
const OTHER_DOMAIN: &str = "puerto";

/// Number of candidates of a failure domain.
const CANDIDATES: usize = 4;

/// Interval of the requests to a limited host.
const REQUEST_INTERVAL: Duration = Duration::from_millis(40);

/// Time for which requests are sent to a limited host.
const LOAD_TIME: Duration = Duration::from_secs(4);

/// Requests per second that the host of a case takes from all nodes together.
const RATE: f64 = 2.0;

/// First byte of a tunnel, and the reply to the request of one that is connected.
const TUNNEL: u8 = 1;
const CONNECTED: u8 = 0;

/// Bytes that a relay reads from a host at once.
const CHUNK: usize = 4096;

/// Time after a cut in which a node notices that it has lost its paths.
const CUT_TIME: Duration = Duration::from_millis(2500);

/// Time after its last digest from which a node doesn't count as present: 1.5 s, and an interval of digests. The node
/// joins the election within a third of its lease of 1.2 s.
const ABSENCE_TIME: Duration = Duration::from_millis(1500 + 400 + 400);

/// Returns the digest of a node of the former build in the domain of the site.
fn former(name: &str) -> Digest {
    empty_digest(String::from(name))
}

/// Starts nodes of the former build beside a node, and waits until it knows them.
async fn start_former_nodes(node: &Node, digests: impl IntoIterator<Item = Digest>) -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    for digest in digests {
        tasks.spawn(run_former_node(node.peers, digest));
    }
    time::sleep(LEARN_TIME).await;
    tasks
}

/// Sends requests to a node for [`LOAD_TIME`]; returns how many reached the host.
async fn load(node: &Node, host: &Host) -> usize {
    host.clear_received();
    let count = LOAD_TIME.div_duration_f64(REQUEST_INTERVAL) as u32;
    let sending = (0..count).map(|index| async move {
        time::sleep(REQUEST_INTERVAL * index).await;
        let _ = time::timeout(REQUEST_INTERVAL * 4, node.get(&format!("/desk/{index}"), &[])).await;
    });
    future::join_all(sending).await;
    host.received().len()
}

/// Changes the JSON text of a record in the store.
fn change_record(site: &Site, topic: &str, key: &str, change: impl FnOnce(&mut Value)) {
    let stored = site.store.value(topic, key).expect("the record is stored");
    let mut record: Value = serde_json::from_slice(&stored).expect("the record is JSON");
    change(&mut record);
    site.store.put(topic, key, &record.to_string());
}

/// Makes the host of a site cold for the whole test.
fn set_cold(site: &Site) {
    change_record(site, topic::DECLARATIONS, topic::CATALOG_KEY, |it| {
        it["version"] = json!(2);
        it["services"][0]["coldStartS"] = json!(60.0);
        it["services"][0]["coldPerS"] = json!(RATE);
    });
    change_record(site, topic::HOSTS, &site.plain[0].id, |it| {
        it["coldLeftMs"] = json!(60_000);
        it["seq"] = json!(1);
    });
}

/// Makes the host of a site name a limit.
fn name_limit(site: &Site) {
    site.plain[0].name_limit(Some(&RATE.to_string()));
}

/// Guards against limits that are divided only among nodes of this build, so that old and new ones together send a host
/// more than it takes.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn limits_are_divided_among_nodes_of_all_builds() {
    struct Case {
        name: &'static str,
        set_limit: fn(&Site),
        former_nodes: usize,
        /// Smallest and largest number of requests that the node sends the host in [`LOAD_TIME`].
        requests: RangeInclusive<usize>,
    }
    let cases = [
        Case { name: "cold, alone", set_limit: set_cold, former_nodes: 0, requests: 5..=9 },
        Case { name: "limit, alone", set_limit: name_limit, former_nodes: 0, requests: 5..=9 },
        // 1 + 4 s * 2/s / 4 nodes
        Case { name: "limit, beside 3", set_limit: name_limit, former_nodes: 3, requests: 1..=3 },
    ];
    let playing = cases.map(|case| async move {
        let site = Site::with_hosts(1, 1).await;
        site.configure(1, None);
        let node = site.node("divides").await;
        let formers = (0..case.former_nodes).map(|it| former(&format!("former-{it}")));
        let _formers = start_former_nodes(&node, formers).await;
        (case.set_limit)(&site);
        time::sleep(LEARN_TIME).await;
        let _ = node.get("/desk/first", &[]).await;
        (case, load(&node, &site.plain[0]).await)
    });
    for (case, requests) in future::join_all(playing).await {
        expect_that!(case.requests.contains(&requests), eq(true), "{}: {requests}", case.name);
    }
}

/// Guards against a cold host that gets its whole rate from the node of this build although a node of the former build
/// sends its part too. Of two nodes, one owns the host, and which of them depends on the names alone.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn one_node_of_both_builds_together_owns_a_cold_host() {
    const NAMES: [&str; 2] = ["cold-a", "cold-b"];
    let playing = [0, 1].map(|own| async move {
        let site = Site::with_hosts(1, 1).await;
        site.configure(1, None);
        let node = site.node(NAMES[own]).await;
        let _former = start_former_nodes(&node, [former(NAMES[1 - own])]).await;
        set_cold(&site);
        time::sleep(LEARN_TIME).await;
        load(&node, &site.plain[0]).await
    });
    let mut requests = future::join_all(playing).await;
    requests.sort();
    expect_that!(requests, elements_are![eq(&0), all![ge(&5), le(&9)]]);
}

/// Receives datagrams of a node until one has an extension with limits. Returns its digest, as the former build reads it,
/// and the limits.
async fn receive_limits(socket: &UdpSocket) -> Result<(Digest, Value)> {
    let mut buffer = vec![0; 60_000];
    loop {
        let received = time::timeout(DATAGRAM_TIMEOUT, socket.recv_from(&mut buffer)).await;
        let (length, _) = received.or_fail()?.or_fail()?;
        let digest: Digest = bincode::deserialize(&buffer[..length]).or_fail()?;
        let read = bincode::serialized_size(&digest).or_fail()? as usize;
        let extension = serde_json::from_slice::<Value>(&buffer[read..length]);
        if let Some(limits) = extension.ok().and_then(|it| it.get("limits").cloned()) {
            return Ok((digest, limits));
        }
    }
}

/// Starts a site with one plain host, and a node whose datagrams arrive at the socket.
async fn start_observed_node() -> Result<(Site, Node, UdpSocket)> {
    let socket = UdpSocket::bind("127.0.0.1:0").await.or_fail()?;
    let site = Site::with_hosts(1, 1).await;
    site.configure(1, None);
    let address = socket.local_addr().or_fail()?;
    site.store.put(topic::NODES, "earlier", &address.to_string());
    let node = site.node("observed").await;
    Ok((site, node, socket))
}

/// Guards against limits that keep nodes of the former build from reading a digest, and against digests of later builds
/// that aren't read for what they say of limits.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn what_is_told_of_limits_is_no_hindrance_to_digests() -> Result<()> {
    struct Case {
        name: &'static str,
        /// Limits that a node tells, from those that this build tells.
        change: fn(&mut Value),
        /// Whether the node that hears of them keeps them.
        is_kept: bool,
    }
    let cases = [
        Case { name: "as this build", change: |_| {}, is_kept: true },
        Case {
            name: "further fields",
            change: |it| it[0]["mood"] = json!({ "x": [1] }),
            is_kept: true,
        },
        Case { name: "no limits", change: |it| *it = json!([]), is_kept: false },
        Case { name: "unknown host", change: |it| it[0]["host"] = json!(7), is_kept: false },
        Case { name: "entry without a host", change: |it| it[0] = json!({}), is_kept: false },
        Case { name: "entry of another type", change: |it| it[0] = json!("h"), is_kept: false },
        Case { name: "limits of another type", change: |it| *it = json!(7), is_kept: false },
    ];
    let (site, node, socket) = start_observed_node().await?;
    name_limit(&site);
    expect_that!(node.get("/desk/1", &[]).await.or_fail()?.status.as_u16(), eq(200));
    let (digest, limits) = receive_limits(&socket).await?;
    expect_that!(digest.node, eq("observed"));
    for Case { name, change, is_kept } in cases {
        let (site, node, _socket) = start_observed_node().await?;
        let mut limits = limits.clone();
        change(&mut limits);
        let extension = json!({ "build": "9", "features": [2], "limits": limits }).to_string();
        let mut tasks = JoinSet::new();
        let sightings = (1..=3).map(dead_part).collect();
        let digest = Digest { sightings, ..former("later") };
        tasks.spawn(async move { send_digests(node.peers, digest, &extension).await });
        time::sleep(LEARN_TIME).await;
        let headers = [(header::MODEL, site::MODEL), (header::PROMPT_PARTS, "dead:100,1:10")];
        let answer = node.send("POST", "/chat/1", &headers, "body").await.or_fail()?;
        expect_that!(answer.status.as_u16(), eq(503), "{name}: the digest counts");
        let status = node.get("/desk/1", &[]).await.or_fail()?.status.as_u16();
        expect_that!(status, eq(if is_kept { 503 } else { 200 }), "{name}");
        expect_that!(site.plain[0].received().len(), eq(usize::from(!is_kept)), "{name}");
    }
    Ok(())
}

/// Returns a crash of requests with the part `dead`; three of them put it into quarantine.
fn dead_part(crash: u64) -> Sighting {
    let subject = Subject::Part(0xdead);
    Sighting { subject, crash, age_ms: crash * 3000, companions: BTreeSet::new() }
}

/// A relay of the former build.
#[derive(Clone)]
struct Relay {
    hosts: Arc<HashMap<String, SocketAddr>>,
    tunnels: Arc<AtomicUsize>,
}

/// Access
impl Relay {
    /// Serves connections until the task is dropped.
    async fn run(self, listener: TcpListener) {
        let connections = stream::unfold(listener, |listener| async move {
            let (connection, _) = listener.accept().await.ok()?;
            Some((connection, listener))
        });
        let serve = |connection| async {
            let _ = self.serve(connection).await;
        };
        connections.for_each_concurrent(None, serve).await;
    }

    /// Serves a tunnel. Other connections are closed.
    async fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        if stream.read_u8().await? != TUNNEL {
            return Ok(());
        }
        let mut id = vec![0; stream.read_u32().await? as usize];
        stream.read_exact(&mut id).await?;
        self.tunnels.fetch_add(1, Ordering::Relaxed);
        let address = self.hosts[&String::from_utf8_lossy(&id).into_owned()];
        let (mut from_host, mut to_host) = TcpStream::connect(address).await?.into_split();
        let (mut from_node, mut to_node) = stream.into_split();
        write_frame(&mut to_node, &[CONNECTED]).await?;
        let to_host = async { copy(&mut from_node, &mut to_host).await.map(|_| ()) };
        let to_node = async {
            let mut chunk = vec![0; CHUNK];
            loop {
                let length = from_host.read(&mut chunk).await?;
                write_frame(&mut to_node, &chunk[..length]).await?;
                if length == 0 {
                    return io::Result::Ok(());
                }
            }
        };
        tokio::try_join!(to_host, to_node)?;
        Ok(())
    }
}

/// Writes the length of a frame and its bytes.
async fn write_frame(to: &mut (impl AsyncWriteExt + Unpin), bytes: &[u8]) -> io::Result<()> {
    to.write_u32(bytes.len() as u32).await?;
    to.write_all(bytes).await
}

/// Sends idempotent requests for a time; returns how many were served and how many there were.
async fn send_for(node: &Node, duration: Duration) -> (usize, usize) {
    const PAUSE: Duration = Duration::from_millis(40);
    let count = duration.div_duration_f64(PAUSE) as u32;
    let sending = (0..count).map(|index| async move {
        time::sleep(PAUSE * index).await;
        let path = format!("/desk/{index}");
        node.get(&path, &[]).await.is_ok_and(|it| it.status.is_success())
    });
    let served = future::join_all(sending).await.into_iter().filter(|it| *it).count();
    (served, count as usize)
}

/// Guards against a stranded node that doesn't use nodes of the former build as relays, and against one that uses nodes
/// that don't offer it.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn the_relay_flag_of_a_former_build_is_believed() -> Result<()> {
    for is_relay in [true, false] {
        let site = Site::start().await;
        let mut gates = Vec::new();
        for host in &site.plain {
            let gate = Gate::start(host.address).await.or_fail()?;
            change_record(&site, topic::HOSTS, &host.id, |it| {
                it["address"] = json!(gate.address.to_string());
            });
            gates.push(gate);
        }
        let node = site.node("stranded").await;
        let listener = TcpListener::bind("127.0.0.1:0").await.or_fail()?;
        let address = listener.local_addr().or_fail()?;
        let hosts = site.plain.iter().map(|it| (it.id.clone(), it.address)).collect();
        let relay = Relay { hosts: Arc::new(hosts), tunnels: Arc::default() };
        let mut tasks = JoinSet::new();
        tasks.spawn(relay.clone().run(listener));
        let digest = Digest { address, is_relay, ..former("relay") };
        tasks.spawn(send_digests(node.peers, digest, ""));
        time::sleep(LEARN_TIME).await;
        gates.iter().for_each(|it| it.set(Mode::Silent));
        send_for(&node, CUT_TIME).await;
        let (served, sent) = send_for(&node, LEARN_TIME).await;
        expect_that!(served, eq(if is_relay { sent } else { 0 }));
        expect_that!(relay.tunnels.load(Ordering::Relaxed) > 0, eq(is_relay));
    }
    Ok(())
}

/// Guards against nodes that offer to connect others to hosts while they stop, so that tunnels through them are cut.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_node_withdraws_its_relay_flag_within_a_second() -> Result<()> {
    let (_site, node, socket) = start_observed_node().await?;
    expect_that!(shows(&socket, LEARN_TIME, |it| it.is_relay).await, eq(true));
    let stopping = tokio::spawn(node.gateway.stop());
    expect_that!(shows(&socket, LEARN_TIME, |it| !it.is_relay).await, eq(true));
    stopping.await.or_fail()
}

/// Guards against stewards and readers of the store that are chosen among nodes of this build only: then more than the
/// usual number of nodes are candidates, or none while the others are gone.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn nodes_of_the_former_build_count_as_candidates_until_they_are_gone() {
    struct Case {
        name: &'static str,
        /// What the names of the nodes of the former build begin with; that of the other node is `m`.
        prefix: &'static str,
        domain: &'static str,
        former_nodes: usize,
        is_candidate: bool,
    }
    let all_before = Case {
        name: "all before",
        prefix: "a",
        domain: DOMAIN,
        former_nodes: CANDIDATES,
        is_candidate: false,
    };
    let cases = [
        Case { name: "too few", former_nodes: CANDIDATES - 1, is_candidate: true, ..all_before },
        Case { name: "all after", prefix: "z", is_candidate: true, ..all_before },
        Case { name: "other domain", domain: OTHER_DOMAIN, is_candidate: true, ..all_before },
        all_before,
    ];
    let playing = cases.map(|case| async move {
        let site = Site::start().await;
        let node = site.node("m").await;
        let formers = (0..case.former_nodes).map(|index| Digest {
            domain: String::from(case.domain),
            ..former(&format!("{}-{index}", case.prefix))
        });
        let mut formers = start_former_nodes(&node, formers).await;
        let beside = site.store.member_count();
        formers.abort_all();
        while formers.join_next().await.is_some() {}
        time::sleep(ABSENCE_TIME).await;
        (case, beside, site.store.member_count())
    });
    for (case, beside, alone) in future::join_all(playing).await {
        expect_that!(beside == 1, eq(case.is_candidate), "{}", case.name);
        expect_that!(alone, eq(1), "{}, the others are gone", case.name);
    }
}
