//! Stand-in of a server of a plain service.

use std::{
    collections::HashSet,
    io,
    net::{Shutdown, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    http::{Connection, Message, header},
    record::Record,
    store::Store,
};

/// Requests that a server runs at once, and that wait beyond them.
const SLOTS: usize = 6;
const QUEUE: usize = 24;

/// Path of requests that crash each server that begins to run them.
pub const CRASHING_PATH: &str = "/book/crash";

/// Time from the beginning of such a request to the crash, and for which the server is down then.
const CRASH_DELAY: Duration = Duration::from_millis(20);
const DOWN_TIME: Duration = Duration::from_secs(3);

/// Interval at which a server writes its entry.
const CHECK_IN_INTERVAL: Duration = Duration::from_millis(1200);

/// State of a server, as its entry in the list of servers shows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    Ready,
    /// The server leaves, and its entry says so.
    Draining,
    /// The server leaves, and its entry is removed.
    Removed,
}

/// A server of a plain service.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    address: String,
    shared: Arc<Shared>,
}

struct Shared {
    id: String,
    service: String,
    work: Duration,
    record: Arc<Record>,
    active: AtomicUsize,
    /// Locked while the entry is written, so that an older state doesn't replace a newer one.
    state: Mutex<State>,
    has_exited: AtomicBool,
    /// Number of crashes.
    crashes: AtomicUsize,
    /// Whether the server is down after a crash.
    is_down: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    /// Ids of the requests that the server has begun to run.
    runs: Mutex<HashSet<String>>,
}

impl Server {
    /// Starts a server whose requests take `work`.
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        work: Duration,
        store: &Store,
        record: &Arc<Record>,
    ) -> io::Result<Server> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?.to_string();
        let shared = Arc::new(Shared {
            id: id.to_owned(),
            service: service.to_owned(),
            work,
            record: Arc::clone(record),
            active: AtomicUsize::new(0),
            state: Mutex::new(State::Ready),
            has_exited: AtomicBool::new(false),
            crashes: AtomicUsize::new(0),
            is_down: AtomicBool::new(false),
            connections: Mutex::default(),
            runs: Mutex::default(),
        });
        let server = Server { id: id.to_owned(), address, shared: Arc::clone(&shared) };
        thread::spawn(move || run(&shared, listener));
        server.check_in(zone, store);
        Ok(server)
    }

    /// Writes the server's entry in the list of servers now and at each check-in interval, until it exits.
    fn check_in(&self, zone: &str, store: &Store) {
        let (server, zone, store) = (self.clone(), zone.to_owned(), store.clone());
        thread::spawn(move || {
            while server.is_listed() {
                if !server.shared.is_down.load(Ordering::SeqCst) {
                    server.write_entry(&zone, &store);
                }
                thread::sleep(CHECK_IN_INTERVAL);
            }
        });
    }

    fn write_entry(&self, zone: &str, store: &Store) {
        let state = self.shared.state.lock().unwrap();
        store.put("keyed.servers", &self.id, &self.entry(zone, *state));
    }

    /// Returns the entry in a state; empty if it is removed.
    fn entry(&self, zone: &str, state: State) -> String {
        let state = match state {
            State::Ready => "ready",
            State::Draining => "draining",
            State::Removed => return String::new(),
        };
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
             \"slots\":{SLOTS},\"state\":\"{state}\",\"coldLeftMs\":0,\"seq\":0,\"born\":{}}}",
            self.shared.service,
            self.address,
            self.shared.born()
        )
    }

    /// Begins to leave: the store accepts the entry in the new state, and the server says in all its answers from
    /// then on that it leaves. It serves on. Returns when the store accepted the entry.
    pub fn leave(&self, zone: &str, state: State, store: &Store) -> Duration {
        *self.shared.state.lock().unwrap() = state;
        self.write_entry(zone, store);
        self.shared
            .record
            .write(&format!("the store accepted that server {} is {state:?}", self.id));
        self.shared.record.now()
    }

    fn is_listed(&self) -> bool {
        *self.shared.state.lock().unwrap() != State::Removed
    }

    /// Ends the server: its entry is removed, it closes all its channels and accepts no new ones.
    pub fn exit(&self, store: &Store) {
        self.shared.record.write(&format!("server {} exits", self.id));
        self.shared.has_exited.store(true, Ordering::SeqCst);
        *self.shared.state.lock().unwrap() = State::Removed;
        store.put("keyed.servers", &self.id, "");
        self.shared.cut_off(&self.address);
    }

    /// Returns how often the server has crashed.
    pub fn crashes(&self) -> usize {
        self.shared.crashes.load(Ordering::SeqCst)
    }

    /// Returns the ids of the requests that the server has begun to run.
    pub fn runs(&self) -> HashSet<String> {
        self.shared.runs.lock().unwrap().clone()
    }
}

impl Shared {
    /// Returns the time of the server's start, which differs between two starts.
    fn born(&self) -> usize {
        1 + self.crashes.load(Ordering::SeqCst)
    }

    /// Returns whether the server still runs since its start at `born`.
    fn is_alive(&self, born: usize) -> bool {
        !self.has_exited.load(Ordering::SeqCst) && self.born() == born
    }

    /// Closes all connections and wakes the thread that accepts them, which then closes the listener.
    fn cut_off(&self, address: &str) {
        let _ = TcpStream::connect(address);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }
}

/// Accepts connections until the server exits, and again some time after each crash.
fn run(shared: &Arc<Shared>, listener: TcpListener) -> io::Result<()> {
    let address = listener.local_addr()?;
    let mut listener = Some(listener);
    loop {
        let born = shared.born();
        for stream in listener.take().iter().flat_map(TcpListener::incoming).flatten() {
            if !shared.is_alive(born) {
                break;
            }
            shared.connections.lock().unwrap().push(stream.try_clone()?);
            let shared = Arc::clone(shared);
            thread::spawn(move || serve(&shared, stream, born));
        }
        if shared.has_exited.load(Ordering::SeqCst) {
            return Ok(());
        }
        thread::sleep(DOWN_TIME);
        listener = Some(TcpListener::bind(address)?);
        shared.is_down.store(false, Ordering::SeqCst);
    }
}

fn serve(shared: &Shared, stream: TcpStream, born: usize) -> io::Result<()> {
    let mut connection = Connection::new(stream)?;
    while let Some(request) = connection.read(false)? {
        if !request.is_complete || !shared.is_alive(born) {
            return Ok(());
        }
        if request.path() == CRASHING_PATH && is_expected(shared, &request) {
            let address = connection.stream.local_addr()?.to_string();
            crash(shared, &request, &address);
            return Ok(());
        }
        respond(shared, &mut connection, &request, born)?;
    }
    Ok(())
}

/// Returns whether this server is the one that a request is meant for.
fn is_expected(shared: &Shared, request: &Message) -> bool {
    request.header("x-cuminward-expect-instance").is_none_or(|it| it == shared.id)
}

/// Begins to run a request that crashes the server.
fn crash(shared: &Shared, request: &Message, address: &str) {
    let id = request.header("x-cuminward-request-id").unwrap_or_default().to_owned();
    shared.record.write(&format!("server {} runs {id} and crashes", shared.id));
    shared.runs.lock().unwrap().insert(id);
    thread::sleep(CRASH_DELAY);
    shared.is_down.store(true, Ordering::SeqCst);
    shared.crashes.fetch_add(1, Ordering::SeqCst);
    shared.active.store(0, Ordering::SeqCst);
    shared.cut_off(address);
}

fn respond(
    shared: &Shared,
    connection: &mut Connection,
    request: &Message,
    born: usize,
) -> io::Result<()> {
    let id = request.header("x-cuminward-request-id").unwrap_or_default().to_owned();
    let mut headers = vec![header("X-Cuminward-Instance-Id", &shared.id)];
    if !id.is_empty() {
        headers.push(header("X-Cuminward-Request-Id", &id));
    }
    if *shared.state.lock().unwrap() != State::Ready {
        headers.push(header("Server-Leaving", 1));
    }
    if !is_expected(shared, request) {
        headers.push(header("X-Cuminward-Not-Executed", 1));
        return connection.send("HTTP/1.1 421 Misdirected Request", &headers, b"");
    }
    match request.path() {
        "/healthz" => return connection.send("HTTP/1.1 200 OK", &headers, b""),
        "/report" => {
            let body = "{\"stage\":\"combined\",\"models\":[],\"busy\":false,\"seq\":0,\"queueDepth\":0,\
                        \"activeCount\":0,\"kvUsed\":0,\"kvTotal\":0,\"handles\":0,\"born\":1}";
            return connection.send("HTTP/1.1 200 OK", &headers, body.as_bytes());
        }
        _ => {}
    }
    if shared.active.fetch_add(1, Ordering::SeqCst) >= SLOTS + QUEUE {
        shared.active.fetch_sub(1, Ordering::SeqCst);
        headers.push(header("X-Cuminward-Not-Executed", 1));
        return connection.send("HTTP/1.1 503 Service Unavailable", &headers, b"");
    }
    shared.runs.lock().unwrap().insert(id.clone());
    shared.record.write(&format!("server {} runs {id}", shared.id));
    thread::sleep(shared.work);
    if !shared.is_alive(born) {
        return Ok(());
    }
    shared.active.fetch_sub(1, Ordering::SeqCst);
    headers.push(header("X-Cuminward-Server-Stamp", format!("{}.{id}", shared.id)));
    connection.send("HTTP/1.1 200 OK", &headers, format!("done {id}").as_bytes())
}
