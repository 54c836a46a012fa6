//! Stand-in of a server of a plain service.

use std::{
    io::BufReader,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    http::{self, Message},
    record::Record,
};

/// Time for which a request is worked on.
const WORK: Duration = Duration::from_millis(15);

/// Body of a successful answer.
const BODY: &[u8] = &[b'b'; 800];

/// A server.
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    id: String,
    record: Arc<Record>,
    /// Whether the server fails a part of its requests, after it has run them.
    is_grey: AtomicBool,
    /// Requests that were run, and those since the server is in trouble.
    runs: AtomicU64,
    grey_runs: AtomicU64,
}

/// Life cycle
impl Server {
    pub fn start(id: &str, record: &Arc<Record>) -> Server {
        let shared = Arc::new(Shared {
            id: id.to_owned(),
            record: Arc::clone(record),
            is_grey: AtomicBool::new(false),
            runs: AtomicU64::new(0),
            grey_runs: AtomicU64::new(0),
        });
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let address = listener.local_addr().expect("the listener is bound");
        let served = Arc::clone(&shared);
        http::serve(listener, move |stream| serve(&served, stream));
        Server { id: id.to_owned(), address, shared }
    }
}

/// Access
impl Server {
    /// Returns the entry in the list of servers.
    pub fn entry(&self, service: &str) -> String {
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"mercado\",\"version\":\"v1\",\"slots\":6,\
             \"state\":\"ready\",\"coldLeftMs\":0,\"seq\":0,\"born\":1764547200000}}",
            self.address
        )
    }
}

/// Access
impl Server {
    /// Returns the number of requests that the server has run.
    pub fn runs(&self) -> u64 {
        self.shared.runs.load(Ordering::SeqCst)
    }
}

/// Mutation
impl Server {
    /// Makes the server fail a part of its requests, or ends that.
    pub fn set_grey(&self, is_grey: bool) {
        self.shared.grey_runs.store(0, Ordering::SeqCst);
        self.shared.is_grey.store(is_grey, Ordering::SeqCst);
    }
}

fn serve(shared: &Shared, stream: TcpStream) {
    let mut writer = stream.try_clone().expect("sockets can be shared");
    let mut reader = BufReader::new(stream);
    while let Ok(Some(request)) = http::read(&mut reader) {
        if answer(shared, &mut writer, &request).is_err() {
            return;
        }
    }
}

fn answer(shared: &Shared, writer: &mut TcpStream, request: &Message) -> std::io::Result<()> {
    let instance = ("X-Cuminward-Instance-Id", shared.id.as_str());
    if request.target().starts_with("/healthz") {
        return http::write(writer, "HTTP/1.1 200 OK", &[instance], b"");
    }
    let id = request.header("x-cuminward-request-id").unwrap_or_default().to_owned();
    let echo = ("X-Cuminward-Request-Id", id.as_str());
    let expected = request.header("x-cuminward-expect-instance");
    if expected.is_some_and(|it| it != shared.id) {
        return http::write(writer, "HTTP/1.1 421 Misdirected Request", &[instance, echo], b"");
    }
    let number = shared.runs.fetch_add(1, Ordering::SeqCst);
    let since_grey = shared.grey_runs.fetch_add(1, Ordering::SeqCst);
    shared.record.line(format_args!("run      {id} at {} {}", shared.id, request.method()));
    thread::sleep(WORK);
    let stamp = format!("stamp.{}.{number}", shared.id);
    let headers = [echo, ("X-Cuminward-Server-Stamp", stamp.as_str())];
    // Two in five of the requests fail while the server is in trouble.
    if shared.is_grey.load(Ordering::SeqCst) && since_grey % 5 < 2 {
        return http::write(writer, "HTTP/1.1 503 Service Unavailable", &headers, b"");
    }
    http::write(writer, "HTTP/1.1 200 OK", &headers, BODY)
}
