//! Malformed, oversized and truncated frames on the port between nodes.

use std::time::{Duration, Instant};

use cuminward_peer::{client, handshake, server};
use googletest::prelude::*;
use tokio::{io::AsyncWriteExt, net::TcpStream, time};

use crate::node::{self, NAME, Node};

/// Longest time until the node has noticed a bad frame.
const WAIT: Duration = Duration::from_secs(5);

/// Event of a refused connection.
const PEER_REFUSED: u16 = 1804;

/// Event of a refused frame.
const FRAME_REFUSED: u16 = 1803;

struct Case {
    name: &'static str,
    /// Whether the sender proves the secret first.
    proves: bool,
    bytes: Vec<u8>,
    /// Event that the node records.
    event: u16,
}

fn cases() -> Vec<Case> {
    let proven = |name, bytes| Case { name, proves: true, bytes, event: FRAME_REFUSED };
    let unproven = |name, bytes| Case { name, proves: false, bytes, event: PEER_REFUSED };
    let frame = |length: u32, body: &[u8]| [&length.to_be_bytes()[..], body].concat();
    vec![
        unproven("nothing", Vec::new()),
        unproven("part of the first bytes", b"cwpee".to_vec()),
        unproven("HTTP", b"GET / HTTP/1.1\r\nhost: x\r\n\r\n".to_vec()),
        unproven("other version", [&b"cwpeer99"[..], &[0; 96]].concat()),
        unproven("wrong proof", [&b"cwpeer01"[..], &[0; 96]].concat()),
        unproven("zeros", vec![0; 100_000]),
        proven("oversized frame", frame(u32::MAX, b"x")),
        proven("frame just above the bound", frame(1025, &[0; 1025])),
        proven("truncated frame", frame(100, b"x")),
        proven("truncated length", vec![0, 0]),
        proven("unknown message", frame(4, &[255, 255, 255, 255])),
        proven("length beyond the frame", frame(9, &[0, 253, 255, 255, 255, 255, 255, 255, 255])),
        proven("empty frame", frame(0, b"")),
    ]
}

#[gtest]
#[tokio::test]
async fn bad_frames_are_refused_and_nothing_falls_over() {
    let options = server::Options {
        max_frame: 1024,
        handshake_timeout: Duration::from_millis(200),
        ..server::Options::default()
    };
    let node = Node::start(options).await;
    for case in cases() {
        let before = node.sink.count(case.event);
        let mut stream = TcpStream::connect(&node.address).await.expect("the node listens");
        if case.proves {
            let proven = handshake::connect(&mut stream, &node::secret()).await;
            expect_that!(proven, ok(anything()), "{}", case.name);
        }
        // The node may close the connection while it is written to.
        let _ = stream.write_all(&case.bytes).await;
        let _ = stream.shutdown().await;
        let start = Instant::now();
        while node.sink.count(case.event) == before && start.elapsed() < WAIT {
            time::sleep(Duration::from_millis(2)).await;
        }
        expect_that!(node.sink.count(case.event), eq(before + 1), "{}", case.name);
        let pool = node::pool(&node.address, client::Options::default());
        let answer = pool.hello(NAME, node::hello("n1")).await;
        expect_that!(answer, ok(anything()), "after {}", case.name);
    }
}

#[gtest]
#[tokio::test]
async fn connections_beyond_the_bound_are_refused() {
    let node =
        Node::start(server::Options { max_connections: 1, ..server::Options::default() }).await;
    let first = node::pool(&node.address, client::Options::default());
    expect_that!(first.hello(NAME, node::hello("n1")).await, ok(anything()));
    let second = node::pool(&node.address, client::Options::default());
    expect_that!(second.hello(NAME, node::hello("n1")).await, err(anything()));
    expect_that!(first.hello(NAME, node::hello("n1")).await, ok(anything()));
    expect_that!(node.sink.count(PEER_REFUSED), eq(1));
}
