//! Nodes of this build beside nodes of later builds, which a fake speaks for, and the bytes that all builds promise to read.

use std::{
    collections::BTreeSet,
    io,
    net::SocketAddr,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use cuminward_adapter::topic;
use cuminward_adapter_fake::{
    header,
    host::{self, Behaviour},
};
use cuminward_gateway::build;
use googletest::prelude::*;
use tarpc::context;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpStream, UdpSocket},
    task::JoinSet,
    time,
};

use crate::{
    former_build::{Digest, Known, Position, Sighting, Subject, run_node},
    site::{self, Node, Site},
};

/// Time in which nodes hear of each other.
const SETTLE_TIME: Duration = Duration::from_millis(800);

/// Time in which a node learns what a digest tells.
pub(crate) const LEARN_TIME: Duration = Duration::from_secs(1);

/// Time within which a node's digests show what has happened: it finds out by itself within the first second.
const SHOW_TIME: Duration = Duration::from_secs(2);

/// Number of hosts of a replica.
const SIZE: usize = 2;

/// Number of pairs of requests, one after the other, of which one has to reach a certain replica.
const PAIRS: usize = 10;

/// Silence of a lost host.
const SILENCE: Duration = Duration::from_secs(3);

/// Longest wait for a datagram of a node.
pub(crate) const DATAGRAM_TIMEOUT: Duration = Duration::from_secs(5);

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
        let digest = Digest {
            node: String::from("later"),
            known: Known::default(),
            flights: Vec::new(),
            lost: Vec::new(),
            is_relay: false,
            ..example()
        };
        tasks.spawn(run_node(node.peers, digest, extension, Lender.serve()));
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
    expect_that!(extension["build"].as_str(), some(eq(build::VERSION)));
    Ok(())
}

/// Sends the bytes of a call to a node and returns those of its answer, in hexadecimal digits.
async fn call(node: SocketAddr, request: &str) -> io::Result<String> {
    let digits: Vec<char> = request.chars().collect();
    let byte = |it: &[char]| u8::from_str_radix(&it.iter().collect::<String>(), 16);
    let bytes: Vec<u8> = digits.chunks(2).filter_map(|it| byte(it).ok()).collect();
    let mut stream = TcpStream::connect(node).await?;
    stream.write_all(&bytes).await?;
    let mut length = [0; 4];
    stream.read_exact(&mut length).await?;
    let mut answer = vec![0; u32::from_be_bytes(length) as usize];
    stream.read_exact(&mut answer).await?;
    Ok(hex(&answer))
}

/// Guards against calls whose layout changes. The bytes were recorded from a client with these layouts; that of
/// `records_since` is ef07e0b's. The caller knows what [`example`] does; the answers hold nothing newer.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn calls_are_read_and_answered_in_the_bytes_of_earlier_builds() -> Result<()> {
    struct Case {
        name: &'static str,
        request: &'static str,
        /// The answer's bytes, as a regular expression.
        answer: &'static str,
    }
    let cases = [
        Case {
            name: "records_since",
            request: "000000280009fc4a21993b00000000000000000000000000000000\
                      fd9bcb49db11add58601000003012a0205",
            answer: "0000000000",
        },
        Case {
            name: "changes_since",
            request: "000000280009fc26f5993b00000000000000000000000000000000\
                      fd15af03bdbec9a4c801000103012a0205",
            answer: r"000001000001(..|fb....)000001(..|fb....)",
        },
        Case {
            name: "lend_retry",
            request: "000000280009fcba91993b00000000000000000000000000000000\
                      fde3f11cbaaea9f9c8010002046465736b",
            answer: "00000201",
        },
    ];
    let site = Site::start().await;
    let node = site.node("calls").await;
    for Case { name, request, answer } in cases {
        let answered = time::timeout(DATAGRAM_TIMEOUT, call(node.peers, request)).await;
        expect_that!(answered.or_fail()?.or_fail()?, matches_regex(answer), "{name}");
    }
    Ok(())
}

/// What happens at a node, and what its digests show of it within [`SHOW_TIME`].
struct Row {
    name: &'static str,
    event: fn(&Site, &Node) -> Pending,
    is_shown: fn(&Digest) -> bool,
}

/// An event that takes a while.
type Pending = std::pin::Pin<Box<dyn Future<Output = ()> + Send>>;

/// Starts a GET request to a node, whatever becomes of it.
fn send(node: &Node, path: &'static str, parts: &'static str) -> Pending {
    let callers = node.callers;
    Box::pin(async move {
        let headers = [(header::MODEL, site::MODEL), (header::PROMPT_PARTS, parts)];
        let _ = site::send(callers, "POST", path, &headers, "body").await;
    })
}

/// Receives digests for up to `duration`; returns whether one shows what was asked for, as earlier builds read it.
pub(crate) async fn shows(
    socket: &UdpSocket,
    duration: Duration,
    is_shown: fn(&Digest) -> bool,
) -> bool {
    let mut buffer = vec![0; 60_000];
    let received = async {
        loop {
            let Ok((length, _)) = socket.recv_from(&mut buffer).await else { return };
            let digest = bincode::deserialize::<Digest>(&buffer[..length]);
            if digest.is_ok_and(|it| is_shown(&it)) {
                return;
            }
        }
    };
    time::timeout(duration, received).await.is_ok()
}

/// Guards against a node of an earlier build that doesn't learn what the others know: their load, lost hosts, crashing
/// requests, versions, and that they leave.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn digests_show_nodes_of_earlier_builds_what_has_happened() -> Result<()> {
    let rows = [
        Row {
            name: "load",
            event: |site, node| {
                let pausing = Behaviour::StreamPausing(1, Duration::from_secs(1));
                host::share_script(&site.replicas, [pausing]);
                send(node, "/chat/1", "1:10")
            },
            is_shown: |it| it.flights.iter().any(|(_, count)| *count == 1),
        },
        Row {
            name: "lost host",
            event: |site, node| {
                site.replicas[..SIZE].iter().for_each(|it| it.fall_silent(SILENCE));
                // Both of a pair may go to the other replica if the first one ends before the second is sent.
                let pairs: Vec<[Pending; 2]> = (0..PAIRS)
                    .map(|_| [send(node, "/chat/1", "1:10"), send(node, "/chat/2", "2:10")])
                    .collect();
                Box::pin(async {
                    for [first, second] in pairs {
                        tokio::join!(first, second);
                    }
                })
            },
            is_shown: |it| it.lost.iter().any(|it| it.starts_with("e-")),
        },
        Row {
            name: "crash",
            event: |site, node| {
                site.replicas.iter().for_each(|it| it.crash_on_part("dead"));
                send(node, "/chat/1", "dead:100,1:10")
            },
            is_shown: |it| it.sightings.iter().any(|it| it.subject == Subject::Part(0xdead)),
        },
        Row {
            name: "version",
            event: |site, _| {
                site.configure_size(2, SIZE);
                Box::pin(async {})
            },
            is_shown: |it| it.known.version == 2,
        },
    ];
    for Row { name, event, is_shown } in rows {
        let socket = UdpSocket::bind("127.0.0.1:0").await.or_fail()?;
        let site = Site::with_engine_hosts(2 * SIZE).await;
        site.join_replicas(1, SIZE, None);
        let address = socket.local_addr().or_fail()?;
        site.store.put(topic::NODES, "earlier", &address.to_string());
        let node = site.node("exchange").await;
        let happening = tokio::spawn(event(&site, &node));
        expect_that!(shows(&socket, SHOW_TIME, is_shown).await, eq(true), "{name}");
        happening.abort();
    }
    Ok(())
}

/// Guards against a node that doesn't learn from nodes of earlier builds which requests crash hosts.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_quarantine_of_an_earlier_build_is_believed_within_a_second() -> Result<()> {
    let site = Site::start().await;
    let node = site.node("believes").await;
    let socket = UdpSocket::bind("127.0.0.1:0").await.or_fail()?;
    let sighting = |crash| Sighting {
        subject: Subject::Part(0xdead),
        crash,
        // Crashes at the same time count once.
        age_ms: crash * 3000,
        companions: BTreeSet::new(),
    };
    let digest =
        Digest { known: Known::default(), sightings: (1..=3).map(sighting).collect(), ..example() };
    socket.send_to(&bincode::serialize(&digest).or_fail()?, node.peers).await.or_fail()?;
    time::sleep(LEARN_TIME).await;
    for (parts, expected) in [("dead:100,1:10", 503), ("beef:100,1:10", 200)] {
        let headers = [(header::MODEL, site::MODEL), (header::PROMPT_PARTS, parts)];
        let answer = node.send("POST", "/chat/1", &headers, "body").await.or_fail()?;
        expect_that!(answer.status.as_u16(), eq(expected), "{parts}");
    }
    Ok(())
}

/// Milliseconds since the Unix epoch.
fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis()
}

/// Guards against records of the store whose form changes, and against records of a later build that a node loses or
/// stumbles over. Three crashes of a subject put it into quarantine.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn records_in_the_store_are_read_and_kept_across_builds() -> Result<()> {
    struct Case {
        name: &'static str,
        /// Fields of each record but for its crash and its time.
        fields: &'static str,
        is_refused: bool,
    }
    let cases = [
        Case {
            name: "present build",
            fields: r#""subject":{"Part":57005},"companions":[]"#,
            is_refused: true,
        },
        Case { name: "a field less", fields: r#""subject":{"Part":57005}"#, is_refused: true },
        Case {
            name: "a field more",
            fields: r#""mood":{"x":[1]},"subject":{"Part":57005},"companions":[],"by":"n""#,
            is_refused: true,
        },
        Case {
            name: "another subject",
            fields: r#""subject":{"Mood":7},"companions":[]"#,
            is_refused: false,
        },
    ];
    for Case { name, fields, is_refused } in cases {
        let site = Site::start().await;
        let mut stored = Vec::new();
        for crash in 1..=3 {
            let at = unix_ms() - 1000 * crash;
            let value = format!(r#"{{{fields},"crash":{crash},"at_unix_ms":{at}}}"#);
            let key = format!("part:dead/{crash:x}");
            site.store.put(topic::CRASHES, &key, &value);
            stored.push((key, value));
        }
        site.store.put(topic::NODES, "later", "mood://7");
        let node = site.node("records").await;
        let headers = [(header::MODEL, site::MODEL), (header::PROMPT_PARTS, "dead:100,1:10")];
        let answer = node.send("POST", "/chat/1", &headers, "body").await.or_fail()?;
        expect_that!(answer.status.as_u16() == 503, eq(is_refused), "{name}");
        time::sleep(LEARN_TIME).await;
        for (key, value) in stored {
            let kept = site.store.value(topic::CRASHES, &key);
            expect_that!(kept.as_deref(), some(eq(value.as_bytes())), "{name}, {key}");
        }
        let kept = site.store.value(topic::NODES, "later");
        expect_that!(kept.as_deref(), some(eq(b"mood://7")), "{name}");
        let own = site.store.value(topic::NODES, "records");
        expect_that!(own.as_deref(), some(eq(node.peers.to_string().as_bytes())), "{name}");
    }
    Ok(())
}
