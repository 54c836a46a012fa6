//! Test of the memory that a response takes, in a process of its own.

use std::time::Duration;

use cuminward_upstream::{engine, pool};
use googletest::prelude::*;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

/// Number of chunks of one byte in the response.
const CHUNKS: usize = 200_000;

/// Memory that the process may take beyond what it had before, in KiB; the body has 200 KB, the chunks 1.2 MB.
const MAX_GROWTH_KB: u64 = 4 << 10;

/// Time limit of the call.
const TIMEOUT: Duration = Duration::from_secs(100);

/// Returns the largest memory that the process has had, in KiB.
fn peak_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("the system is Linux");
    let line = status.lines().find(|it| it.starts_with("VmHWM:")).expect("the field exists");
    let number = line.split_whitespace().nth(1).expect("the field has a number");
    number.parse().expect("the number is an integer")
}

/// Guards against responses in small parts, which took many times the memory of their bytes.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_response_in_small_parts_takes_little_more_memory_than_its_bytes() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port is free");
    let address = listener.local_addr().expect("the listener is bound").to_string();
    let task = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("the client connects");
        let _ = stream.read(&mut [0; 4096]).await;
        let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        let _ = stream.write_all(head.as_bytes()).await;
        let batch = "1\r\n \r\n".repeat(100);
        for _ in 0..CHUNKS / 100 {
            let _ = stream.write_all(batch.as_bytes()).await;
        }
        let report = r#"{"host":"h","incarnation":1,"fence":7,"membership":null,"load":null}"#;
        let end = format!("{:x}\r\n{report}\r\n0\r\n\r\n", report.len());
        let _ = stream.write_all(end.as_bytes()).await;
    });
    let client = engine::Client::new(engine::Options {
        pool: pool::Options::default(),
        report_timeout: TIMEOUT,
        ..engine::Options::default()
    });
    let before = peak_kb();
    let report = client.fetch_report(&address).await;
    expect_that!(report, ok(anything()));
    expect_that!(peak_kb() - before, lt(MAX_GROWTH_KB));
    task.abort();
}
