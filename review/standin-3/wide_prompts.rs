//! Case 11: a server crashes while requests with many prompt parts are at it.

use std::{
    io,
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    caller::{Channel, Request},
    gateway::{self, Gateway, Machine},
    host::{Connection, Host},
    http,
    record::Record,
    store::Store,
};

/// API key of the consumers.
const KEY: &str = "n2ctnfzs989anu6wsjnb";
/// Servers of the assistant; one of them crashes, within the share of 0.17 of the site file.
const SERVERS: usize = 6;
/// Requests that such a server runs at once, as on the sheet.
const SLOTS: u32 = 17;
/// Consumers of the assistant: as many as its servers run at once.
const READERS: usize = SERVERS * SLOTS as usize;
/// Consumers of the order desk.
const CLERKS: usize = 20;
/// Parts of a prompt and tokens of each: 3,400 tokens, of up to 4,030 on this route, and a head within the 16,384 bytes of
/// the configuration.
const PARTS: usize = 1700;
const PART_TOKENS: usize = 2;
/// Part of these that all consumers of the assistant share, and the rest that belongs to one request.
const SHARED_PARTS: usize = 1000;
/// Time limits of the consumers and timeouts of the routes, as in the site file.
const DESK_LIMIT: Duration = Duration::from_millis(1500);
const DESK_TIMEOUT: Duration = Duration::from_millis(800);
const STREAM_LIMIT: Duration = Duration::from_millis(8000);
/// Time within which the rule wants an answer after the timeout.
const ANSWER_MARGIN: Duration = Duration::from_millis(500);
/// Time that a server needs to read the prompts of a full batch: 17 x 3,400 tokens, 45.9 a millisecond.
const PREFILL: Duration = Duration::from_millis(1260);
const EVENTS: usize = 10;
/// When the server crashes, how long it is down, and when the case ends.
const CRASH_AT: Duration = Duration::from_secs(8);
const DOWN: Duration = Duration::from_millis(4500);
const END_AT: Duration = Duration::from_secs(24);

/// A request as its consumer saw it.
struct Seen {
    gateway: usize,
    route: &'static str,
    timeout: Duration,
    sent: Duration,
    /// When the answer, or the end of the channel, came; `None` if neither came in the consumer's time.
    answered: Option<Duration>,
}

/// What the consumers share.
struct Shared {
    record: Record,
    seen: Mutex<Vec<Seen>>,
    is_over: AtomicBool,
    /// Requests that wait for their first event, by server.
    waiting: Vec<AtomicUsize>,
}

fn config() -> String {
    let route = |name: &str, kind: &str, timeout: Duration, rest: &str| {
        let timeout = timeout.as_millis();
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"ficu95.example\",\"pathPrefix\":\"/{name}/\",\
             \"routeKind\":\"{kind}\",\"timeoutMs\":{timeout},\"anonymous\":false,{rest}}}"
        )
    };
    let patron = route(
        "patron",
        "streaming",
        STREAM_LIMIT,
        "\"targetLatencyMs\":400,\"priority\":1,\"service\":\"asistente\",\"maxAttempts\":2,\
         \"sticky\":true,\"streamResume\":true,\"gapTargetMs\":300",
    );
    let reserva = route(
        "reserva",
        "non_idempotent",
        DESK_TIMEOUT,
        "\"targetLatencyMs\":100,\"priority\":2,\"service\":\"mostrador\",\"maxAttempts\":1",
    );
    format!(
        "{{\"version\":7,\"routes\":[{patron},{reserva}],\"services\":[\
         {{\"name\":\"asistente\",\"healthPath\":\"/healthz\",\"connLimit\":438}},\
         {{\"name\":\"mostrador\",\"healthPath\":\"/healthz\",\"connLimit\":110}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"apiKeys\":[\"{KEY}\"],\"priority\":1}}]}}"
    )
}

/// Returns the header of a prompt with many parts, the last ones of which belong to this request.
fn prompt(request: usize) -> String {
    let part = |index: usize| {
        let owner = if index < SHARED_PARTS { 0 } else { request + 1 };
        let id = 0x10_0000 + owner * PARTS + index;
        format!("{id:06x}:{PART_TOKENS}")
    };
    let parts: Vec<String> = (0..PARTS).map(part).collect();
    let tokens = PARTS * PART_TOKENS;
    format!(
        "X-Cuminward-Model: daka510000\r\nX-Cuminward-Token-Count: {tokens},80\r\n\
         X-Cuminward-Prompt-Prefix: {}\r\n",
        parts.join(",")
    )
}

/// Streams events after the time that the prompts of a full batch take to read.
fn stream(
    shared: &Shared,
    index: usize,
    host: &Host,
    connection: &mut Connection,
    head: &http::Message,
) -> io::Result<()> {
    connection.read_body(head)?;
    shared.record.add(format!("run     {} at {}", head.id(), host.id));
    shared.waiting[index].fetch_add(1, Ordering::SeqCst);
    thread::sleep(PREFILL);
    shared.waiting[index].fetch_sub(1, Ordering::SeqCst);
    let from = head.header("last-event-id").and_then(|it| it.parse().ok()).unwrap_or(0);
    let proof = host.proof(head);
    let answer = format!(
        "HTTP/1.1 200 OK\r\n{proof}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    io::Write::write_all(&mut connection.stream, answer.as_bytes())?;
    for event in from + 1..=EVENTS {
        http::write_chunk(&mut connection.stream, format!("id: {event}\ndata: x\n\n").as_bytes())?;
        thread::sleep(Duration::from_millis(40));
    }
    http::write_chunk(&mut connection.stream, b"")
}

/// Sends requests on a kept channel, one after the other, and notes when each was answered.
fn consume(shared: &Shared, index: usize, front: (usize, std::net::SocketAddr), is_clerk: bool) {
    let (gateway, address) = front;
    let (name, path, limit, timeout) = if is_clerk {
        ("reserva", "/reserva/2f", DESK_LIMIT, DESK_TIMEOUT)
    } else {
        ("patron", "/patron/2f", STREAM_LIMIT, STREAM_LIMIT)
    };
    let mut headers = format!("Authorization: Bearer {KEY}\r\n");
    if !is_clerk {
        headers += &prompt(index);
    }
    let mut channel = None;
    for number in 0.. {
        if shared.is_over.load(Ordering::SeqCst) {
            return;
        }
        let id = format!("{name}-{index}-{number}");
        let sent = shared.record.now();
        let request = Request { path, id: &id, limit, headers: &headers, body: &[b'b'; 600] };
        let end = match channel.take().map_or_else(|| Channel::open(address), Ok) {
            Ok(mut open) => {
                shared.record.add(format!("sent    {id} to gateway {gateway}"));
                let head = open.send(&request).and_then(|()| open.read_head(limit));
                let answered = shared.record.now();
                let status = head.as_ref().map(http::Message::status).map_err(io::Error::kind);
                let has_ended = !matches!(status, Err(io::ErrorKind::WouldBlock));
                shared.record.add(format!("answer  {id} {status:?}"));
                if head.is_ok_and(|it| open.read_body(&it, limit).is_ok()) {
                    channel = Some(open);
                }
                has_ended.then_some(answered)
            }
            Err(error) => {
                shared.record.add(format!("answer  {id} no channel: {error}"));
                thread::sleep(Duration::from_millis(200));
                continue;
            }
        };
        let seen = Seen { gateway, route: name, timeout, sent, answered: end };
        shared.seen.lock().unwrap().push(seen);
        let pause = if is_clerk { 200 + 13 * (index as u64 % 20) } else { 20 };
        thread::sleep(Duration::from_millis(pause));
    }
}

/// Asks each gateway once a second whether it is ready, as the platform does.
fn watch_readiness(shared: &Shared, gateways: &[std::net::SocketAddr]) {
    while !shared.is_over.load(Ordering::SeqCst) {
        for (index, address) in gateways.iter().enumerate() {
            let status = gateway::get(*address, "/readyz").map(|it| it.status());
            let status = status.map_err(|it| it.kind());
            shared.record.add(format!("ready   gateway {index} {status:?}"));
        }
        thread::sleep(Duration::from_secs(1));
    }
}

/// Runs the case. Returns whether the rule held.
pub fn run(directory: &Path, record: &Record, has_trouble: bool) -> io::Result<bool> {
    let store = Store::start()?;
    store.put("keyed.op", "config", config().as_bytes());
    let shared = Arc::new(Shared {
        record: record.clone(),
        seen: Mutex::default(),
        is_over: AtomicBool::new(false),
        waiting: (0..SERVERS).map(|_| AtomicUsize::new(0)).collect(),
    });
    let mut servers = Vec::new();
    for index in 0..SERVERS {
        let shared = Arc::clone(&shared);
        let host = Host::start(
            &format!("i-asistente{index}"),
            Arc::new(move |host: &Host, connection: &mut Connection, head: http::Message| {
                stream(&shared, index, host, connection, &head)
            }),
        )?;
        store.put("keyed.servers", &host.id, host.entry("asistente", "mercado", SLOTS).as_bytes());
        servers.push(host);
    }
    for index in 0..3 {
        let record = record.clone();
        let host = Host::start(
            &format!("i-mostrador{index}"),
            Arc::new(move |host: &Host, connection: &mut Connection, head: http::Message| {
                connection.read_body(&head)?;
                record.add(format!("run     {} at {}", head.id(), host.id));
                thread::sleep(Duration::from_millis(15));
                http::respond(&mut connection.stream, 200, &host.proof(&head), &[b'd'; 800])
            }),
        )?;
        store.put("keyed.servers", &host.id, host.entry("mostrador", "mercado", 6).as_bytes());
    }
    let mut gateways = Vec::new();
    for name in ["front-mercado-1", "front-mercado-2"] {
        let machine = Machine {
            name: name.to_owned(),
            zone: String::from("mercado"),
            memory_mb: 260,
            descriptors: 4100,
        };
        gateways.push(Gateway::start(directory, machine, store.address)?);
    }
    if !gateways.iter().all(Gateway::wait_until_ready) {
        return Err(io::Error::other("a gateway isn't ready"));
    }
    thread::sleep(Duration::from_secs(1));
    let ready: Vec<_> = gateways.iter().map(|it| it.ready).collect();
    let watched = Arc::clone(&shared);
    thread::spawn(move || watch_readiness(&watched, &ready));
    // The consumers of the assistant are at the first gateway, the clerks at both.
    for index in 0..READERS + CLERKS {
        let is_clerk = index >= READERS;
        let gateway = if is_clerk { index % 2 } else { 0 };
        let (shared, front) = (Arc::clone(&shared), (gateway, gateways[gateway].front));
        thread::spawn(move || consume(&shared, index, front, is_clerk));
    }
    wait_until(record, CRASH_AT);
    if has_trouble {
        crash_one(&shared, &store, &servers);
    }
    wait_until(record, END_AT);
    shared.is_over.store(true, Ordering::SeqCst);
    for gateway in &mut gateways {
        if gateway.has_ended() {
            record.add(format!("note    {} has ended by itself", gateway.machine.name));
        }
    }
    Ok(judge(&shared, &gateways))
}

fn wait_until(record: &Record, at: Duration) {
    thread::sleep(at.saturating_sub(record.now()));
}

/// Crashes the server with the most requests that have got no event yet, and lets it come back at another address under
/// another id.
fn crash_one(shared: &Arc<Shared>, store: &Store, servers: &[Host]) {
    let waiting = || (0..SERVERS).map(|it| shared.waiting[it].load(Ordering::SeqCst));
    let until = shared.record.now() + 2 * PREFILL;
    while shared.record.now() < until && waiting().max() < Some(SLOTS as usize) {
        thread::sleep(Duration::from_millis(5));
    }
    let (count, index) = waiting().zip(0..).max().unwrap_or_default();
    shared.record.add(format!("trouble {} crashes with {count} requests", servers[index].id));
    servers[index].crash();
    let (shared, store, id) = (Arc::clone(shared), store.clone(), servers[index].id.clone());
    thread::spawn(move || {
        // Three check-in intervals of silence.
        thread::sleep(Duration::from_millis(3600));
        store.put("keyed.servers", &id, b"");
        thread::sleep(DOWN.saturating_sub(Duration::from_millis(3600)));
        let behaviour = Arc::clone(&shared);
        let host = Host::start(
            &format!("{id}b"),
            Arc::new(move |host: &Host, connection: &mut Connection, head: http::Message| {
                stream(&behaviour, index, host, connection, &head)
            }),
        );
        let Ok(host) = host else { return };
        shared.record.add(format!("note    {} is back", host.id));
        store.put("keyed.servers", &host.id, host.entry("asistente", "mercado", SLOTS).as_bytes());
    });
}

/// Checks both sentences of the rule on requests that last longer than the timeout of their route: at most half of them, or
/// fewer than eight or no more than a quarter of them, have no answer half a second later. No disruption was on a gateway, its
/// links or the store, so all gateways were in touch.
fn judge(shared: &Shared, gateways: &[Gateway]) -> bool {
    let seen = shared.seen.lock().unwrap();
    let has_answer =
        |it: &Seen, time: Duration| it.answered.is_some_and(|answered| answered <= it.sent + time);
    let late: Vec<&Seen> = seen.iter().filter(|it| !has_answer(it, it.timeout)).collect();
    let is_unanswered = |it: &Seen| !has_answer(it, it.timeout + ANSWER_MARGIN);
    for (index, gateway) in gateways.iter().enumerate() {
        for route in ["patron", "reserva"] {
            let is_here = |it: &Seen| it.gateway == index && it.route == route;
            let sent = seen.iter().filter(|it| is_here(it)).count();
            let here: Vec<&&Seen> = late.iter().filter(|it| is_here(it)).collect();
            let none = here.iter().filter(|it| is_unanswered(it)).count();
            let (name, late) = (&gateway.machine.name, here.len());
            shared.record.add(format!(
                "verdict {name} {route}: {sent} sent, {late} unanswered at the timeout, {none} half a second later"
            ));
        }
    }
    let unanswered = late.iter().filter(|it| is_unanswered(it)).count();
    let is_broken = 2 * unanswered > late.len() || unanswered >= 8 && 4 * unanswered > late.len();
    let verdict = if is_broken { "broken" } else { "held" };
    let late = late.len();
    let text = format!(
        "verdict CONFIG {verdict}: {late} requests unanswered at the timeout, {unanswered} half a second later"
    );
    println!("{text}");
    shared.record.add(text);
    !is_broken
}
