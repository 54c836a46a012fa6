//! Nodes of this build beside nodes of the build at commit ef07e0b, which a fake speaks for.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use cuminward_derive::record;
use futures::{StreamExt, stream};
use googletest::prelude::*;
use serde::{Serialize, de::DeserializeOwned};
use tarpc::{
    client, context,
    serde_transport::{Transport, tcp},
    server::{BaseChannel, Channel, Serve},
    tokio_serde::formats::Bincode,
};
use tokio::{
    net::{TcpListener, UdpSocket},
    task::JoinSet,
    time,
};

use crate::{
    configuration::{IN_FORCE, new_route, wait_for_status},
    site::{Node, Site, replica_entry},
};

/// Number of nodes that read the store for the others.
const READERS: usize = 4;

/// Interval of the digests of a fake node.
const DIGEST_INTERVAL: Duration = Duration::from_millis(100);

/// Time in which the nodes hear of each other and agree on who reads the store.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// A position of the store's log.
#[record]
#[derive(Default)]
pub(crate) struct Position {
    pub(crate) era: u64,
    pub(crate) offset: u64,
}

/// What a node has.
#[record]
#[derive(Default)]
pub(crate) struct Known {
    pub(crate) version: u64,
    pub(crate) declarations: Position,
    pub(crate) listing: Position,
}

/// A record of a topic.
#[record]
struct Record {
    position: Position,
    key: String,
    value: Option<Vec<u8>>,
}

/// Records that a node lacks.
#[record]
#[derive(Default)]
struct Delta {
    declarations: Vec<Record>,
    listing: Vec<Record>,
}

/// What crashing requests have in common.
#[record]
#[derive(Eq, PartialOrd, Ord)]
pub(crate) enum Subject {
    Request(u64),
    Part(u64),
}

/// A subject that was in flight at a crash.
#[record]
pub(crate) struct Sighting {
    pub(crate) subject: Subject,
    pub(crate) crash: u64,
    pub(crate) age_ms: u64,
    pub(crate) companions: BTreeSet<Subject>,
}

/// A subject whose request got a response.
#[record]
pub(crate) struct Proof {
    subject: Subject,
    age_ms: u64,
}

/// A digest.
#[record]
pub(crate) struct Digest {
    pub(crate) node: String,
    pub(crate) domain: String,
    pub(crate) start: u64,
    pub(crate) number: u64,
    pub(crate) address: SocketAddr,
    pub(crate) has_traffic: bool,
    pub(crate) known: Known,
    pub(crate) flights: Vec<(u64, u32)>,
    pub(crate) lost: Vec<String>,
    pub(crate) is_relay: bool,
    pub(crate) sightings: Vec<Sighting>,
    pub(crate) proofs: Vec<Proof>,
}

mod service {
    use super::{Delta, Known};

    #[tarpc::service]
    pub trait AntiEntropy {
        async fn records_since(known: Known) -> Delta;
    }
}

use service::{AntiEntropy, AntiEntropyClient};

/// Answers with what a fake node has, whatever the caller has.
#[derive(Clone, Default)]
struct Server {
    delta: Arc<Mutex<Delta>>,
}

impl AntiEntropy for Server {
    async fn records_since(self, _: context::Context, _: Known) -> Delta {
        self.delta.lock().expect("no holder panics").clone()
    }
}

/// Runs a fake node until the task is dropped: sends digests to `to`, which are `digest` with their number and address and
/// then the text `extension`, and answers calls.
pub(crate) async fn run_node<S>(to: SocketAddr, digest: Digest, extension: &str, server: S)
where
    S: Serve<Req: DeserializeOwned, Resp: Serialize> + Clone,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let connections = stream::unfold(listener, |listener| async move {
        let (connection, _) = listener.accept().await.ok()?;
        Some((connection, listener))
    });
    let answer_calls = connections.for_each_concurrent(None, |connection| {
        let transport = Transport::from((connection, Bincode::default()));
        let calls = BaseChannel::with_defaults(transport).execute(server.clone());
        calls.for_each_concurrent(None, |answer| answer)
    });
    tokio::join!(send_digests(to, Digest { address, ..digest }, extension), answer_calls);
}

/// Sends digests to `to` until the task is dropped, which are `digest` with their number and then the text `extension`.
pub(crate) async fn send_digests(to: SocketAddr, digest: Digest, extension: &str) {
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a loopback port is free");
    for number in 1.. {
        let digest = Digest { number, ..digest.clone() };
        let mut bytes = bincode::serialize(&digest).expect("a digest has an encoding");
        bytes.extend_from_slice(extension.as_bytes());
        socket.send_to(&bytes, to).await.expect("the socket is open");
        time::sleep(DIGEST_INTERVAL).await;
    }
}

/// Runs a fake node of the former build that has nothing until the task is dropped.
pub(crate) async fn run_former_node(to: SocketAddr, digest: Digest) {
    run_node(to, digest, "", Server::default().serve()).await;
}

/// Returns the digest of a fake node that has nothing, without its number and address.
pub(crate) fn empty_digest(name: String) -> Digest {
    Digest {
        node: name,
        domain: String::from("mercado"),
        start: 1,
        number: 0,
        address: SocketAddr::from(([127, 0, 0, 1], 0)),
        has_traffic: false,
        known: Known::default(),
        flights: Vec::new(),
        lost: Vec::new(),
        is_relay: false,
        sightings: Vec::new(),
        proofs: Vec::new(),
    }
}

/// Starts a node that leaves reading the store to fake nodes of the former build.
async fn start_follower(site: &Site, name: &str) -> (Node, JoinSet<()>) {
    let node = site.node(&format!("{name}-z")).await;
    let mut readers = JoinSet::new();
    for index in 0..READERS {
        let digest = empty_digest(format!("{name}-{index}"));
        readers.spawn(run_node(node.peers, digest, "", Server::default().serve()));
    }
    time::sleep(SETTLE_TIME).await;
    (node, readers)
}

/// Guards against a node that takes what nodes of a former build have for fresh, as these can't say how old it is.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_change_is_in_force_beside_readers_of_the_former_build_that_miss_it() {
    let site = Site::start().await;
    let (node, _readers) = start_follower(&site, "former").await;
    for version in 2..5 {
        let route = if version % 2 == 0 { new_route() } else { None };
        let expected = if version % 2 == 0 { 200 } else { 404 };
        site.configure(version, route);
        let is_in_force = wait_for_status(&node, "/new/1", expected).await;
        expect_that!(is_in_force, eq(true), "version {version}");
    }
}

/// Guards against a call between nodes that the former build no longer understands.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_node_of_the_former_build_is_answered_in_its_own_form() -> Result<()> {
    let site = Site::start().await;
    let node = site.node("answering").await;
    let transport = tcp::connect(node.peers, Bincode::default).await.or_fail()?;
    let client = AntiEntropyClient::new(client::Config::default(), transport).spawn();
    let delta = client.records_since(context::current(), Known::default()).await.or_fail()?;
    let keys =
        |records: &[Record]| -> Vec<String> { records.iter().map(|it| it.key.clone()).collect() };
    expect_that!(keys(&delta.declarations), elements_are![eq("config")]);
    expect_that!(
        keys(&delta.listing),
        unordered_elements_are![eq("e-0"), eq("e-1"), eq("p-0"), eq("p-1")]
    );
    Ok(())
}

/// Guards against a copy that counts as complete although a node of the former build, which defers a removal, handed
/// out later records only.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_removal_that_a_node_of_the_former_build_leaves_out_is_learned_from_others() {
    // Offset of a record after the entries of all hosts and both removals.
    const LATER: u64 = 6;
    for round in 0..6 {
        let site = Site::start().await;
        let node = site.node(&format!("mixed{round}-z")).await;
        let server = Server::default();
        let mut readers = JoinSet::new();
        for index in 0..READERS / 2 {
            let name = format!("mixed{round}-{index}");
            readers.spawn(run_node(node.peers, empty_digest(name), "", server.clone().serve()));
        }
        let mut nodes = Vec::new();
        for index in READERS / 2..READERS {
            nodes.push(site.node(&format!("mixed{round}-{index}")).await);
        }
        time::sleep(SETTLE_TIME).await;
        for host in &site.plain {
            site.store.put_raw_entry(&host.id, "");
        }
        let later = &site.replicas[0];
        site.store.put_entry(&later.id, &replica_entry(later));
        server.delta.lock().expect("no holder panics").listing = vec![Record {
            position: Position { era: 1, offset: LATER },
            key: later.id.clone(),
            value: site.store.entry(&later.id),
        }];
        time::sleep(IN_FORCE).await;
        expect_that!(nodes.len(), eq(READERS / 2));
        let status = node.get("/desk/1", &[]).await.map(|it| it.status.as_u16()).ok();
        expect_that!(status, some(eq(503)), "no host is left, round {round}");
    }
}
