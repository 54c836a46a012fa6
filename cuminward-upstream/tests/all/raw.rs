//! A fake upstream that sends arbitrary bytes, also without end, and counts what it could send.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, tcp},
    task, time,
};

/// Bytes that are sent with one call when they are sent without end.
const FLOOD_BYTES: usize = 16 << 10;

/// Pause between two polls while a test waits for an upstream.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A step of an upstream after it received a request.
#[derive(Debug, Clone)]
pub(crate) enum Step {
    /// Sends these bytes.
    Send(String),
    /// Sends nothing for a time.
    Wait(Duration),
    /// Sends these bytes again and again until the connection ends.
    Flood(&'static str),
    /// Same as `Flood`, with a pause after each time.
    Trickle(&'static str, Duration),
    /// Closes the connection.
    Close,
}

/// A running upstream.
pub(crate) struct Upstream {
    pub(crate) address: String,
    pub(crate) record: Arc<Record>,
    task: task::JoinHandle<()>,
}

/// What an upstream saw.
#[derive(Debug, Default)]
pub(crate) struct Record {
    /// Number of accepted connections.
    pub(crate) connections: AtomicUsize,
    /// Number of connections that ended.
    pub(crate) ended: AtomicUsize,
    /// Number of requests received.
    pub(crate) requests: AtomicUsize,
    /// Number of bytes that the upstream could hand to its sockets.
    pub(crate) sent: AtomicU64,
}

/// Responses for the next requests, on whichever connection they arrive. Once they are used up, requests get no
/// response.
type Script = Arc<Mutex<Vec<Vec<Step>>>>;

impl Drop for Upstream {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Life cycle
impl Upstream {
    /// Starts an upstream that responds to each request with the next one of `responses`.
    pub(crate) async fn start(responses: Vec<Vec<Step>>) -> Upstream {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port is free");
        let address = listener.local_addr().expect("the listener is bound").to_string();
        let record = Arc::new(Record::default());
        let script: Script = Arc::new(Mutex::new(responses.into_iter().rev().collect()));
        let log = Arc::clone(&record);
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                log.connections.fetch_add(1, Ordering::SeqCst);
                let (script, log) = (Arc::clone(&script), Arc::clone(&log));
                tokio::spawn(async move {
                    serve(stream, &script, &log).await;
                    log.ended.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        Upstream { address, record, task }
    }
}

/// Access
impl Upstream {
    /// Waits until this many connections have ended; returns whether that was the case in time.
    pub(crate) async fn has_ended(&self, connections: usize, limit: Duration) -> bool {
        let started = Instant::now();
        while self.record.ended.load(Ordering::SeqCst) < connections {
            if started.elapsed() > limit {
                return false;
            }
            time::sleep(POLL_INTERVAL).await;
        }
        true
    }
}

/// Serves a connection until it ends. While a response is being sent, the end is noticed at once.
async fn serve(stream: TcpStream, script: &Script, log: &Record) {
    let (mut reader, mut writer) = stream.into_split();
    let mut buffer = Vec::new();
    while read_request(&mut reader, &mut buffer).await {
        log.requests.fetch_add(1, Ordering::SeqCst);
        let response = script.lock().expect("no test panics while it holds the lock").pop();
        let Some(response) = response else { continue };
        let more = tokio::select! {
            sent = send(&mut writer, &response, log) => sent.is_some(),
            () = wait_for_end(&mut reader, &mut buffer) => false,
        };
        if !more {
            return;
        }
    }
}

/// Performs the steps of a response; `None` if the connection ended.
async fn send(writer: &mut tcp::OwnedWriteHalf, steps: &[Step], log: &Record) -> Option<()> {
    for step in steps {
        match step {
            Step::Send(text) => write(writer, text.as_bytes(), log).await?,
            Step::Wait(pause) => time::sleep(*pause).await,
            Step::Flood(text) => {
                let flood = text.repeat(FLOOD_BYTES / text.len());
                loop {
                    write(writer, flood.as_bytes(), log).await?;
                }
            }
            Step::Trickle(text, pause) => loop {
                write(writer, text.as_bytes(), log).await?;
                time::sleep(*pause).await;
            },
            Step::Close => return None,
        }
    }
    Some(())
}

async fn write(writer: &mut tcp::OwnedWriteHalf, bytes: &[u8], log: &Record) -> Option<()> {
    writer.write_all(bytes).await.ok()?;
    log.sent.fetch_add(bytes.len() as u64, Ordering::SeqCst);
    Some(())
}

/// Reads until the connection ends. Bytes of a next request are kept.
async fn wait_for_end(reader: &mut tcp::OwnedReadHalf, buffer: &mut Vec<u8>) {
    while read_more(reader, buffer).await {}
}

/// Reads one request with its body; false if the connection ended.
async fn read_request(reader: &mut tcp::OwnedReadHalf, buffer: &mut Vec<u8>) -> bool {
    loop {
        if let Some(end) = buffer.windows(4).position(|it| it == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).to_lowercase();
            let length = head
                .lines()
                .find_map(|it| it.strip_prefix("content-length: "))
                .map_or(0, |it| it.parse().expect("the client sends a number"));
            if buffer.len() >= end + 4 + length {
                buffer.drain(..end + 4 + length);
                return true;
            }
        }
        if !read_more(reader, buffer).await {
            return false;
        }
    }
}

async fn read_more(reader: &mut tcp::OwnedReadHalf, buffer: &mut Vec<u8>) -> bool {
    let mut part = [0; 4096];
    match reader.read(&mut part).await {
        Ok(read) if read > 0 => {
            buffer.extend_from_slice(&part[..read]);
            true
        }
        _ => false,
    }
}
