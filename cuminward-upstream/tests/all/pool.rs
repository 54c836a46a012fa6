//! What a pool does between opening a connection and sending a request.

use std::{
    io,
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

use bytes::Bytes;
use cuminward_upstream::{
    connector::{Connected, Connector, Direct},
    error::Error,
    pool::{Options, Pool, Ready},
};
use googletest::prelude::*;
use http::{HeaderValue, Request};
use http_body_util::Full;
use tokio::{net::TcpStream, time};

use crate::raw::{Step, Upstream};

/// Time that a slow connection takes to open.
const CONNECT_TIME: Duration = Duration::from_millis(200);

const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
const HEADER_TIMEOUT: Duration = Duration::from_secs(1);

/// Header in which these tests hand on the time that is left, in milliseconds.
const TIME_LEFT: &str = "time-left";

/// Connects after [`CONNECT_TIME`].
#[derive(Debug, Clone, Copy)]
struct Slow;

impl Connector for Slow {
    type Stream = TcpStream;

    async fn connect(&self, address: &str) -> io::Result<Connected<TcpStream>> {
        time::sleep(CONNECT_TIME).await;
        Direct.connect(address).await
    }
}

/// Guards against upstreams that are handed more time than is left, or a request whose time has passed, as the
/// connection took long to open.
#[gtest]
#[tokio::test]
async fn a_request_is_completed_once_its_connection_is_open() {
    struct Case {
        name: &'static str,
        /// Time that the request has when it is handed to the pool.
        time: Duration,
        is_sent: bool,
    }
    let cases = [
        Case { name: "enough time", time: 5 * CONNECT_TIME, is_sent: true },
        Case { name: "expires while connecting", time: CONNECT_TIME / 2, is_sent: false },
    ];
    for Case { name, time, is_sent } in cases {
        let response = String::from("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
        let upstream = Upstream::start(vec![vec![Step::Send(response)]]).await;
        let pool: Pool<Full<Bytes>, Slow> = Pool::with_connector(Options::default(), Slow);
        let started = Instant::now();
        let prepared = std::sync::Mutex::new(None);
        let prepare = |request: &mut Request<Full<Bytes>>| {
            let left = time.saturating_sub(started.elapsed());
            request.headers_mut().insert(TIME_LEFT, HeaderValue::from(left.as_millis() as u64));
            *prepared.lock().expect("no holder panics") = Some(left);
            if left.is_zero() { Ready::Expired } else { Ready::Send }
        };
        let request = Request::new(Full::new(Bytes::new()));
        let sent =
            pool.send_with(&upstream.address, request, IDLE_TIMEOUT, HEADER_TIMEOUT, prepare).await;
        let left = prepared.lock().expect("no holder panics").take();
        expect_that!(left, some(le(time.saturating_sub(CONNECT_TIME))), "{name}");
        let requests = upstream.record.requests.load(Ordering::SeqCst);
        expect_that!(requests, eq(usize::from(is_sent)), "{name}");
        match sent {
            Ok(response) => {
                expect_that!(response.status().as_u16(), eq(200), "{name}");
            }
            Err(failure) => {
                expect_that!(failure.request.is_some(), eq(true), "{name}: it wasn't sent");
                expect_that!(failure.error, matches_pattern!(Error::Timeout { .. }), "{name}");
            }
        }
    }
}
