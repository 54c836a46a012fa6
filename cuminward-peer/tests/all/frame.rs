//! Tests of `server` with malformed, oversized and truncated frames.

use std::time::{Duration, Instant};

use cuminward_peer::{client, handshake, server};
use googletest::prelude::*;
use tokio::{io::AsyncWriteExt, net::TcpStream, time};

use crate::node::{self, NAME, Node};

/// Longest wait for the event of a bad frame.
const WAIT: Duration = Duration::from_secs(5);

/// Number of the event `peer-refused` of a refused connection.
const PEER_REFUSED: u16 = 1804;

/// Number of the event `frame-refused` of a refused frame.
const FRAME_REFUSED: u16 = 1803;

struct Case {
    name: &'static str,
    /// Whether the sender completes the handshake before it sends the bytes.
    authenticates: bool,
    bytes: Vec<u8>,
    /// Number of the event that the server must record.
    event: u16,
}

fn cases() -> Vec<Case> {
    let authenticated =
        |name, bytes| Case { name, authenticates: true, bytes, event: FRAME_REFUSED };
    let unauthenticated =
        |name, bytes| Case { name, authenticates: false, bytes, event: PEER_REFUSED };
    let frame = |length: u32, body: &[u8]| [&length.to_be_bytes()[..], body].concat();
    vec![
        unauthenticated("nothing", Vec::new()),
        unauthenticated("part of the first bytes", b"cwpee".to_vec()),
        unauthenticated("HTTP", b"GET / HTTP/1.1\r\nhost: x\r\n\r\n".to_vec()),
        unauthenticated("other version", [&b"cwpeer99"[..], &[0; 96]].concat()),
        unauthenticated("wrong proof", [&b"cwpeer01"[..], &[0; 96]].concat()),
        unauthenticated("zeros", vec![0; 100_000]),
        authenticated("oversized frame", frame(u32::MAX, b"x")),
        authenticated("frame just above the bound", frame(1025, &[0; 1025])),
        authenticated("truncated frame", frame(100, b"x")),
        authenticated("truncated length", vec![0, 0]),
        authenticated("unknown message", frame(4, &[255, 255, 255, 255])),
        authenticated(
            "length beyond the frame",
            frame(9, &[0, 253, 255, 255, 255, 255, 255, 255, 255]),
        ),
        authenticated("empty frame", frame(0, b"")),
    ]
}

#[gtest]
#[tokio::test]
async fn bad_frames_are_refused_and_later_calls_succeed() {
    let options = server::Options {
        max_frame: 1024,
        handshake_timeout: Duration::from_millis(200),
        ..server::Options::default()
    };
    let node = Node::start(options).await;
    for case in cases() {
        let before = node.sink.count(case.event);
        let mut stream = TcpStream::connect(&node.address).await.expect("the node listens");
        if case.authenticates {
            let result = handshake::connect(&mut stream, &node::secret()).await;
            expect_that!(result, ok(anything()), "{}", case.name);
        }
        // The server may close the connection before all bytes are written.
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
