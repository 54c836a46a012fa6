//! Proxies that send a copy of each refusal of their host late, on the same connection.

use std::{collections::BTreeMap, io, net::SocketAddr, ops::Range, time::Duration};

use bytes::{Bytes, BytesMut};
use cuminward_adapter_fake::header;
use rand::RngExt;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    time::{self, Instant},
};

/// Time from a refusal to its copy, in milliseconds.
const COPY_DELAY_MS: Range<u64> = 2..900;

/// Largest chunk that is read at once, in bytes.
const READ_BYTES: usize = 16 * 1024;

/// Beginning of a response, end of its head, and end of a body in chunks.
const RESPONSE_BEGIN: &[u8] = b"HTTP/1.1 ";
const HEAD_END: &str = "\r\n\r\n";
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// Starts a proxy in front of a host, which ends with the runtime; returns its address.
///
/// # Errors
///
/// Fails if no port is free.
pub async fn start(host: SocketAddr) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        loop {
            // A failure concerns a single connection, which its client gives up.
            let Ok((client, _)) = listener.accept().await else { continue };
            tokio::spawn(forward(client, host));
        }
    });
    Ok(address)
}

async fn forward(client: TcpStream, host: SocketAddr) {
    let Ok(host) = TcpStream::connect(host).await else { return };
    // Fails only if one side has already closed its connection. Copying then ends as well.
    let _ = (client.set_nodelay(true), host.set_nodelay(true));
    let (mut requests, client) = client.into_split();
    let (responses, mut host) = host.into_split();
    let forward_requests = async move {
        let _ = tokio::io::copy(&mut requests, &mut host).await;
        let _ = host.shutdown().await;
    };
    tokio::join!(forward_requests, forward_responses(responses, client));
}

/// Forwards the responses on a connection, and the copies between them when these are due.
async fn forward_responses(mut host: OwnedReadHalf, mut client: OwnedWriteHalf) {
    let mut copies = Copies::default();
    let mut buffer = BytesMut::new();
    loop {
        buffer.reserve(READ_BYTES);
        let bytes = tokio::select! {
            read = host.read_buf(&mut buffer) => match read {
                Ok(1..) => copies.observe(buffer.split().freeze()),
                _ => return,
            },
            copy = copies.next() => copy,
        };
        if client.write_all(&bytes).await.is_err() {
            return;
        }
    }
}

/// Copies that are to be sent on a connection.
#[derive(Debug, Default)]
struct Copies {
    due: BTreeMap<Instant, Bytes>,
    /// Whether a response has been forwarded in part.
    is_partial: bool,
}

/// Mutation
impl Copies {
    /// Observes bytes of the host, and returns them.
    fn observe(&mut self, bytes: Bytes) -> Bytes {
        self.is_partial = !is_end(&bytes);
        if !self.is_partial && is_refusal(&bytes) {
            let delay = Duration::from_millis(rand::rng().random_range(COPY_DELAY_MS));
            self.due.insert(Instant::now() + delay, bytes.clone());
        }
        bytes
    }

    /// Waits until a copy is due between two responses, and returns it. May be called again if it is cancelled.
    async fn next(&mut self) -> Bytes {
        let first = self.due.first_entry().filter(|_| !self.is_partial);
        let Some(first) = first else { return std::future::pending().await };
        time::sleep_until(*first.key()).await;
        first.remove()
    }
}

/// Returns whether bytes of a host, which writes the head and a short body at once, end with a whole response.
fn is_end(bytes: &[u8]) -> bool {
    if !bytes.starts_with(RESPONSE_BEGIN) {
        return bytes.ends_with(LAST_CHUNK);
    }
    let text = String::from_utf8_lossy(bytes);
    let Some((head, body)) = text.split_once(HEAD_END) else { return false };
    let length = find_header(head, "content-length").and_then(|it| it.parse().ok());
    length.map_or_else(|| bytes.ends_with(LAST_CHUNK), |it: usize| it == body.len())
}

/// Returns whether a response states that the request with an id wasn't run.
fn is_refusal(response: &[u8]) -> bool {
    let text = String::from_utf8_lossy(response);
    text.split_once(HEAD_END).is_some_and(|(head, _)| {
        let has = |name| find_header(head, name).is_some();
        has(header::NOT_RUN) && has(header::REQUEST_ID)
    })
}

/// Returns the value of a header, whose name is in lower case.
fn find_header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut headers = head.lines().filter_map(|it| it.split_once(": "));
    headers.find(|it| it.0.eq_ignore_ascii_case(name)).map(|it| it.1)
}
