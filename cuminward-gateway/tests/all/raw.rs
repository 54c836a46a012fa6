//! A fake host that sends arbitrary bytes, also without end, and counts what it could send.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use cuminward_adapter_fake::{entry::Entry, header};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, tcp},
    task, time,
};

use crate::site::{self, Site};

/// Bytes that are sent with one call when they are sent without end.
const FLOOD_BYTES: usize = 16 << 10;

/// Pause between two polls while a test waits for a host.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Pause between the events of a sound stream.
const EVENT_PAUSE: Duration = Duration::from_millis(20);

/// A step of a host after it received a request. In texts, `{id}` is the id of the request.
#[derive(Debug, Clone)]
pub(crate) enum Step {
    /// Sends these bytes.
    Send(String),
    /// Sends these bytes, and a copy of them before the response to the next request on the connection.
    SendTwice(String),
    /// Sends nothing for a time.
    Wait(Duration),
    /// Closes the connection.
    Close,
    /// Sends these bytes again and again until the connection ends.
    Flood(&'static str),
    /// Same as `Flood`, with a pause after each time.
    Trickle(&'static str, Duration),
}

/// Responses for the next requests, on whichever connection of whichever host they arrive. Once they are used up,
/// responses are sound.
pub(crate) type Script = Arc<Mutex<Vec<Vec<Step>>>>;

/// A running host.
pub(crate) struct Host {
    pub(crate) address: SocketAddr,
    pub(crate) record: Arc<Record>,
    task: task::JoinHandle<()>,
}

/// What a host saw and how it responds.
#[derive(Debug, Default)]
pub(crate) struct Record {
    /// Number of connections on which a scripted response was begun, and of these that ended.
    begun: AtomicUsize,
    ended: AtomicUsize,
    /// Number of bytes of scripted responses that the host could hand to its sockets.
    pub(crate) sent: AtomicU64,
    /// Requests of callers that were received, each as its method and path.
    requests: Mutex<Vec<String>>,
    /// Ids of the requests of callers that ran: those whose response isn't sent twice.
    runs: Mutex<Vec<String>>,
    /// Number of requests of any kind that came on a connection after a response that is sent twice.
    pub(crate) followers: AtomicUsize,
    /// Number of requests for reports.
    pub(crate) reports_asked: AtomicUsize,
    /// Bodies of the orders that were received.
    orders: Mutex<Vec<String>>,
    /// Scripts for requests of callers, for reports and for orders.
    callers: Mutex<Script>,
    reports: Mutex<Script>,
    answers: Mutex<Script>,
}

impl Drop for Host {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A request as far as hosts look at it.
struct Request {
    line: String,
    id: String,
    is_stream: bool,
    body: String,
}

/// Access
impl Request {
    /// Returns whether this is a request of a caller.
    fn is_call(&self) -> bool {
        !self.line.contains(" /report") && !self.line.contains(" /order")
    }
}

/// Access
impl Step {
    /// Returns the step that sends a copy of this one's bytes, if they are sent twice.
    fn copy(&self, id: &str) -> Option<Step> {
        match self {
            Step::SendTwice(text) => Some(Step::Send(text.replace("{id}", id))),
            _ => None,
        }
    }
}

/// Life cycle
impl Host {
    /// Starts a host whose responses are sound.
    pub(crate) async fn start() -> Host {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port is free");
        let address = listener.local_addr().expect("the listener is bound");
        let record = Arc::new(Record::default());
        let log = Arc::clone(&record);
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let log = Arc::clone(&log);
                tokio::spawn(async move { serve(stream, &log).await });
            }
        });
        Host { address, record, task }
    }
}

/// Starts hosts whose responses are sound.
pub(crate) async fn start_hosts(count: usize) -> Vec<Host> {
    let mut hosts = Vec::new();
    for _ in 0..count {
        hosts.push(Host::start().await);
    }
    hosts
}

/// Starts a site whose `size` engine hosts are raw and in no group, with a catalog whose replicas span all of them.
pub(crate) async fn start_free_hosts(size: usize) -> (Site, Vec<Host>) {
    let site = Site::with_engine_hosts(size).await;
    let hosts = start_hosts(size).await;
    for (host, raw) in site.replicas.iter().zip(&hosts) {
        let mut entry = Entry { address: raw.address, ..site::replica_entry(host) };
        let engine = entry.engine.as_mut().expect("the entry is one of an engine");
        engine.group = None;
        engine.fabric = String::from("f");
        site.store.put_entry(&host.id, &entry);
    }
    site.configure_size(1, size);
    (site, hosts)
}

/// Makes hosts share the responses to the next requests of callers.
pub(crate) fn play(hosts: &[Host], responses: Vec<Vec<Step>>) {
    let script: Script = Arc::new(Mutex::new(responses.into_iter().rev().collect()));
    for host in hosts {
        *lock(&host.record.callers) = Arc::clone(&script);
    }
}

/// Access
impl Host {
    /// Returns the requests of callers that were received.
    pub(crate) fn requests(&self) -> Vec<String> {
        lock(&self.record.requests).clone()
    }

    /// Returns how often the request with an id ran.
    pub(crate) fn runs(&self, id: &str) -> usize {
        lock(&self.record.runs).iter().filter(|it| *it == id).count()
    }

    /// Returns the bodies of the orders that were received.
    pub(crate) fn orders(&self) -> Vec<String> {
        lock(&self.record.orders).clone()
    }

    /// Sets the responses to the next orders.
    pub(crate) fn play_orders(&self, responses: Vec<Vec<Step>>) {
        *lock(&self.record.answers) = Arc::new(Mutex::new(responses.into_iter().rev().collect()));
    }

    /// Sets the responses to the next requests for reports.
    pub(crate) fn play_reports(&self, responses: Vec<Vec<Step>>) {
        *lock(&self.record.reports) = Arc::new(Mutex::new(responses.into_iter().rev().collect()));
    }

    /// Waits until all connections with scripted responses have ended; returns whether that was the case in time.
    pub(crate) async fn has_ended(&self, limit: Duration) -> bool {
        let started = Instant::now();
        while self.record.ended.load(Ordering::SeqCst) < self.record.begun.load(Ordering::SeqCst) {
            if started.elapsed() > limit {
                return false;
            }
            time::sleep(POLL_INTERVAL).await;
        }
        true
    }
}

fn lock<T>(it: &Mutex<T>) -> MutexGuard<'_, T> {
    it.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Access
impl Record {
    /// Takes the scripted response to a request; `None` if the response is sound.
    fn next_response(&self, request: &Request) -> Option<Vec<Step>> {
        let script = if request.line.contains(" /report") {
            self.reports_asked.fetch_add(1, Ordering::SeqCst);
            Arc::clone(&lock(&self.reports))
        } else if request.line.contains(" /order") {
            lock(&self.orders).push(request.body.clone());
            Arc::clone(&lock(&self.answers))
        } else {
            lock(&self.requests).push(request.line.clone());
            Arc::clone(&lock(&self.callers))
        };
        lock(&script).pop()
    }
}

/// Serves a connection until it ends. While a response is being sent, the end is noticed at once.
async fn serve(stream: TcpStream, log: &Record) {
    // The option only spares the tests a delay.
    let _ = stream.set_nodelay(true);
    let (mut reader, mut writer) = stream.into_split();
    let mut buffer = Vec::new();
    let mut is_scripted = false;
    let mut copy: Option<Step> = None;
    while let Some(request) = read_request(&mut reader, &mut buffer).await {
        let response = log.next_response(&request);
        if response.is_some() && !is_scripted {
            is_scripted = true;
            log.begun.fetch_add(1, Ordering::SeqCst);
        }
        let counted = response.is_some().then_some(&log.sent);
        let mut response = response.unwrap_or_else(|| sound_response(&request));
        let next_copy = response.iter().find_map(|it| it.copy(&request.id));
        if next_copy.is_none() && request.is_call() {
            lock(&log.runs).push(request.id.clone());
        }
        if let Some(copy) = std::mem::replace(&mut copy, next_copy) {
            log.followers.fetch_add(1, Ordering::SeqCst);
            response.insert(0, copy);
        }
        let more = tokio::select! {
            sent = send(&mut writer, &response, &request.id, counted) => sent.is_some(),
            () = wait_for_end(&mut reader, &mut buffer) => false,
        };
        if !more {
            break;
        }
    }
    if is_scripted {
        log.ended.fetch_add(1, Ordering::SeqCst);
    }
}

/// Returns the head of a sound response up to its last line, for the request with this id.
pub(crate) fn head(id: &str) -> String {
    format!("HTTP/1.1 200 OK\r\n{}: {id}\r\n{}: stamp\r\n", header::REQUEST_ID, header::STAMP)
}

/// Returns the sound response with a body to the request with this id.
pub(crate) fn response(id: &str, body: &str) -> String {
    format!("{}content-length: {}\r\n\r\n{body}", head(id), body.len())
}

/// Returns the head of a stream with chunks.
pub(crate) fn stream_head() -> String {
    let head = head("{id}");
    format!("{head}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n")
}

/// Returns a chunk of a body.
pub(crate) fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Returns the steps of a sound stream after its head.
pub(crate) fn stream_events(ids: impl IntoIterator<Item = u64>) -> Vec<Step> {
    let steps = ids
        .into_iter()
        .flat_map(|it| [Step::Wait(EVENT_PAUSE), Step::Send(chunk(&site::events([it])))]);
    steps.chain([Step::Send(String::from("0\r\n\r\n"))]).collect()
}

fn sound_response(request: &Request) -> Vec<Step> {
    let json = |status: &str, body: &str| {
        let length = body.len();
        Step::Send(format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n\r\n{body}"))
    };
    if request.line.contains(" /report") {
        return vec![json("200 OK", r#"{"seq":0,"born":1,"busy":false}"#)];
    }
    if request.line.contains(" /order") {
        return vec![json("202 Accepted", "")];
    }
    if !request.is_stream {
        return vec![Step::Send(response("{id}", "sound"))];
    }
    let head = Step::Send(stream_head());
    std::iter::once(head).chain(stream_events(1..=site::EVENTS)).collect()
}

/// Performs the steps of a response; `None` if the connection ended.
async fn send(
    writer: &mut tcp::OwnedWriteHalf,
    steps: &[Step],
    id: &str,
    counted: Option<&AtomicU64>,
) -> Option<()> {
    for step in steps {
        match step {
            Step::Send(text) | Step::SendTwice(text) => {
                write(writer, text.replace("{id}", id).as_bytes(), counted).await?;
            }
            Step::Wait(pause) => time::sleep(*pause).await,
            Step::Close => return None,
            Step::Flood(text) => {
                let flood = text.repeat(FLOOD_BYTES / text.len());
                loop {
                    write(writer, flood.as_bytes(), counted).await?;
                }
            }
            Step::Trickle(text, pause) => loop {
                write(writer, text.as_bytes(), counted).await?;
                time::sleep(*pause).await;
            },
        }
    }
    Some(())
}

async fn write(
    writer: &mut tcp::OwnedWriteHalf,
    bytes: &[u8],
    counted: Option<&AtomicU64>,
) -> Option<()> {
    writer.write_all(bytes).await.ok()?;
    if let Some(sent) = counted {
        sent.fetch_add(bytes.len() as u64, Ordering::SeqCst);
    }
    Some(())
}

/// Reads until the connection ends. Bytes of a next request are kept.
async fn wait_for_end(reader: &mut tcp::OwnedReadHalf, buffer: &mut Vec<u8>) {
    while read_more(reader, buffer).await {}
}

/// Reads one request with its body; `None` if the connection ended.
async fn read_request(reader: &mut tcp::OwnedReadHalf, buffer: &mut Vec<u8>) -> Option<Request> {
    loop {
        if let Some(end) = buffer.windows(4).position(|it| it == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).to_lowercase();
            let value = |name: &str| {
                let prefix = format!("{name}: ");
                head.lines().find_map(|it| it.strip_prefix(&prefix).map(str::to_owned))
            };
            let length = value("content-length")
                .map_or(0, |it| it.parse().expect("the node sends a number"));
            if buffer.len() >= end + 4 + length {
                let request = Request {
                    line: head.lines().next().unwrap_or_default().to_owned(),
                    id: value(header::REQUEST_ID).unwrap_or_default(),
                    is_stream: value(header::MODEL).is_some(),
                    body: String::from_utf8_lossy(&buffer[end + 4..end + 4 + length]).into_owned(),
                };
                buffer.drain(..end + 4 + length);
                return Some(request);
            }
        }
        if !read_more(reader, buffer).await {
            return None;
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
