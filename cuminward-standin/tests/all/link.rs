use std::time::{Duration, Instant};

use cuminward_standin::{hosts::List, link::Link};
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
