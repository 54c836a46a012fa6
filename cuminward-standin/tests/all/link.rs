use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use cuminward_standin::{
    hosts::List,
    link::{Disruption, Identify, Link},
};
use googletest::prelude::*;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::http;

const SHORT: Duration = Duration::from_millis(150);
const PATH: &str = "/v1/hosts";

struct Case {
    name: &'static str,
    cut: fn(&Link),
    status: u16,
}

#[gtest]
#[tokio::test]
async fn cuts_and_heals() -> Result<()> {
    let list = List::start(0, Duration::ZERO).await.or_fail()?;
    let link = Link::start(list.address()).await.or_fail()?;
    let case = |name, cut: fn(&Link), status| Case { name, cut, status };
    let cases = [
        case("both ways", Link::cut, 1),
        case("forward", Link::cut_forward, 1),
        case("backward", Link::cut_backward, 1),
        case("refused", Link::refuse, 0),
    ];
    for case in cases {
        verify_that!(http::get(link.address(), PATH).await.status, eq(200))?;
        (case.cut)(&link);
        let answer = http::get_within(SHORT, link.address(), PATH).await;
        verify_that!(answer.status, eq(case.status))
            .with_failure_message(|| case.name.to_owned())?;
        link.heal();
    }
    // The request whose response alone was held back has reached the list as well.
    verify_that!(list.counters().reads, ge(5))
}

#[gtest]
#[tokio::test]
async fn silences_open_connections_only() -> Result<()> {
    let list = List::start(0, Duration::ZERO).await.or_fail()?;
    let link = Link::start(list.address()).await.or_fail()?;
    let mut open = TcpStream::connect(link.address()).await.or_fail()?;
    let request = b"GET /v1/hosts HTTP/1.1\r\nhost: h\r\n\r\n";
    let mut buffer = [0; 4096];
    open.write_all(request).await.or_fail()?;
    verify_that!(open.read(&mut buffer).await.or_fail()?, gt(0))?;
    link.silence();
    open.write_all(request).await.or_fail()?;
    let read = tokio::time::timeout(SHORT, open.read(&mut buffer)).await;
    verify_that!(read.is_err(), eq(true))?;
    verify_that!(http::get(link.address(), PATH).await.status, eq(200))
}

#[gtest]
#[tokio::test]
async fn delays_both_directions() -> Result<()> {
    let list = List::start(0, Duration::ZERO).await.or_fail()?;
    let link = Link::start(list.address()).await.or_fail()?;
    link.delay(Duration::from_millis(100));
    let started = Instant::now();
    verify_that!(http::get(link.address(), PATH).await.status, eq(200))?;
    verify_that!(started.elapsed(), ge(Duration::from_millis(200)))
}

/// Gives each connection the number that is set when it is accepted.
#[derive(Default)]
struct Numbers {
    next: AtomicUsize,
}

impl Identify for Numbers {
    async fn client(&self, _source: SocketAddr, _link: SocketAddr) -> Option<usize> {
        Some(self.next.load(Ordering::Relaxed))
    }
}

struct ClientCase {
    name: &'static str,
    disruption: Disruption,
    /// Whether the client's open connection is served.
    is_open_served: bool,
    /// Whether its open connection is closed.
    is_open_closed: bool,
    /// Status of a request on a new connection; 1 while there is no answer, 0 when it was closed.
    new: u16,
}

#[gtest]
#[tokio::test]
async fn disrupts_the_connections_of_one_client() -> Result<()> {
    let case = |name, disruption, is_open_served, is_open_closed, new| ClientCase {
        name,
        disruption,
        is_open_served,
        is_open_closed,
        new,
    };
    let cases = [
        case("hang", Disruption::Hang, false, false, 1),
        case("reset", Disruption::Reset, false, true, 0),
        case("refuse", Disruption::Refuse, true, false, 0),
    ];
    let list = List::start(0, Duration::ZERO).await.or_fail()?;
    let request = b"GET /v1/hosts HTTP/1.1\r\nhost: h\r\n\r\n";
    for case in cases {
        let numbers = Arc::new(Numbers::default());
        let link = Link::start_identifying(list.address(), Arc::clone(&numbers)).await.or_fail()?;
        let mut buffer = [0; 4096];
        let mut open = Vec::new();
        for client in 0..2 {
            numbers.next.store(client, Ordering::Relaxed);
            let mut stream = TcpStream::connect(link.address()).await.or_fail()?;
            stream.write_all(request).await.or_fail()?;
            verify_that!(stream.read(&mut buffer).await.or_fail()?, gt(0))?;
            open.push(stream);
        }
        link.disrupt(0, Some(case.disruption));
        let mut outcomes = Vec::new();
        for stream in &mut open {
            // Fails if the connection was closed, which the read shows as well.
            let _ = stream.write_all(request).await;
            let read = tokio::time::timeout(SHORT, stream.read(&mut buffer)).await;
            outcomes.push(read.map(|it| it.unwrap_or(0)));
        }
        let is_served = matches!(outcomes[0], Ok(1..));
        let is_closed = matches!(outcomes[0], Ok(0));
        expect_that!(
            (is_served, is_closed),
            eq((case.is_open_served, case.is_open_closed)),
            "{}",
            case.name
        );
        expect_that!(outcomes[1], ok(gt(&0)), "{}: the other client", case.name);
        let mut statuses = Vec::new();
        for client in 0..2 {
            numbers.next.store(client, Ordering::Relaxed);
            statuses.push(http::get_within(SHORT, link.address(), PATH).await.status);
        }
        expect_that!(statuses, eq(&vec![case.new, 200]), "{}: new connections", case.name);
        link.disrupt(0, None);
        numbers.next.store(0, Ordering::Relaxed);
        expect_that!(http::get(link.address(), PATH).await.status, eq(200), "{}", case.name);
    }
    Ok(())
}
