//! Nodes of this build beside nodes of later builds, which a fake speaks for, and the bytes that all builds promise to read.

use std::{net::SocketAddr, time::Duration};

use cuminward_adapter::topic;
use cuminward_adapter_fake::host::{self, Behaviour};
use futures::StreamExt;
use googletest::prelude::*;
use tarpc::{
    context,
    serde_transport::Transport,
    server::{BaseChannel, Channel},
    tokio_serde::formats::Bincode,
};
use tokio::{
    net::{TcpListener, UdpSocket},
    task::JoinSet,
    time,
};

use crate::{
    former_build::{Digest, Known, Position},
    site::Site,
};

/// Interval of the digests of a fake node.
const DIGEST_INTERVAL: Duration = Duration::from_millis(100);

/// Time in which nodes hear of each other.
const SETTLE_TIME: Duration = Duration::from_millis(800);

/// Longest wait for a datagram of a node.
const DATAGRAM_TIMEOUT: Duration = Duration::from_secs(5);

/// The digest of [`example`], as the builds since 65465ef send it.
const GOLDEN_DIGEST: &str = "01000000000000006e01000000000000006407000000000000000900000000000000000000007f0000013930\
    01030000000000000001000000000000002a000000000000000200000000000000050000000000000001000000000000000b0000000000000004\
    00000001000000000000000300000000000000682d31010000000000000000\
    0000000000000000";

mod service {
    use crate::former_build::Known;

    #[tarpc::service]
    pub trait AntiEntropy {
        async fn records_since(known: Known) -> ();
        async fn changes_since(known: Known) -> ();
        async fn lend_retry(service: String) -> bool;
    }
}

use service::AntiEntropy;

/// Lends a retry to whoever asks.
#[derive(Clone)]
struct Lender;

impl AntiEntropy for Lender {
    async fn records_since(self, _: context::Context, _: Known) {}

    async fn changes_since(self, _: context::Context, _: Known) {}

    async fn lend_retry(self, _: context::Context, _: String) -> bool {
        true
    }
}

/// Returns a digest with a value in each field but those of crashes.
fn example() -> Digest {
    Digest {
        node: String::from("n"),
        domain: String::from("d"),
        start: 7,
        number: 9,
        address: SocketAddr::from(([127, 0, 0, 1], 12_345)),
        has_traffic: true,
        known: Known {
            version: 3,
            declarations: Position { era: 1, offset: 42 },
            listing: Position { era: 2, offset: 5 },
        },
        flights: vec![(11, 4)],
        lost: vec![String::from("h-1")],
        is_relay: true,
        sightings: Vec::new(),
        proofs: Vec::new(),
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|it| format!("{it:02x}")).collect()
}

/// Runs a fake node, whose digests end with `extension`, until the task is dropped.
async fn run_node(to: SocketAddr, extension: &'static str) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a loopback port is free");
    let send_digests = async {
        for number in 1.. {
            let digest = Digest {
                node: String::from("later"),
                number,
                address,
                known: Known::default(),
                flights: Vec::new(),
                lost: Vec::new(),
                is_relay: false,
                ..example()
            };
            let mut bytes = bincode::serialize(&digest).expect("a digest has an encoding");
            bytes.extend_from_slice(extension.as_bytes());
            socket.send_to(&bytes, to).await.expect("the socket is open");
            time::sleep(DIGEST_INTERVAL).await;
        }
    };
    let answer_calls = async {
        while let Ok((stream, _)) = listener.accept().await {
            let channel = BaseChannel::with_defaults(Transport::from((stream, Bincode::default())));
            tokio::spawn(channel.execute(Lender.serve()).for_each(|answer| async move {
                tokio::spawn(answer);
            }));
        }
    };
    tokio::join!(send_digests, answer_calls);
}

/// Guards against a later build that isn't heard since its digest says more, and against calls to nodes that don't know
/// them. Whether a node is heard, and which features it has, shows in whether it lends a retry.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn what_a_later_build_adds_to_its_digest_is_no_hindrance() -> Result<()> {
    struct Case {
        name: &'static str,
        extension: &'static str,
        is_asked: bool,
    }
    let cases = [
        Case {
            name: "present build",
            extension: r#"{"build":"1","features":[1,2]}"#,
            is_asked: true,
        },
        Case {
            name: "later build",
            extension: r#"{"mood":{"x":[1]},"features":[9,2,65535],"build":"9","z":null}"#,
            is_asked: true,
        },
        Case { name: "no build", extension: r#"{"features":[2]}"#, is_asked: true },
        Case {
            name: "without the feature",
            extension: r#"{"build":"9","features":[1]}"#,
            is_asked: false,
        },
        Case { name: "no features", extension: "{}", is_asked: false },
        Case { name: "no extension, as earlier builds", extension: "", is_asked: false },
        Case { name: "unreadable extension", extension: "\u{1}{", is_asked: false },
    ];
    for Case { name, extension, is_asked } in cases {
        let site = Site::start().await;
        let node = site.following_node("later-build", 100).await;
        let mut tasks = JoinSet::new();
        tasks.spawn(run_node(node.peers, extension));
        time::sleep(SETTLE_TIME).await;
        host::share_script(&site.plain, [Behaviour::CloseConnection]);
        let answer = node.send("POST", "/desk/1", &[], "body").await.or_fail()?;
        expect_that!(answer.status.is_success(), eq(is_asked), "{name}");
    }
    Ok(())
}

/// Guards against a digest whose layout changes, which nodes of the last builds couldn't read.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn digests_begin_with_the_bytes_that_earlier_builds_read() -> Result<()> {
    let golden: String = GOLDEN_DIGEST.split_whitespace().collect();
    expect_that!(hex(&bincode::serialize(&example()).or_fail()?), eq(&golden));
    let socket = UdpSocket::bind("127.0.0.1:0").await.or_fail()?;
    let address = socket.local_addr().or_fail()?;
    let site = Site::start().await;
    site.store.put(topic::NODES, "earlier", &address.to_string());
    let node = site.node("golden").await;
    let mut buffer = vec![0; 60_000];
    let received = time::timeout(DATAGRAM_TIMEOUT, socket.recv_from(&mut buffer)).await;
    let (length, _) = received.or_fail()?.or_fail()?;
    // As earlier builds read it: by position, and without regard to what follows.
    let digest: Digest = bincode::deserialize(&buffer[..length]).or_fail()?;
    expect_that!(digest.node, eq("golden"));
    expect_that!(digest.address, eq(node.peers));
    expect_that!(digest.is_relay, eq(true));
    let read = bincode::serialize(&digest).or_fail()?;
    expect_that!(&buffer[..read.len()], eq(read.as_slice()));
    let extension: serde_json::Value =
        serde_json::from_slice(&buffer[read.len()..length]).or_fail()?;
    expect_that!(extension["features"].as_array().map(Vec::len), some(ge(2)));
    Ok(())
}
