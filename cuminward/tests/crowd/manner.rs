//! What the callers of a crowd send, and how they hold their connections.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    sync::mpsc,
    task::JoinSet,
    time::{self, Instant},
};

use crate::node::BODY_BYTES;

pub(crate) const KEY: &str = "key-1";
pub(crate) const HOST: &str = "a.example";

/// Bytes of a head without end, and of the empty lines before one.
const ENDLESS_BYTES: usize = 1 << 20;

/// Size of a large chunk or piece, in bytes.
pub(crate) const PIECE_BYTES: usize = 64 << 10;

/// Number of the smallest chunks on a connection.
const SMALL_CHUNKS: usize = 200_000;

/// Longest time that one connection of the crowd sends before it only stays open.
const SENDING_TIME: Duration = Duration::from_secs(20);

/// Pause between two pieces of what a connection sends on for as long as it is open.
const TRICKLE_PAUSE: Duration = Duration::from_millis(400);

/// Bounds on a connection of the crowd that is opened again after it was closed.
const MAX_OPENINGS: usize = 200;
const MAX_HOLD_TIME: Duration = Duration::from_secs(300);

/// Length of the path of a wide head, and the number of its short header lines and of its prompt parts.
const WIDE_PATH_BYTES: usize = 31_000;
const WIDE_LINES: usize = 80;
const WIDE_PARTS: usize = 4_000;

/// Slashes of a path that consists of them.
const SLASHES: usize = 46_000;

/// Requests that are sent on one connection whose responses aren't read.
const PIPELINED: usize = 20_000;

/// What each connection of a crowd does.
#[derive(Debug, Clone, Default)]
pub(crate) struct Manner {
    /// Bytes that are sent when the connection is open.
    pub(crate) start: Vec<u8>,
    /// Pause between two pieces of them.
    pub(crate) pause: Duration,
    /// Bytes that are sent again and again afterwards; nothing if empty.
    pub(crate) trickle: Vec<u8>,
    /// Whether the connection is opened again when the node has closed it.
    pub(crate) reopens: bool,
}

/// Connections that stay open until the crowd is dropped.
pub(crate) struct Crowd {
    connections: JoinSet<()>,
}

/// Life cycle
impl Crowd {
    /// Opens connections of several manners, as many of each as is given with it, and returns when all have sent the
    /// start of what they send, as far as they can.
    pub(crate) async fn open(callers: SocketAddr, manners: Vec<(usize, Manner)>) -> Crowd {
        let mut connections = JoinSet::new();
        let (sending, mut sent) = mpsc::channel::<()>(1);
        for (count, manner) in manners {
            let manner = Arc::new(manner);
            for _ in 0..count {
                connections.spawn(hold(callers, Arc::clone(&manner), sending.clone()));
            }
        }
        drop(sending);
        let all_sent = sent.recv().await;
        debug_assert!(all_sent.is_none(), "nothing is sent to the channel");
        Crowd { connections }
    }

    /// Returns the number of connections that the crowd holds or opens again.
    pub(crate) fn len(&self) -> usize {
        self.connections.len()
    }
}

/// Holds a connection, and those that follow it. `sending` is dropped when the first one has sent its start.
async fn hold(callers: SocketAddr, manner: Arc<Manner>, sending: mpsc::Sender<()>) {
    let begun = Instant::now();
    let mut sending = Some(sending);
    for _ in 0..MAX_OPENINGS {
        let stream = time::timeout(SENDING_TIME, TcpStream::connect(callers)).await;
        if let Ok(Ok(mut stream)) = stream {
            let _ = time::timeout(SENDING_TIME, send_start(&mut stream, &manner)).await;
            sending.take();
            hold_open(&mut stream, &manner).await;
        }
        sending.take();
        if !manner.reopens || begun.elapsed() > MAX_HOLD_TIME {
            break;
        }
        time::sleep(TRICKLE_PAUSE).await;
    }
    // A connection that isn't opened again stays in the state that the node has left it in.
    std::future::pending::<()>().await;
}

async fn send_start(stream: &mut TcpStream, manner: &Manner) {
    for piece in manner.start.chunks(PIECE_BYTES) {
        if stream.write_all(piece).await.is_err() {
            break;
        }
        if !manner.pause.is_zero() {
            time::sleep(manner.pause).await;
        }
    }
}

/// Keeps a connection open, on which nothing is read; one that is opened again ends when the node has closed it.
async fn hold_open(stream: &mut TcpStream, manner: &Manner) {
    let mut response = [0; 1024];
    loop {
        time::sleep(TRICKLE_PAUSE).await;
        let sent = stream.try_write(&manner.trickle);
        let is_broken = sent.is_err_and(|it| it.kind() != io::ErrorKind::WouldBlock);
        let is_closed = manner.reopens && matches!(stream.try_read(&mut response), Ok(0));
        if manner.reopens && (is_closed || is_broken) {
            return;
        }
    }
}

/// Returns the head of a request with further header lines.
pub(crate) fn head(lines: &str) -> String {
    head_to("/desk/1", lines)
}

fn head_to(path: &str, lines: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\nX-Cuminward-Request-Id: 9c41\r\n{lines}"
    )
}

/// Returns a head with a body's length, and all of the body but its last byte.
pub(crate) fn cut_body() -> Vec<u8> {
    let mut bytes = head(&format!("Content-Length: {BODY_BYTES}\r\n\r\n")).into_bytes();
    bytes.resize(bytes.len() + BODY_BYTES - 1, b'x');
    bytes
}

/// Returns a chunked request with chunks of `size` bytes and without its last chunk.
pub(crate) fn cut_chunks(size: usize, count: usize) -> Vec<u8> {
    let mut bytes = head("Transfer-Encoding: chunked\r\n\r\n").into_bytes();
    bytes.extend(chunks(size, count));
    bytes
}

/// Returns a chunked request with very small chunks and without its last chunk.
pub(crate) fn cut_small_chunks() -> Vec<u8> {
    cut_chunks(1, SMALL_CHUNKS)
}

/// Returns a chunked request with large chunks that stops just short of its end.
pub(crate) fn cut_large_chunks() -> Vec<u8> {
    cut_chunks(PIECE_BYTES, BODY_BYTES / PIECE_BYTES - 1)
}

pub(crate) fn chunks(size: usize, count: usize) -> Vec<u8> {
    format!("{size:x}\r\n{}\r\n", "x".repeat(size)).repeat(count).into_bytes()
}

/// Returns a head without end.
pub(crate) fn endless_head() -> Vec<u8> {
    let line = format!("X-Padding: {}\r\n", "x".repeat(1000));
    head(&line.repeat(ENDLESS_BYTES / line.len())).into_bytes()
}

/// Returns empty lines that no request follows.
pub(crate) fn endless_lines() -> Vec<u8> {
    b"\r\n".repeat(ENDLESS_BYTES / 2)
}

/// Returns the header lines of a head that takes as much memory as headers within the limit can: many short lines, and a
/// prompt of many parts.
pub(crate) fn wide_lines() -> String {
    let lines: String = (0..WIDE_LINES).map(|it| format!("x{it}: 1\r\n")).collect();
    format!("{lines}X-Cuminward-Prompt-Prefix: {}0:1\r\n", "0:,".repeat(WIDE_PARTS))
}

/// Returns a path that is far longer than all headers may be together.
pub(crate) fn long_path() -> String {
    format!("/desk/{}", "x".repeat(WIDE_PATH_BYTES))
}

/// Returns the head of a chunked request that takes much memory, and the beginning of its body.
pub(crate) fn wide_request(path: &str) -> Vec<u8> {
    let lines = wide_lines();
    let head = head_to(path, &format!("{lines}Transfer-Encoding: chunked\r\n\r\n"));
    let mut bytes = head.into_bytes();
    bytes.extend(chunks(4 << 10, 14));
    bytes
}

/// Returns a whole request that takes much memory.
pub(crate) fn whole_wide_request() -> Vec<u8> {
    head(&format!("{}Content-Length: 1\r\n\r\nx", wide_lines())).into_bytes()
}

/// Returns a request whose path consists of slashes, which matches a route at its beginning only.
pub(crate) fn path_of_slashes() -> Vec<u8> {
    let path = format!("/desk{}", "/".repeat(SLASHES));
    head_to(&path, "Content-Length: 0\r\n\r\n").into_bytes()
}

/// Returns a head that is refused, as it has no valid key, with the beginning of its body.
pub(crate) fn refused_request() -> Vec<u8> {
    let mut bytes =
        format!("POST /desk/1 HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: {BODY_BYTES}\r\n\r\n")
            .into_bytes();
    bytes.resize(bytes.len() + PIECE_BYTES, b'x');
    bytes
}

/// Returns many whole requests, one after the other.
pub(crate) fn pipelined_requests() -> Vec<u8> {
    head("Content-Length: 0\r\n\r\n").repeat(PIPELINED).into_bytes()
}

/// Returns a whole request whose headers and body have exactly the sizes that are given.
pub(crate) fn largest_request(header_bytes: usize, body_bytes: usize) -> Vec<u8> {
    let lines = format!("Content-Length: {body_bytes}\r\nX-Padding: ");
    let start = head(&lines);
    let request_line = start.find('\n').expect("a head has a request line") + 1;
    let padding = header_bytes - (start.len() - request_line) - "\r\n".len();
    let mut bytes = format!("{start}{}\r\n\r\n", "x".repeat(padding)).into_bytes();
    bytes.resize(bytes.len() + body_bytes, b'x');
    bytes
}
