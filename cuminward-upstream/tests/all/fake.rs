//! A fake upstream that responds to every request with the same bytes.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task, time,
};

/// Delay between the bytes of a response and the reset of its connection.
const RESET_DELAY: Duration = Duration::from_millis(20);

/// What happens to a connection after the bytes of a response.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum End {
    /// The upstream reads the next request.
    KeepOpen,
    /// The upstream closes the connection.
    Close,
    /// The upstream resets the connection a moment later.
    Reset,
    /// The upstream keeps the connection open but sends nothing more.
    Stall,
}

/// A running fake upstream.
pub(crate) struct Upstream {
    pub(crate) address: String,
    /// Number of accepted connections.
    pub(crate) connections: Arc<AtomicUsize>,
    /// Request lines received.
    pub(crate) requests: Arc<Mutex<Vec<String>>>,
    task: task::JoinHandle<()>,
}

impl Drop for Upstream {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Upstream {
    /// Starts an upstream that sends `reply` in response to each request, except cancellations,
    /// which succeed.
    pub(crate) async fn start(reply: &str, end: End) -> Upstream {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port is free");
        let address = listener.local_addr().expect("the listener is bound").to_string();
        let connections = Arc::new(AtomicUsize::new(0));
        let requests = Arc::new(Mutex::new(Vec::new()));
        let reply = reply.to_owned();
        let (count, log) = (Arc::clone(&connections), Arc::clone(&requests));
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                count.fetch_add(1, Ordering::SeqCst);
                tokio::spawn(serve(stream, reply.clone(), end, Arc::clone(&log)));
            }
        });
        Upstream { address, connections, requests, task }
    }

    /// Returns the request lines received so far.
    pub(crate) fn request_lines(&self) -> Vec<String> {
        self.requests.lock().expect("no test panics while it holds the lock").clone()
    }
}

async fn serve(mut stream: TcpStream, reply: String, end: End, log: Arc<Mutex<Vec<String>>>) {
    while let Some(line) = read_request(&mut stream).await {
        let is_cancel = line.starts_with("DELETE");
        log.lock().expect("no test panics while it holds the lock").push(line);
        if is_cancel {
            let answer = json(200, r#"{"cancelled":true}"#);
            let _ = stream.write_all(answer.as_bytes()).await;
            continue;
        }
        let _ = stream.write_all(reply.as_bytes()).await;
        match end {
            End::KeepOpen => {}
            End::Close => return,
            End::Reset => {
                time::sleep(RESET_DELAY).await;
                stream.set_zero_linger().expect("the option is valid for any open socket");
                return;
            }
            End::Stall => std::future::pending().await,
        }
    }
}

/// Reads one request with its body and returns its request line; `None` if the connection ended.
async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut buffer = Vec::new();
    loop {
        if let Some(end) = buffer.windows(4).position(|it| it == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).to_lowercase();
            let length = head
                .lines()
                .find_map(|it| it.strip_prefix("content-length: "))
                .map_or(0, |it| it.parse().expect("the client sends a number"));
            if buffer.len() >= end + 4 + length {
                let first = String::from_utf8_lossy(&buffer[..end]);
                return first.lines().next().map(str::to_owned);
            }
        }
        let mut part = [0; 4096];
        let read = stream.read(&mut part).await.ok().filter(|it| *it > 0)?;
        buffer.extend_from_slice(&part[..read]);
    }
}

/// Returns a complete response with a JSON body.
pub(crate) fn json(status: u16, body: &str) -> String {
    format!("HTTP/1.1 {status} X\r\ncontent-length: {}\r\n\r\n{body}", body.len())
}

/// Returns a response whose chunked body has the given lines; unless `is_complete`, the last chunk
/// is missing.
pub(crate) fn chunked(lines: &[&str], is_complete: bool) -> String {
    let mut reply = String::from("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
    for line in lines {
        reply += &format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
    }
    if is_complete {
        reply += "0\r\n\r\n";
    }
    reply
}
