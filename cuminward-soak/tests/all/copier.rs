//! Copies of refusals.

use std::{io, time::Duration};

use cuminward_soak::copier;
use googletest::prelude::*;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time,
};

const REFUSAL: &str = "HTTP/1.1 503 Service Unavailable\r\nx-cuminward-not-executed: 1\r\n\
                       x-cuminward-request-id: r\r\ncontent-length: 0\r\n\r\n";
const REFUSAL_WITHOUT_ID: &str = "HTTP/1.1 503 Service Unavailable\r\n\
                                  x-cuminward-not-executed: 1\r\ncontent-length: 0\r\n\r\n";
const ANSWER: &str = "HTTP/1.1 200 OK\r\nx-cuminward-request-id: r\r\ncontent-length: 2\r\n\r\nok";
const STREAM: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n";
const STREAM_END: &str = "0\r\n\r\n";

/// Time after which no copy comes any more.
const WAIT: Duration = Duration::from_millis(1000);

/// Shortest pause between two writes.
const MIN_WAIT: Duration = Duration::from_millis(1);

struct Case {
    name: &'static str,
    /// What the host sends, with the time that it waits afterwards.
    sent: Vec<(&'static str, Duration)>,
    received: Vec<&'static str>,
}

#[gtest]
#[tokio::test]
async fn copies_of_refusals_come_between_responses() -> Result<()> {
    let at_once = Duration::ZERO;
    let cases = [
        Case { name: "answer", sent: vec![(ANSWER, WAIT)], received: vec![ANSWER] },
        Case {
            name: "without an id",
            sent: vec![(REFUSAL_WITHOUT_ID, WAIT)],
            received: vec![REFUSAL_WITHOUT_ID],
        },
        Case { name: "refusal", sent: vec![(REFUSAL, WAIT)], received: vec![REFUSAL, REFUSAL] },
        Case {
            name: "before an answer",
            sent: vec![(REFUSAL, WAIT), (ANSWER, at_once)],
            received: vec![REFUSAL, REFUSAL, ANSWER],
        },
        Case {
            name: "beside a stream",
            sent: vec![(REFUSAL, at_once), (STREAM, WAIT), (STREAM_END, WAIT)],
            received: vec![REFUSAL, STREAM, STREAM_END, REFUSAL],
        },
    ];
    for case in cases {
        let host = TcpListener::bind("127.0.0.1:0").await.or_fail()?;
        let proxy = copier::start(host.local_addr().or_fail()?).await.or_fail()?;
        let mut client = TcpStream::connect(proxy).await.or_fail()?;
        let (connection, _) = host.accept().await.or_fail()?;
        let mut received = String::new();
        let (sent, read) =
            tokio::join!(send(connection, case.sent), client.read_to_string(&mut received));
        sent.or_fail()?;
        read.or_fail()?;
        expect_that!(received, eq(&case.received.concat()), "{}", case.name);
    }
    Ok(())
}

/// Sends what the host of a case does, and closes the connection.
async fn send(mut host: TcpStream, sent: Vec<(&str, Duration)>) -> io::Result<()> {
    for (bytes, wait) in sent {
        host.write_all(bytes.as_bytes()).await?;
        // The pause after each write lets the proxy read it alone.
        time::sleep(wait.max(MIN_WAIT)).await;
    }
    Ok(())
}
