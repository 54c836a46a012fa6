//! Case 11: after a request with many prompt parts has crashed servers, its gateway tells the others nothing for a minute, and
//! one that the store turns away doesn't hear that a key was taken away.

use std::{
    io,
    net::SocketAddr,
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    caller::{Channel, Request},
    gateway::{Gateway, Machine},
    host::{Connection, Host},
    http,
    record::Record,
    store::Store,
};

/// Servers of the assistant and of the order desk, and the requests that each runs at once, as on the sheet.
const READERS: usize = 6;
const READER_SLOTS: u32 = 17;
const DESKS: usize = 3;
const DESK_SLOTS: u32 = 6;
/// Zones, with a gateway in each.
const ZONES: [&str; 3] = ["mercado", "bodega", "alcaldia"];
/// Parts of the prompt of a long chat, and tokens of each: 2,400 tokens. The variable `PARTS` sets another number of parts.
/// Other chats have two parts.
const PARTS: usize = 120;
const PART_TOKENS: usize = 20;
/// Bounds of the site.
const CONFIG_APPLY: Duration = Duration::from_millis(2000);
const OUTER_BOUND: Duration = Duration::from_millis(5000);
/// Time limits of the consumers.
const DESK_LIMIT: Duration = Duration::from_millis(1500);
const STREAM_LIMIT: Duration = Duration::from_millis(8000);
/// Time that a server needs until the first event.
const FIRST_EVENT: Duration = Duration::from_millis(400);
const EVENTS: usize = 10;
/// Time after which a crashed server is back, and its check-in interval.
const DOWN: Duration = Duration::from_millis(3000);
/// Keys of the team; the second one is taken away.
pub const KEYS: [&str; 2] = ["n2ctnfzs989anu6wsjnb", "anfqasnmgkcuyj8pjbvk"];

/// What the stand-ins of a case share.
struct Shared {
    record: Record,
    store: Store,
    is_over: AtomicBool,
    /// When servers began to run each request.
    runs: Mutex<Vec<(Duration, String)>>,
    /// Requests with the key that is taken away: gateway, time of sending and id.
    revoked: Mutex<Vec<(usize, Duration, String)>>,
}

/// Returns a configuration with some keys of the team.
pub fn config(version: u32, keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|it| format!("\"{it}\"")).collect();
    let keys = keys.join(",");
    format!(
        "{{\"version\":{version},\"routes\":[\
         {{\"name\":\"r-patron\",\"host\":\"ficu95.example\",\"pathPrefix\":\"/patron/\",\"routeKind\":\"streaming\",\
         \"timeoutMs\":8000,\"targetLatencyMs\":400,\"priority\":1,\"service\":\"asistente\",\"maxAttempts\":2,\
         \"anonymous\":false,\"sticky\":true,\"streamResume\":true,\"gapTargetMs\":300}},\
         {{\"name\":\"r-existencia\",\"host\":\"ficu95.example\",\"pathPrefix\":\"/existencia/\",\
         \"routeKind\":\"idempotent\",\"timeoutMs\":800,\"targetLatencyMs\":100,\"priority\":2,\
         \"service\":\"mostrador\",\"maxAttempts\":2,\"anonymous\":false}}],\
         \"services\":[{{\"name\":\"asistente\",\"healthPath\":\"/healthz\",\"connLimit\":438}},\
         {{\"name\":\"mostrador\",\"healthPath\":\"/healthz\",\"connLimit\":110}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"apiKeys\":[{keys}],\"priority\":1}}]}}"
    )
}

/// Returns the headers of a chat whose parts belong to one session, but for the first one, which all share.
fn prompt(session: usize, count: usize) -> String {
    let part = |index: usize| {
        let id = if index == 0 { 0x5c1e_07a2 } else { 0x1000_0000 + session * 0x1000 + index };
        format!("{id:08x}:{PART_TOKENS}")
    };
    let parts: Vec<String> = (0..count).map(part).collect();
    let tokens = count * PART_TOKENS;
    format!(
        "X-Cuminward-Model: daka510000\r\nX-Cuminward-Token-Count: {tokens},80\r\n\
         X-Cuminward-Prompt-Prefix: {}\r\n",
        parts.join(",")
    )
}

/// Starts a server of the assistant.
fn start_reader(shared: &Arc<Shared>, id: &str) -> io::Result<()> {
    let behaviour = Arc::clone(shared);
    let host = Host::start(
        id,
        Arc::new(move |host: &Host, connection: &mut Connection, head: http::Message| {
            read_prompt(&behaviour, host, connection, &head)
        }),
    )?;
    let entry = host.entry("asistente", ZONES[0], READER_SLOTS);
    shared.store.put("keyed.servers", id, entry.as_bytes());
    Ok(())
}

/// Streams events after a while; a request of the path that crashes servers does so when it begins to run.
fn read_prompt(
    shared: &Arc<Shared>,
    host: &Host,
    connection: &mut Connection,
    head: &http::Message,
) -> io::Result<()> {
    connection.read_body(head)?;
    let id = head.id().to_owned();
    shared.record.add(format!("run     {id} at {}", host.id));
    shared.runs.lock().unwrap().push((shared.record.now(), id));
    thread::sleep(FIRST_EVENT);
    if head.path().ends_with("/crashes") {
        crash(shared, host);
        return Err(io::ErrorKind::ConnectionReset.into());
    }
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

/// Crashes a server of the assistant, which is back after some seconds under another id.
fn crash(shared: &Arc<Shared>, host: &Host) {
    shared.record.add(format!("trouble {} crashes", host.id));
    host.crash();
    let (shared, id) = (Arc::clone(shared), host.id.clone());
    thread::spawn(move || {
        thread::sleep(DOWN);
        shared.store.put("keyed.servers", &id, b"");
        if start_reader(&shared, &format!("{id}b")).is_ok() {
            shared.record.add(format!("note    {id}b is back in place of {id}"));
        }
    });
}

/// Sends chats, one after the other, on a kept channel.
fn chat(shared: &Shared, session: usize, gateway: usize, address: SocketAddr) {
    let headers = prompt(session, 2);
    send_again_and_again(shared, address, Duration::from_millis(50), |number| {
        let id = format!("chat-{gateway}-{session}-{number}");
        ("/patron/2f", id, KEYS[0], headers.clone(), STREAM_LIMIT)
    });
}

/// Asks for the stock, again and again on a kept channel, with a key.
fn ask(shared: &Shared, clerk: usize, gateway: usize, address: SocketAddr, key: usize) {
    send_again_and_again(shared, address, Duration::from_millis(150), |number| {
        let id = format!("stock-{gateway}-key{key}-{clerk}-{number}");
        if key == 1 {
            let sent = (gateway, shared.record.now(), id.clone());
            shared.revoked.lock().unwrap().push(sent);
        }
        ("/existencia/2f", id, KEYS[key], String::new(), DESK_LIMIT)
    });
}

type Sending = (&'static str, String, &'static str, String, Duration);

fn send_again_and_again(
    shared: &Shared,
    address: SocketAddr,
    pause: Duration,
    next: impl Fn(usize) -> Sending,
) {
    let mut channel: Option<Channel> = None;
    for number in 0.. {
        if shared.is_over.load(Ordering::SeqCst) {
            return;
        }
        let Ok(mut open) = channel.take().map_or_else(|| Channel::open(address), Ok) else {
            thread::sleep(pause);
            continue;
        };
        let (path, id, key, headers, limit) = next(number);
        let headers = format!("{headers}Authorization: Bearer {key}\r\n");
        let request = Request { path, id: &id, limit, headers: &headers, body: &[b'b'; 600] };
        shared.record.add(format!("sent    {id}"));
        let head = open.send(&request).and_then(|()| open.read_head(limit));
        let status = head.as_ref().map(http::Message::status).map_err(io::Error::kind);
        shared.record.add(format!("answer  {id} {status:?}"));
        if head.is_ok_and(|it| open.read_body(&it, limit).is_ok()) {
            channel = Some(open);
        }
        thread::sleep(pause);
    }
}

/// A running site.
struct Site {
    shared: Arc<Shared>,
    gateways: Vec<Gateway>,
    /// Whether the store turns the last gateway away.
    is_turned_away: Arc<AtomicBool>,
}

impl Site {
    fn start(directory: &Path, record: &Record) -> io::Result<Site> {
        let store = Store::start()?;
        store.put("keyed.op", "config", config(7, &KEYS).as_bytes());
        let shared = Arc::new(Shared {
            record: record.clone(),
            store: store.clone(),
            is_over: AtomicBool::new(false),
            runs: Mutex::default(),
            revoked: Mutex::default(),
        });
        for index in 0..READERS {
            start_reader(&shared, &format!("i-asistente{index}"))?;
        }
        for index in 0..DESKS {
            let behaviour = Arc::clone(&shared);
            let host = Host::start(
                &format!("i-mostrador{index}"),
                Arc::new(move |host: &Host, connection: &mut Connection, head: http::Message| {
                    connection.read_body(&head)?;
                    behaviour.record.add(format!("run     {} at {}", head.id(), host.id));
                    let run = (behaviour.record.now(), head.id().to_owned());
                    behaviour.runs.lock().unwrap().push(run);
                    thread::sleep(Duration::from_millis(15));
                    http::respond(&mut connection.stream, 200, &host.proof(&head), &[b'd'; 800])
                }),
            )?;
            let entry = host.entry("mostrador", ZONES[index % ZONES.len()], DESK_SLOTS);
            store.put("keyed.servers", &host.id, entry.as_bytes());
        }
        let (door, is_turned_away) = store.open_door()?;
        let mut gateways = Vec::new();
        for zone in ZONES {
            let machine = Machine {
                name: format!("front-{zone}-1"),
                zone: zone.to_owned(),
                memory_mb: 260,
                descriptors: 4100,
            };
            let is_last = gateways.len() + 1 == ZONES.len();
            let address = if is_last { door } else { store.address };
            gateways.push(Gateway::start(directory, machine, address)?);
        }
        if !gateways.iter().all(Gateway::wait_until_ready) {
            return Err(io::Error::other("a gateway isn't ready"));
        }
        thread::sleep(Duration::from_secs(2));
        Ok(Site { shared, gateways, is_turned_away })
    }

    fn end(&mut self) {
        self.shared.is_over.store(true, Ordering::SeqCst);
        for gateway in &mut self.gateways {
            if gateway.has_ended() {
                let name = &gateway.machine.name;
                self.shared.record.add(format!("note    {name} has ended by itself"));
            }
        }
    }

    fn wait_until(&self, at: Duration) {
        thread::sleep(at.saturating_sub(self.shared.record.now()));
    }

    fn conclude(&self, rule: &str, is_broken: bool, text: &str) -> bool {
        let verdict = if is_broken { "broken" } else { "held" };
        let text = format!("verdict {rule} {verdict}: {text}");
        println!("{text}");
        self.shared.record.add(text);
        !is_broken
    }
}

/// A key is taken away while the store turns one gateway away, after a request that crashes each server that runs it
/// has come to both of the others.
pub fn run(directory: &Path, record: &Record, has_trouble: bool) -> io::Result<bool> {
    let mut site = Site::start(directory, record)?;
    let last = ZONES.len() - 1;
    for (gateway, front) in site.gateways.iter().map(|it| it.front).enumerate() {
        for index in 0..4 {
            let shared = Arc::clone(&site.shared);
            thread::spawn(move || ask(&shared, index, gateway, front, index % KEYS.len()));
        }
        if gateway == last {
            continue;
        }
        for session in 0..18 {
            let shared = Arc::clone(&site.shared);
            thread::spawn(move || chat(&shared, 20 * gateway + session, gateway, front));
        }
    }
    site.wait_until(Duration::from_secs(8));
    for gateway in 0..last {
        send_poison(&site, gateway, gateway, has_trouble);
    }
    site.wait_until(Duration::from_millis(11_000));
    site.is_turned_away.store(has_trouble, Ordering::SeqCst);
    if has_trouble {
        record.add(String::from("trouble the store turns the last gateway away"));
    }
    site.wait_until(Duration::from_millis(11_500));
    site.shared.store.put("keyed.op", "config", config(8, &KEYS[..1]).as_bytes());
    let acknowledged = record.now();
    record.add(String::from("note    a configuration without the second key is acknowledged"));
    site.wait_until(Duration::from_secs(20));
    site.is_turned_away.store(false, Ordering::SeqCst);
    record.add(String::from("note    the store serves all gateways"));
    let turned_away_until = record.now();
    site.wait_until(Duration::from_secs(23));
    site.end();
    let bound = acknowledged + CONFIG_APPLY + OUTER_BOUND;
    let runs = site.shared.runs.lock().unwrap();
    let revoked = site.shared.revoked.lock().unwrap();
    let late: Vec<_> =
        revoked.iter().filter(|it| it.1 > bound && it.1 < turned_away_until).collect();
    let run: Vec<_> = late.iter().filter(|it| runs.iter().any(|run| run.1 == it.2)).collect();
    let gateways: Vec<usize> =
        (0..ZONES.len()).map(|at| run.iter().filter(|it| it.0 == at).count()).collect();
    let text = format!(
        "{} of {} requests with the key ran that were sent later than 7 s after it was taken away, by gateway {gateways:?}",
        run.len(),
        late.len()
    );
    Ok(site.conclude("CONFIG", !run.is_empty(), &text))
}

/// Sends the request that crashes each server that runs it, if there is trouble, to a gateway, and waits for the answer.
fn send_poison(site: &Site, coming: usize, gateway: usize, has_trouble: bool) {
    let parts = std::env::var("PARTS").ok().and_then(|it| it.parse().ok()).unwrap_or(PARTS);
    let path = if has_trouble { "/patron/crashes" } else { "/patron/harmless" };
    let headers = format!("{}Authorization: Bearer {}\r\n", prompt(1000, parts), KEYS[0]);
    let (id, body) = (format!("poison-{coming}"), [b'p'; 600]);
    let request = Request { path, id: &id, limit: STREAM_LIMIT, headers: &headers, body: &body };
    let record = &site.shared.record;
    record.add(format!("sent    {id} to gateway {gateway}"));
    let answered = Channel::open(site.gateways[gateway].front).and_then(|mut channel| {
        channel.send(&request)?;
        channel.read_head(STREAM_LIMIT)
    });
    let status = answered.map(|it| it.status()).map_err(|it| it.kind());
    record.add(format!("answer  {id} {status:?}"));
}
