//! Stand-in of a model server: streams events, reports its state, carries out orders, and crashes on demand.

use std::{
    collections::HashMap,
    io::{BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Message},
    record::Record,
    store::Store,
};

/// Whether a request for [`DEADLY_PATH`] crashes each server that begins to run it.
pub static IS_DEADLY: AtomicBool = AtomicBool::new(false);

/// Path of the request that may crash servers.
pub const DEADLY_PATH: &str = "/resumen/deadly";

/// Time in which a prompt is read, before the request begins to run.
const READING_TIME: Duration = Duration::from_millis(100);

/// Time for which a server is down after such a crash.
const CRASH_TIME: Duration = Duration::from_millis(3000);

/// Whether servers drop channels that were idle for [`IDLE_TIME`], without notice.
pub static DROPS_IDLE: AtomicBool = AtomicBool::new(false);

/// Time for which a channel has to be idle for that.
const IDLE_TIME: Duration = Duration::from_millis(1000);

/// Name of the model.
pub const MODEL: &str = "daka51";

/// Events of a stream, and the milliseconds to the first one and between two.
pub struct Pace {
    pub events: AtomicU64,
    pub first_ms: AtomicU64,
    pub pause_ms: AtomicU64,
}

/// Pace of all servers. It is that of a short answer after a long prompt, unless a case changes it.
pub static PACE: Pace =
    Pace { events: AtomicU64::new(5), first_ms: AtomicU64::new(900), pause_ms: AtomicU64::new(40) };

/// Access
impl Pace {
    fn first(&self) -> Duration {
        Duration::from_millis(self.first_ms.load(Ordering::SeqCst))
    }

    fn pause(&self) -> Duration {
        Duration::from_millis(self.pause_ms.load(Ordering::SeqCst))
    }
}

/// Time of a join with the model of the last group, and with a staged one.
const JOIN_TIME: Duration = Duration::from_millis(1100);
const FORM_TIME: Duration = Duration::from_millis(300);

#[derive(Clone)]
struct Group {
    name: String,
    epoch: u64,
    rank: usize,
    phase: &'static str,
}

#[derive(Default)]
struct State {
    born: u64,
    seq: u64,
    fence: u64,
    group: Option<Group>,
    /// Open connections, by number.
    connections: HashMap<u64, TcpStream>,
}

/// A model server.
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    service: String,
    store: Arc<Store>,
    record: Arc<Record>,
    state: Mutex<State>,
    is_down: AtomicBool,
    /// Whether the server sends and reads nothing for a moment.
    is_silent: AtomicBool,
    next_connection: AtomicU64,
}

/// Life cycle
impl Server {
    /// Starts a server that is the member with this rank of an open group.
    pub fn start(
        id: &str,
        service: &str,
        group: (&str, usize),
        store: &Arc<Store>,
        record: &Arc<Record>,
    ) -> Arc<Server> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let address = listener.local_addr().expect("the listener is bound");
        let phase = if group.1 == 0 { "open" } else { "ready" };
        let group = Group { name: group.0.to_owned(), epoch: 1, rank: group.1, phase };
        let state = State { born: 1_764_547_200_000, seq: 2, group: Some(group), ..State::default() };
        let server = Arc::new(Server {
            id: id.to_owned(),
            address,
            service: service.to_owned(),
            store: Arc::clone(store),
            record: Arc::clone(record),
            state: Mutex::new(state),
            is_down: AtomicBool::new(false),
            is_silent: AtomicBool::new(false),
            next_connection: AtomicU64::new(0),
        });
        server.publish();
        Server::listen(&server, listener);
        let beating = Arc::clone(&server);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(1200));
                if !beating.is_down.load(Ordering::SeqCst) {
                    beating.publish();
                }
            }
        });
        server
    }

    fn listen(server: &Arc<Server>, listener: TcpListener) {
        let server = Arc::clone(server);
        thread::spawn(move || {
            listener.set_nonblocking(true).expect("any listener can be asked without waiting");
            while !server.is_down.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(2));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                let server = Arc::clone(&server);
                thread::spawn(move || serve(&server, stream));
            }
        });
    }
}

/// Access
impl Server {
    fn status(&self, state: &State) -> String {
        let group = state.group.as_ref().map_or(String::new(), |it| {
            let Group { name, epoch, rank, phase } = it;
            format!(",\"group\":{{\"name\":\"{name}\",\"epoch\":{epoch},\"rank\":{rank},\"state\":\"{phase}\"}}")
        });
        format!(
            "\"stage\":\"combined\",\"models\":[{{\"name\":\"{MODEL}\",\"version\":1,\"adapters\":[]}}],\"busy\":false,\
             \"seq\":{},\"born\":{},\"domain\":0,\"staged\":[\"{MODEL}\"]{group}",
            state.seq, state.born
        )
    }

    /// Returns whether the server is the open head of a group.
    pub fn is_open(&self) -> bool {
        let state = self.state.lock().expect("no user panics");
        state.group.as_ref().is_some_and(|it| it.phase == "open")
    }

    fn publish(&self) {
        let state = self.state.lock().expect("no user panics");
        let status = self.status(&state);
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"mercado\",\"version\":\"v1\",\"slots\":17,\
             \"state\":\"ready\",\"coldLeftMs\":0,{status}}}",
            self.service, self.address
        );
        self.store.put_if_new("keyed.servers", &self.id, &entry);
    }
}

/// Mutation
impl Server {
    /// Makes the server silent, or lets it go on.
    pub fn set_silent(&self, is_silent: bool) {
        self.is_silent.store(is_silent, Ordering::SeqCst);
    }

    /// Waits until the server goes on.
    fn wait_while_silent(&self) {
        while self.is_silent.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(2));
        }
    }

    /// Ends all connections and takes no new ones for a time. The server is back without a group then.
    pub fn crash(self: &Arc<Server>, down: Duration) {
        self.record.line(format_args!("server {} crashes", self.id));
        self.is_down.store(true, Ordering::SeqCst);
        let mut state = self.state.lock().expect("no user panics");
        for (_, it) in state.connections.drain() {
            let _ = it.shutdown(Shutdown::Both);
        }
        state.born += 1;
        (state.seq, state.fence, state.group) = (0, 0, None);
        drop(state);
        let server = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(down);
            let Ok(listener) = TcpListener::bind(server.address) else { return };
            server.is_down.store(false, Ordering::SeqCst);
            server.record.line(format_args!("server {} is back", server.id));
            Server::listen(&server, listener);
            server.publish();
        });
    }

    /// Carries out an order. Returns the status of the answer.
    fn order(self: &Arc<Server>, body: &str) -> u16 {
        let text = |name: &str| http::field(body, name).trim_matches('"').to_owned();
        let number = |name: &str| http::field(body, name).parse::<u64>().unwrap_or(0);
        let (operation, name, epoch) = (text("operation"), text("group"), number("epoch"));
        let mut state = self.state.lock().expect("no user panics");
        if number("fencingToken") < state.fence {
            return 412;
        }
        state.fence = number("fencingToken");
        if body.contains("\"expect\"") && number("expect") != state.seq {
            return 409;
        }
        let is_own = state.group.as_ref().is_some_and(|it| it.name == name && it.epoch == epoch);
        let (phase, next, after) = match operation.as_str() {
            "stage" => return 200,
            "join" if is_own => return 200,
            "join" => ("joining", "ready", JOIN_TIME),
            "leave" if is_own => ("", "", Duration::ZERO),
            "open" if is_own => ("ready", "open", FORM_TIME),
            "close" if is_own => ("closing", "ready", FORM_TIME),
            _ => return 409,
        };
        state.seq += 1;
        state.group = (operation != "leave").then(|| {
            let members = body.split_once("\"members\":[").map_or("", |it| it.1);
            let rank = members.split(',').position(|it| it.contains(&self.id)).unwrap_or(0);
            let rank = if operation == "join" { rank } else { 0 };
            Group { name, epoch, rank, phase }
        });
        let born = state.born;
        drop(state);
        self.publish();
        if operation != "leave" {
            let server = Arc::clone(self);
            thread::spawn(move || {
                thread::sleep(after);
                let mut state = server.state.lock().expect("no user panics");
                let is_same = state.born == born;
                if let Some(it) = state.group.as_mut().filter(|it| is_same && it.epoch == epoch) {
                    it.phase = next;
                }
                drop(state);
                server.publish();
            });
        }
        202
    }
}

fn serve(server: &Arc<Server>, stream: TcpStream) {
    let number = server.next_connection.fetch_add(1, Ordering::SeqCst);
    let mut writer = stream.try_clone().expect("sockets can be shared");
    let kept = stream.try_clone().expect("sockets can be shared");
    server.state.lock().expect("no user panics").connections.insert(number, kept);
    let mut reader = BufReader::new(stream);
    loop {
        let idle = Instant::now();
        let has_bytes = matches!(reader.get_ref().peek(&mut [0]), Ok(1..));
        if has_bytes && idle.elapsed() > IDLE_TIME && DROPS_IDLE.load(Ordering::SeqCst) {
            // Closing a socket with unread bytes resets the channel.
            server.record.line(format_args!("a channel to {} that was idle is reset", server.id));
            break;
        }
        let Ok(Some(request)) = http::read(&mut reader) else { break };
        server.wait_while_silent();
        if server.is_down.load(Ordering::SeqCst) || answer(server, &mut writer, &request).is_err() {
            break;
        }
    }
    server.state.lock().expect("no user panics").connections.remove(&number);
}

fn answer(server: &Arc<Server>, writer: &mut TcpStream, request: &Message) -> std::io::Result<()> {
    let instance = ("X-Cuminward-Instance-Id", server.id.as_str());
    let id = request.header("x-cuminward-request-id").unwrap_or_default().to_owned();
    let echo = ("X-Cuminward-Request-Id", id.as_str());
    let expected = request.header("x-cuminward-expect-instance");
    if expected.is_some_and(|it| it != server.id) {
        return http::write(writer, "HTTP/1.1 421 Misdirected Request", &[instance], b"");
    }
    if request.target() == "/report" {
        let status = server.status(&server.state.lock().expect("no user panics"));
        let body = format!("{{{status},\"pace\":1.0,\"queueDepth\":0,\"activeCount\":0,\"kvUsed\":0,\"kvTotal\":90000,\"handles\":0}}");
        return http::write(writer, "HTTP/1.1 200 OK", &[("Content-Type", "application/json")], body.as_bytes());
    }
    if request.target() == "/order" {
        let status = server.order(&String::from_utf8_lossy(&request.body));
        server.record.line(format_args!("order    {} {status} {}", server.id, String::from_utf8_lossy(&request.body)));
        return http::write(writer, &format!("HTTP/1.1 {status} Order"), &[("Content-Type", "application/json")], b"{}");
    }
    if !server.is_open() {
        return http::write(writer, "HTTP/1.1 421 Misdirected Request", &[instance, echo], b"");
    }
    let last: u64 = request.header("last-event-id").and_then(|it| it.parse().ok()).unwrap_or(0);
    server.record.line(format_args!("run      {id} at {} after event {last}", server.id));
    if request.target() == DEADLY_PATH && IS_DEADLY.load(Ordering::SeqCst) {
        thread::sleep(READING_TIME);
        server.crash(CRASH_TIME);
        return Err(std::io::ErrorKind::ConnectionReset.into());
    }
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Cuminward-Request-Id: {id}\r\nX-Cuminward-Server-Stamp: stamp.{}\r\n\
         X-Cuminward-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
        server.id
    );
    writer.write_all(head.as_bytes())?;
    thread::sleep(PACE.first());
    for number in last + 1..=PACE.events.load(Ordering::SeqCst) {
        server.wait_while_silent();
        let event = format!("id: {number}\ndata: a piece of five tokens or so, as the sheet has it\n\n");
        writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        thread::sleep(PACE.pause());
    }
    writer.write_all(b"0\r\n\r\n")
}
