//! The cases of the review that are played with real processes.

use std::{
    collections::{HashMap, HashSet},
    env, fs,
    io::{self, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    process::Child,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Arguments, Node, http, model, plain,
    record::Record,
    start_node,
    store::{self, Store},
};

/// Host name of the consumers' requests.
const HOST: &str = "desk.example";

/// Key of the only tenant.
const KEY: &str = "key-0001";

/// Exit codes of a case.
const HELD: i32 = 0;
const BROKEN: i32 = 1;
const NOT_RUN: i32 = 2;

/// Configuration: the routes and figures of the sheet that a case needs.
const CONFIG: &str = r#"{"version":1,"routes":[
{"name":"r-reserva","host":"desk.example","pathPrefix":"/reserva/","routeKind":"non_idempotent","timeoutMs":800,"targetLatencyMs":100,"priority":2,"service":"mostrador","maxAttempts":1,"anonymous":false},
{"name":"r-existencia","host":"desk.example","pathPrefix":"/existencia/","routeKind":"idempotent","timeoutMs":800,"targetLatencyMs":100,"priority":2,"service":"mostrador","maxAttempts":2,"anonymous":false},
{"name":"r-patron","host":"desk.example","pathPrefix":"/patron/","routeKind":"streaming","timeoutMs":8000,"targetLatencyMs":400,"priority":1,"service":"asistente","maxAttempts":2,"anonymous":false,"sticky":true,"streamResume":true,"gapTargetMs":300},
{"name":"r-resumen","host":"desk.example","pathPrefix":"/resumen/","routeKind":"streaming","timeoutMs":6000,"targetLatencyMs":500,"priority":1,"service":"asistente","maxAttempts":2,"anonymous":false,"sticky":true,"streamResume":true,"gapTargetMs":300}],
"services":[{"name":"mostrador","healthPath":"/healthz","connLimit":1000,"protocol":"h1","tls":false},
{"name":"asistente","healthPath":"/healthz","connLimit":1000,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":36.0,"engine":{"slots":17,"kvCapacityTokens":1860000,"models":[{"name":"daka51","size":2,"share":1.0,"pace":1.0,"loadS":12.0,"warmS":1.1}],"loadsPerS":5.0,"loads_at_once":7,"formMs":300.0,"retainCount":1}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"team-1","apiKeys":["key-0001"]}]}"#;

/// `timeoutMs` of the routes of the plain service, and the consumers' time limit there.
const ROUTE_TIMEOUT: Duration = Duration::from_millis(800);
const TIME_LIMIT: Duration = Duration::from_millis(1500);

/// Time after `timeoutMs` at which a request has to have its final answer.
const ANSWER_SLACK: Duration = Duration::from_millis(500);

/// `stableWindowMs` of the sheet.
const STABLE_WINDOW: Duration = Duration::from_millis(3000);

/// Memory of the machine, in KiB.
const MEMORY_KIB: u64 = 260 << 10;

/// Number of servers of the plain service, and of model servers, two for each group.
const PLAIN_SERVERS: usize = 3;
const MODEL_SERVERS: usize = 6;

/// Time between two ordinary requests: the sheet has 19.5 of them a second.
const ORDINARY_PAUSE: Duration = Duration::from_millis(51);

/// Runs a case and returns its exit code.
pub fn run(case: &str, arguments: &Arguments) -> i32 {
    let record = Arc::new(Record::new(&arguments.record));
    record.line(format_args!("case {case}, disruption: {}", arguments.has_trouble));
    let code = match case {
        "parts" => parts(arguments, &record),
        "deadly" => deadly(arguments, &record),
        "refused" => refused(arguments, &record),
        "memory" => memory(arguments, &record),
        "paths" => paths(arguments, &record),
        "silence" => silence(arguments, &record),
        "places" => places(arguments, &record),
        _ => NOT_RUN,
    };
    record.line(format_args!("exit code {code}"));
    code
}

/// A store, servers and one gateway node, which is ended with it.
struct Site {
    plain: Vec<plain::Server>,
    models: Vec<Arc<model::Server>>,
    node: Node,
    process: Child,
    _store: Arc<Store>,
}

/// Life cycle
impl Site {
    /// Starts a site and waits until its node is ready and serves. `None` if it doesn't.
    fn start(arguments: &Arguments, record: &Arc<Record>, plain_servers: usize) -> Option<Site> {
        let (store, address) = store::start();
        let plain = (0..plain_servers).map(|it| plain::Server::start(&format!("i-{it:04}"), record));
        let plain: Vec<plain::Server> = plain.collect();
        for it in &plain {
            store.put("keyed.servers", &it.id, &it.entry("mostrador"));
        }
        let models = (0..MODEL_SERVERS).map(|it| {
            let group = format!("g-{}", it / 2);
            model::Server::start(&format!("m-{it:04}"), "asistente", (&group, it % 2), &store, record)
        });
        let models = models.collect();
        store.put("keyed.op", "config", CONFIG);
        let (node, process) = start_node(arguments, "front-mercado-1", address);
        let site = Site { plain, models, node, process, _store: store };
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            let answer = request(site.node.callers, "GET", "/existencia/start", "start");
            if is_ready(site.node.ready) && answer.is_ok_and(|it| it.status() == 200) {
                // Time in which the node reads the lists of servers and nodes again.
                thread::sleep(Duration::from_secs(2));
                return Some(site);
            }
            thread::sleep(Duration::from_millis(200));
        }
        record.line("the node didn't become ready");
        None
    }
}

/// Access
impl Site {
    /// Returns a figure of the process's memory, in KiB.
    fn memory_kib(&self, name: &str) -> u64 {
        let path = format!("/proc/{}/status", self.process.id());
        let status = fs::read_to_string(path).unwrap_or_default();
        let line = status.lines().find_map(|it| it.strip_prefix(name)?.strip_prefix(':'));
        line.and_then(|it| it.trim().trim_end_matches(" kB").parse().ok()).unwrap_or(0)
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Returns whether the status check of a node answers 200.
fn is_ready(address: SocketAddr) -> bool {
    let timeout = Duration::from_secs(1);
    let answer = http::call(address, "GET /readyz HTTP/1.1", &[("Host", "node")], b"", timeout);
    answer.is_ok_and(|it| it.status() == 200)
}

/// Sends a request of a consumer to the plain service on a new channel.
fn request(node: SocketAddr, method: &str, path: &str, id: &str) -> io::Result<http::Message> {
    let authorization = format!("Bearer {KEY}");
    let deadline = TIME_LIMIT.as_millis().to_string();
    let headers = [
        ("Host", HOST),
        ("X-Cuminward-Request-Id", id),
        ("X-Cuminward-Deadline-Ms", deadline.as_str()),
        ("Authorization", authorization.as_str()),
    ];
    let body: &[u8] = if method == "POST" { b"one bolt" } else { b"" };
    http::call(node, &format!("{method} {path} HTTP/1.1"), &headers, body, TIME_LIMIT)
}

/// An ordinary request, with times in seconds since the start of the case; its status is 0 if it got no answer.
#[derive(Clone, Copy)]
struct Try {
    sent: f64,
    ended: f64,
    status: u16,
}

/// Ordinary requests, at the rate of the sheet, and the platform's status checks, beside a disruption.
struct Load {
    is_over: Arc<AtomicBool>,
    tries: Arc<Mutex<Vec<Try>>>,
    checks: Arc<Mutex<Vec<(f64, bool)>>>,
    threads: Vec<thread::JoinHandle<()>>,
}

/// Life cycle
impl Load {
    fn start(node: Node, record: &Arc<Record>) -> Load {
        let mut load = Load {
            is_over: Arc::default(),
            tries: Arc::default(),
            checks: Arc::default(),
            threads: Vec::new(),
        };
        let (record_of_tries, is_over, tries) =
            (Arc::clone(record), Arc::clone(&load.is_over), Arc::clone(&load.tries));
        load.threads.push(thread::spawn(move || {
            let mut requests = Vec::new();
            for number in 0.. {
                if is_over.load(Ordering::SeqCst) {
                    break;
                }
                let (record, tries) = (Arc::clone(&record_of_tries), Arc::clone(&tries));
                requests.push(thread::spawn(move || {
                    let id = format!("o{number}");
                    let sent = record.seconds();
                    record.line(format_args!("sent     {id} GET /existencia/1"));
                    let answer = request(node.callers, "GET", "/existencia/1", &id);
                    let status = answer.map_or(0, |it| it.status());
                    let ended = record.seconds();
                    record.line(format_args!("answered {id} {status} after {:.3} s", ended - sent));
                    tries.lock().expect("no user panics").push(Try { sent, ended, status });
                }));
                thread::sleep(ORDINARY_PAUSE);
            }
            requests.into_iter().for_each(|it| drop(it.join()));
        }));
        let (record, is_over, checks) =
            (Arc::clone(record), Arc::clone(&load.is_over), Arc::clone(&load.checks));
        load.threads.push(thread::spawn(move || {
            while !is_over.load(Ordering::SeqCst) {
                let ready = is_ready(node.ready);
                record.line(format_args!("status check: {}", if ready { "200" } else { "no 200" }));
                checks.lock().expect("no user panics").push((record.seconds(), ready));
                thread::sleep(Duration::from_secs(1));
            }
        }));
        load
    }

    /// Ends the load and returns its requests, in the order of their ends, and the status checks.
    fn finish(self) -> (Vec<Try>, Vec<(f64, bool)>) {
        self.is_over.store(true, Ordering::SeqCst);
        self.threads.into_iter().for_each(|it| drop(it.join()));
        let mut tries = self.tries.lock().expect("no user panics").clone();
        tries.sort_by(|a, b| a.ended.total_cmp(&b.ended));
        let checks = self.checks.lock().expect("no user panics").clone();
        (tries, checks)
    }
}

/// CONFIG: eight or more of the requests that last longer than `timeoutMs`, and over a quarter of these, have no final
/// answer half a second after it.
fn judge_answers(record: &Record, tries: &[Try]) -> i32 {
    let lasts = |it: &&Try, time: Duration| it.ended - it.sent > time.as_secs_f64();
    let long = tries.iter().filter(|it| lasts(it, ROUTE_TIMEOUT)).count();
    let late = tries.iter().filter(|it| lasts(it, ROUTE_TIMEOUT + ANSWER_SLACK)).count();
    let served = tries.iter().filter(|it| it.status == 200).count();
    record.line(format_args!("{served} of {} ordinary requests served", tries.len()));
    record.line(format_args!("{long} lasted longer than timeoutMs, {late} had no answer 0.5 s after it"));
    if served < 100 {
        return NOT_RUN;
    }
    if late >= 8 && late * 4 > long { BROKEN } else { HELD }
}

/// RECOVER: a node that says that it is ready takes no new channel for [`STABLE_WINDOW`], while seven consumers or more
/// try. A channel counts as taken if anything is answered on it.
fn judge_channels(record: &Record, tries: &[Try], checks: &[(f64, bool)]) -> i32 {
    let answered: Vec<f64> = tries.iter().filter(|it| it.status > 0).map(|it| it.ended).collect();
    let spans = answered.windows(2).map(|it| (it[0], it[1]));
    let Some((from, to)) = spans.max_by(|a, b| (a.1 - a.0).total_cmp(&(b.1 - b.0))) else { return NOT_RUN };
    let within = |it: &&Try| it.sent >= from && it.ended <= to && it.status == 0;
    let trying = tries.iter().filter(within).count();
    let is_ready = checks.iter().filter(|it| it.0 >= from && it.0 <= to).all(|it| it.1);
    record.line(format_args!(
        "longest span without an answer on a new channel: {from:.3} to {to:.3}, {:.3} s, {trying} tries, status check \
         good: {is_ready}",
        to - from
    ));
    if answered.len() < 100 {
        return NOT_RUN;
    }
    if to - from >= STABLE_WINDOW.as_secs_f64() && trying >= 7 && is_ready { BROKEN } else { HELD }
}

/// Parts of a prompt, each of one token: 40 that all prompts share and 1,960 of the session, as many tokens as the sheet
/// has for `resumen`.
const SHARED_PARTS: usize = 40;
const OWN_PARTS: usize = 1960;

/// Number of consumers of streams; the three groups have 51 slots.
const STREAMS: usize = 50;

/// A model server crashes while it works on streams whose prompts have many parts.
fn parts(arguments: &Arguments, record: &Arc<Record>) -> i32 {
    let Some(mut site) = Site::start(arguments, record, PLAIN_SERVERS) else { return NOT_RUN };
    let node = site.node.callers;
    let is_over = Arc::new(AtomicBool::new(false));
    let streams = Arc::new(AtomicU64::new(0));
    let consumers: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (record, is_over, streams) = (Arc::clone(record), Arc::clone(&is_over), Arc::clone(&streams));
            thread::spawn(move || {
                for attempt in 0.. {
                    if is_over.load(Ordering::SeqCst) {
                        return;
                    }
                    let id = format!("s{number}-{attempt}");
                    record.line(format_args!("sent     {id} POST /resumen/{number}"));
                    let status = request_stream(node, number, &id);
                    record.line(format_args!("answered {id} {status}"));
                    streams.fetch_add(u64::from(status == 200), Ordering::SeqCst);
                    thread::sleep(Duration::from_millis(50));
                }
            })
        })
        .collect();
    let load = Load::start(site.node, record);
    thread::sleep(Duration::from_secs(6));
    if arguments.has_trouble {
        let head = site.models.iter().find(|it| it.is_open()).expect("groups are open");
        head.crash(Duration::from_millis(4500));
    }
    thread::sleep(Duration::from_secs(20));
    is_over.store(true, Ordering::SeqCst);
    consumers.into_iter().for_each(|it| drop(it.join()));
    let (tries, _) = load.finish();
    let lives = matches!(site.process.try_wait(), Ok(None));
    let streams = streams.load(Ordering::SeqCst);
    record.line(format_args!("the process lives: {lives}; {streams} streams were whole"));
    if streams < 100 { NOT_RUN } else { judge_answers(record, &tries) }
}

/// Sends a request for a stream whose prompt has many parts, and reads the whole answer. Returns its status, 0 if it
/// isn't whole.
fn request_stream(node: SocketAddr, number: usize, id: &str) -> u16 {
    let first = SHARED_PARTS + number * OWN_PARTS;
    let ids = (0..SHARED_PARTS).chain(first..first + OWN_PARTS);
    let parts: Vec<String> = ids.map(|it| format!("{it:x}:1")).collect();
    let (parts, tokens) = (parts.join(","), format!("{},30", SHARED_PARTS + OWN_PARTS));
    let start = format!("POST /resumen/{number} HTTP/1.1");
    let authorization = format!("Bearer {KEY}");
    let headers = stream_headers(id, &tokens, &parts, &authorization);
    let answer = http::call(node, &start, &headers, b"a prompt", Duration::from_secs(6));
    answer.map_or(0, |it| it.status())
}

/// Returns the headers of a request for a stream.
fn stream_headers<'a>(
    id: &'a str,
    tokens: &'a str,
    parts: &'a str,
    authorization: &'a str,
) -> [(&'a str, &'a str); 7] {
    [
        ("Host", HOST),
        ("X-Cuminward-Request-Id", id),
        ("X-Cuminward-Deadline-Ms", "6000"),
        ("X-Cuminward-Model", model::MODEL),
        ("X-Cuminward-Token-Count", tokens),
        ("X-Cuminward-Prompt-Prefix", parts),
        ("Authorization", authorization),
    ]
}

/// Gateway nodes, model servers, and sends of the request that crashes servers.
const NODES: usize = 6;
const MANY_MODEL_SERVERS: usize = 12;
const DEADLY_SENDS: usize = 10;

/// Time between two of these sends.
const DEADLY_PAUSE: Duration = Duration::from_secs(5);

/// Sends that may reach servers after the request has crashed the third and the stable window has passed.
const MAX_DEADLY_SENDS: usize = 3;

/// A request crashes each server that begins to run it, and comes again at other nodes. Its prompt has 100 parts, or as
/// many as the variable PARTS says.
fn deadly(arguments: &Arguments, record: &Arc<Record>) -> i32 {
    let count = env::var("PARTS").ok().and_then(|it| it.parse().ok()).unwrap_or(100);
    let (store, address) = store::start();
    let servers = (0..MANY_MODEL_SERVERS).map(|it| {
        let group = format!("g-{}", it / 2);
        model::Server::start(&format!("m-{it:04}"), "asistente", (&group, it % 2), &store, record)
    });
    let _servers: Vec<Arc<model::Server>> = servers.collect();
    store.put("keyed.op", "config", CONFIG);
    let names = (0..NODES).map(|it| format!("front-mercado-{it}"));
    let mut nodes: Vec<(Node, Child)> = names.map(|it| start_node(arguments, &it, address)).collect();
    thread::sleep(Duration::from_secs(8));
    let all_ready = nodes.iter().all(|it| is_ready(it.0.ready));
    model::IS_DEADLY.store(arguments.has_trouble, Ordering::SeqCst);
    // Ordinary streams, one after the other at each node.
    let is_over = Arc::new(AtomicBool::new(false));
    let streams = Arc::new(AtomicU64::new(0));
    let consumers: Vec<_> = nodes
        .iter()
        .enumerate()
        .map(|(number, it)| {
            let (record, is_over, streams) = (Arc::clone(record), Arc::clone(&is_over), Arc::clone(&streams));
            let node = it.0.callers;
            thread::spawn(move || {
                for attempt in 0.. {
                    if is_over.load(Ordering::SeqCst) {
                        return;
                    }
                    let id = format!("s{number}-{attempt}");
                    let status = request_prompt(node, &format!("/resumen/{number}"), &id, "a:40,b:1420");
                    record.line(format_args!("answered {id} {status}"));
                    streams.fetch_add(u64::from(status == 200), Ordering::SeqCst);
                    thread::sleep(Duration::from_millis(100));
                }
            })
        })
        .collect();
    let parts: Vec<String> = (0..count).map(|it: usize| format!("{:x}:{}", 0x5000 + it, 1460 / count)).collect();
    let parts = parts.join(",");
    for send in 0..DEADLY_SENDS {
        let (id, number) = (format!("deadly-{send}"), send % NODES);
        record.line(format_args!("sent     {id} POST {} at node {number}", model::DEADLY_PATH));
        let status = request_prompt(nodes[number].0.callers, model::DEADLY_PATH, &id, &parts);
        record.line(format_args!("answered {id} {status}"));
        thread::sleep(DEADLY_PAUSE);
    }
    is_over.store(true, Ordering::SeqCst);
    consumers.into_iter().for_each(|it| drop(it.join()));
    let live = nodes.iter_mut().all(|it| matches!(it.1.try_wait(), Ok(None)));
    for (_, it) in &mut nodes {
        let _ = it.kill();
        let _ = it.wait();
    }
    if !all_ready || !live || streams.load(Ordering::SeqCst) < 50 {
        record.line("the nodes didn't serve");
        return NOT_RUN;
    }
    judge_deadly(record, arguments)
}

/// BUDGET: a request that crashes the servers that run it reaches servers in more than three retries, sent later than the
/// stable window after it has crashed the third.
fn judge_deadly(record: &Record, arguments: &Arguments) -> i32 {
    let text = fs::read_to_string(&arguments.record).unwrap_or_default();
    let words = |it: &str| it.split_whitespace().map(str::to_owned).collect::<Vec<_>>();
    let lines: Vec<Vec<String>> = text.lines().map(words).filter(|it| it.len() > 2).collect();
    let seconds = |it: &[String]| it[0].parse::<f64>().unwrap_or(0.0);
    let runs: Vec<&Vec<String>> =
        lines.iter().filter(|it| it[1] == "run" && it[2].starts_with("deadly-")).collect();
    let third = runs.get(2).filter(|_| arguments.has_trouble).map_or(f64::INFINITY, |it| seconds(it));
    let is_later = |it: &&Vec<String>| it[1] == "sent" && seconds(it) > third + STABLE_WINDOW.as_secs_f64();
    let later: Vec<&String> = lines.iter().filter(is_later).map(|it| &it[2]).collect();
    let reached = later.iter().filter(|id| runs.iter().any(|it| it[2] == ***id)).count();
    record.line(format_args!(
        "the request ran at {} servers; {reached} of {} sends later than the stable window after the third crash reached \
         servers",
        runs.len(),
        later.len()
    ));
    if reached > MAX_DEADLY_SENDS { BROKEN } else { HELD }
}

/// Sends a request for a stream with these parts of its prompt. Returns the status of its answer, 0 if it isn't whole.
fn request_prompt(node: SocketAddr, path: &str, id: &str, parts: &str) -> u16 {
    let authorization = format!("Bearer {KEY}");
    let headers = stream_headers(id, "1460,30", parts, &authorization);
    let start = format!("POST {path} HTTP/1.1");
    let answer = http::call(node, &start, &headers, b"a prompt", Duration::from_secs(6));
    answer.map_or(0, |it| it.status())
}

/// One of seven servers runs requests and answers two in five of them with 503, for 6.5 s.
fn refused(arguments: &Arguments, record: &Arc<Record>) -> i32 {
    let Some(site) = Site::start(arguments, record, 7) else { return NOT_RUN };
    let node = site.node.callers;
    let answers: Arc<Mutex<HashMap<String, u16>>> = Arc::default();
    let mut consumers = Vec::new();
    for number in 0..150 {
        if number == 40 && arguments.has_trouble {
            // Any of them may be the one in trouble; here it is one that is in use.
            let grey = site.plain.iter().max_by_key(|it| it.runs()).expect("there are servers");
            grey.set_grey(true);
            record.line(format_args!("server {} begins to fail two in five", grey.id));
        }
        if number == 130 {
            site.plain.iter().for_each(|it| it.set_grey(false));
        }
        let (record, answers) = (Arc::clone(record), Arc::clone(&answers));
        consumers.push(thread::spawn(move || {
            // A consumer asks once more after a promise that its request hasn't run.
            for attempt in 0..2 {
                let id = format!("{number:04}-{attempt}");
                let path = format!("/reserva/{number}");
                record.line(format_args!("sent     {id} POST {path}"));
                let answer = request(node, "POST", &path, &id);
                let status = answer.as_ref().map_or(0, http::Message::status);
                record.line(format_args!("answered {id} {status}"));
                answers.lock().expect("no user panics").insert(id, status);
                if !is_promise(status) {
                    return;
                }
                let after = answer.ok().and_then(|it| it.header("retry-after")?.parse::<f64>().ok());
                thread::sleep(Duration::from_secs_f64(after.unwrap_or(0.1).clamp(0.0, 1.0)));
            }
        }));
        thread::sleep(Duration::from_millis(72));
    }
    consumers.into_iter().for_each(|it| drop(it.join()));
    drop(site);
    let text = fs::read_to_string(&arguments.record).unwrap_or_default();
    let runs = text.lines().filter(|it| it.ends_with("POST") && it.contains(" run "));
    let runs: HashSet<&str> = runs.filter_map(|it| it.split_whitespace().nth(2)).collect();
    let answers = answers.lock().expect("no user panics");
    let untrue = answers.iter().filter(|(id, status)| is_promise(**status) && runs.contains(id.as_str()));
    let untrue: Vec<&String> = untrue.map(|(id, _)| id).collect();
    for id in &untrue {
        let again = format!("{}-1", id.split('-').next().unwrap_or_default());
        let twice = runs.contains(again.as_str());
        record.line(format_args!("{id} was answered {} and has run; asked again and run again: {twice}", answers[*id]));
    }
    let served = answers.values().filter(|it| **it == 200).count();
    record.line(format_args!("{served} served, {} answered with a promise although they had run", untrue.len()));
    if served < 100 {
        return NOT_RUN;
    }
    if untrue.is_empty() { HELD } else { BROKEN }
}

/// Returns whether a status promises that a request hasn't run and never will.
fn is_promise(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// What the channels of a crowd send. After it, each sends a small chunk of its body now and then.
struct Crowd {
    start: Vec<u8>,
    channels: usize,
    /// Whether a channel that the node has closed is opened again.
    reopens: bool,
    time: Duration,
}

/// Threads that hold the channels of a crowd.
const CROWD_THREADS: usize = 12;

/// Pause between two pieces on a channel.
const PIECE_PAUSE: Duration = Duration::from_millis(400);

/// A channel of a crowd, with what it has still to send.
struct Channel {
    stream: TcpStream,
    left: Vec<u8>,
}

/// Mutation
impl Channel {
    /// Sends what it can, a small chunk if nothing is left. Returns whether the channel is open and unanswered.
    fn push(&mut self) -> bool {
        let mut bytes = [0; 64];
        match self.stream.read(&mut bytes) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            _ => return false,
        }
        if self.left.is_empty() {
            self.left.extend(b"1\r\nx\r\n");
        }
        if let Ok(count) = self.stream.write(&self.left) {
            self.left.drain(..count);
        }
        true
    }
}

/// Holds a crowd until its time is over, or `is_ended` says so. Returns whether it did.
fn hold_crowd(node: SocketAddr, record: &Record, crowd: Crowd, is_ended: impl Fn() -> bool) -> bool {
    record.line(format_args!("a crowd of {} channels comes", crowd.channels));
    let crowd = Arc::new(crowd);
    let until = Instant::now() + crowd.time;
    let is_over = Arc::new(AtomicBool::new(false));
    let threads: Vec<_> = (0..CROWD_THREADS)
        .map(|_| {
            let (crowd, is_over) = (Arc::clone(&crowd), Arc::clone(&is_over));
            thread::spawn(move || hold_channels(node, &crowd, &is_over))
        })
        .collect();
    let mut has_ended = false;
    while Instant::now() < until && !has_ended {
        thread::sleep(Duration::from_millis(50));
        has_ended = is_ended();
    }
    is_over.store(true, Ordering::SeqCst);
    let counts = threads.into_iter().map(|it| it.join().unwrap_or_default());
    let (opened, closed) = counts.fold((0, 0), |sum, it| (sum.0 + it.0, sum.1 + it.1));
    record.line(format_args!("the crowd leaves: {opened} channels opened, {closed} answered or closed by the node"));
    has_ended
}

/// Holds a part of the channels. Returns the numbers of those that were opened, and of those that the node has answered
/// or closed.
fn hold_channels(node: SocketAddr, crowd: &Crowd, is_over: &AtomicBool) -> (usize, usize) {
    let mut channels: Vec<Channel> = Vec::new();
    let (mut opened, mut closed) = (0, 0);
    let share = crowd.channels / CROWD_THREADS;
    while !is_over.load(Ordering::SeqCst) {
        let began = Instant::now();
        let may_open = |opened: usize, open: usize| open < share && (crowd.reopens || opened < share);
        while may_open(opened, channels.len()) && began.elapsed() < PIECE_PAUSE {
            let Ok(stream) = TcpStream::connect_timeout(&node, PIECE_PAUSE) else { break };
            let _ = stream.set_nonblocking(true);
            channels.push(Channel { stream, left: crowd.start.clone() });
            opened += 1;
        }
        let before = channels.len();
        if crowd.reopens {
            channels.retain_mut(Channel::push);
            closed += before - channels.len();
        } else {
            // They stay open, whatever the node says.
            for it in &mut channels {
                let _ = it.push();
            }
        }
        thread::sleep(PIECE_PAUSE.saturating_sub(began.elapsed()).max(Duration::from_millis(20)));
    }
    (opened, closed)
}

/// Returns the start of a request of a crowd, up to the end of its request line and first headers.
fn crowd_head(path: &str, id: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\nX-Cuminward-Request-Id: {id}\r\n\
         Transfer-Encoding: chunked\r\n"
    )
}

/// Consumers with kept channels beside the crowd that takes the memory.
const KEPT_CHANNELS: usize = 20;

/// A request on a kept channel, that is not the first one there.
struct Kept {
    id: String,
    /// Whether the answer was whole; otherwise the channel ended without one.
    is_answered: bool,
    ended: f64,
}

/// Sends requests for streams on one channel, one after the other, and on a new one when it ends.
fn keep_channel(node: SocketAddr, number: usize, record: &Record, is_over: &AtomicBool, kept: &Mutex<Vec<Kept>>) {
    let authorization = format!("Bearer {KEY}");
    let mut attempt = 0;
    while !is_over.load(Ordering::SeqCst) {
        let Ok(mut writer) = TcpStream::connect_timeout(&node, Duration::from_secs(1)) else {
            thread::sleep(Duration::from_millis(100));
            continue;
        };
        let _ = writer.set_nodelay(true);
        let _ = writer.set_read_timeout(Some(Duration::from_secs(6)));
        let Ok(reader) = writer.try_clone() else { continue };
        let mut reader = BufReader::new(reader);
        for place in 0.. {
            if is_over.load(Ordering::SeqCst) {
                return;
            }
            let id = format!("k{number}-{attempt}");
            attempt += 1;
            record.line(format_args!("sent     {id} POST /resumen/{number}, request {place} of its channel"));
            let headers = stream_headers(&id, "1460,30", "a:40,b:1420", &authorization);
            let start = format!("POST /resumen/{number} HTTP/1.1");
            let sent = http::write(&mut writer, &start, &headers, b"a prompt");
            let answer = sent.and_then(|()| http::read(&mut reader)).ok().flatten();
            let status = answer.as_ref().map_or(0, http::Message::status);
            record.line(format_args!("answered {id} {status}"));
            if place > 0 {
                let request = Kept { id, is_answered: status > 0, ended: record.seconds() };
                kept.lock().expect("no user panics").push(request);
            }
            let closes = answer.is_some_and(|it| it.header("connection") == Some("close"));
            if status != 200 || closes {
                break;
            }
        }
    }
}

/// Consumers with kept channels for a while, and those that go on when the load goes down.
const MANY: usize = 24;
const FEW: usize = 24;

/// Replicas that are silent, one after the other, for how long, and the time between.
const SILENT_GROUPS: [usize; 6] = [0, 1, 2, 0, 1, 2];
const SILENCE: Duration = Duration::from_millis(1000);
const SILENCE_PAUSE: Duration = Duration::from_secs(5);

/// Sound servers are silent for a second, while servers drop idle channels without notice.
fn silence(arguments: &Arguments, record: &Arc<Record>) -> i32 {
    let Some(site) = Site::start(arguments, record, PLAIN_SERVERS) else { return NOT_RUN };
    model::PACE.events.store(34, Ordering::SeqCst);
    model::PACE.first_ms.store(200, Ordering::SeqCst);
    model::DROPS_IDLE.store(arguments.has_trouble, Ordering::SeqCst);
    let node = site.node.callers;
    let kept: Arc<Mutex<Vec<Kept>>> = Arc::default();
    let spawn = |numbers: std::ops::Range<usize>, is_over: &Arc<AtomicBool>| {
        let one = |number| {
            let (record, is_over, kept) = (Arc::clone(record), Arc::clone(is_over), Arc::clone(&kept));
            thread::spawn(move || keep_channel(node, number, &record, &is_over, &kept))
        };
        numbers.map(one).collect::<Vec<_>>()
    };
    let (busy, calm): (Arc<AtomicBool>, Arc<AtomicBool>) = Default::default();
    let few = spawn(0..FEW, &calm);
    let many = spawn(FEW..FEW + MANY, &busy);
    thread::sleep(Duration::from_secs(6));
    // The load goes down, so that some of the node's channels to servers are idle.
    busy.store(true, Ordering::SeqCst);
    many.into_iter().for_each(|it| drop(it.join()));
    thread::sleep(Duration::from_millis(2500));
    for group in SILENT_GROUPS {
        let members = &site.models[group * 2..group * 2 + 2];
        record.line(format_args!("servers {} and {} are silent", members[0].id, members[1].id));
        members.iter().for_each(|it| it.set_silent(true));
        thread::sleep(SILENCE);
        members.iter().for_each(|it| it.set_silent(false));
        record.line("they go on");
        thread::sleep(SILENCE_PAUSE);
    }
    calm.store(true, Ordering::SeqCst);
    few.into_iter().for_each(|it| drop(it.join()));
    drop(site);
    let kept = std::mem::take(&mut *kept.lock().expect("no user panics"));
    judge_kept(record, arguments, &kept, 0.0)
}

/// LOST: more than three requests on kept channels are passed on to a server, and their channel ends without a whole
/// answer later than `since`.
fn judge_kept(record: &Record, arguments: &Arguments, kept: &[Kept], since: f64) -> i32 {
    let text = fs::read_to_string(&arguments.record).unwrap_or_default();
    let runs = text.lines().filter(|it| it.contains(" run "));
    let runs: HashSet<&str> = runs.filter_map(|it| it.split_whitespace().nth(2)).collect();
    let answered = kept.iter().filter(|it| it.is_answered).count();
    let is_lost = |it: &&Kept| !it.is_answered && it.ended > since && runs.contains(it.id.as_str());
    let lost: Vec<&str> = kept.iter().filter(is_lost).map(|it| it.id.as_str()).collect();
    record.line(format_args!("{answered} requests on kept channels answered"));
    record.line(format_args!("{} were passed on to a server and lost with their channel: {}", lost.len(), lost.join(" ")));
    if answered < 50 {
        return NOT_RUN;
    }
    if lost.len() > 3 { BROKEN } else { HELD }
}

/// Consumers send heads over the limit and chunked bodies, stop short of their end and stay open. The platform kills the
/// process when it exceeds the memory of its machine, and requests on kept channels get no answer.
fn memory(arguments: &Arguments, record: &Arc<Record>) -> i32 {
    let Some(mut site) = Site::start(arguments, record, PLAIN_SERVERS) else { return NOT_RUN };
    let node = site.node.callers;
    let is_over = Arc::new(AtomicBool::new(false));
    let kept: Arc<Mutex<Vec<Kept>>> = Arc::default();
    let consumers: Vec<_> = (0..KEPT_CHANNELS)
        .map(|number| {
            let (record, is_over, kept) = (Arc::clone(record), Arc::clone(&is_over), Arc::clone(&kept));
            thread::spawn(move || keep_channel(node, number, &record, &is_over, &kept))
        })
        .collect();
    thread::sleep(Duration::from_secs(4));
    let mut killed_at = f64::INFINITY;
    if arguments.has_trouble {
        let path = format!("/patron/{}", "x".repeat(31_000));
        let lines: String = (0..80).map(|it| format!("x{it}: 1\r\n")).collect();
        let parts = "0:,".repeat(4100);
        let chunks = format!("1000\r\n{}\r\n", "x".repeat(4096)).repeat(14);
        let head = crowd_head(&path, &"c".repeat(3000));
        let start = format!("{head}{lines}X-Cuminward-Prompt-Prefix: {parts}0:1\r\n\r\n{chunks}").into_bytes();
        let crowd = Crowd { start, channels: 1200, reopens: true, time: Duration::from_secs(80) };
        let exceeds = || site.memory_kib("VmRSS") > MEMORY_KIB;
        let is_killed = hold_crowd(node, record, crowd, || {
            let exceeds = exceeds();
            if exceeds {
                let peak = site.memory_kib("VmHWM");
                record.line(format_args!("the process has {peak} KiB of {MEMORY_KIB} KiB and is killed"));
                kill(&site.process);
            }
            exceeds
        });
        if is_killed {
            killed_at = record.seconds();
        }
    } else {
        thread::sleep(Duration::from_secs(20));
        record.line(format_args!("memory at its peak {} KiB of {MEMORY_KIB} KiB", site.memory_kib("VmHWM")));
    }
    thread::sleep(Duration::from_secs(1));
    is_over.store(true, Ordering::SeqCst);
    consumers.into_iter().for_each(|it| drop(it.join()));
    let _ = site.process.try_wait();
    drop(site);
    // A few seconds before the end of the process is known.
    let kept = std::mem::take(&mut *kept.lock().expect("no user panics"));
    judge_kept(record, arguments, &kept, killed_at - 3.0)
}

/// Ends a process at once, as the platform does.
fn kill(process: &Child) {
    let id = process.id().to_string();
    let _ = std::process::Command::new("kill").args(["-KILL", &id]).status();
}

/// Consumers send heads over the limit, whose path has many slashes.
fn paths(arguments: &Arguments, record: &Arc<Record>) -> i32 {
    let Some(site) = Site::start(arguments, record, PLAIN_SERVERS) else { return NOT_RUN };
    let node = site.node.callers;
    let load = Load::start(site.node, record);
    thread::sleep(Duration::from_secs(6));
    if arguments.has_trouble {
        record.line("40 requests with heads over the limit are sent");
        let start = crowd_head(&"/".repeat(46_000), "c0");
        let channels = (0..40).filter_map(|_| {
            let mut stream = TcpStream::connect_timeout(&node, Duration::from_secs(1)).ok()?;
            stream.set_nonblocking(true).ok()?;
            // What the socket takes at once is the whole head.
            let count = stream.write(format!("{start}\r\n0\r\n\r\n").as_bytes()).ok()?;
            (count > 46_000).then_some(stream)
        });
        let channels: Vec<TcpStream> = channels.collect();
        record.line(format_args!("{} were sent whole", channels.len()));
        thread::sleep(Duration::from_secs(30));
        for mut it in channels {
            let mut bytes = [0; 64];
            let count = it.read(&mut bytes).unwrap_or(0);
            let line = String::from_utf8_lossy(&bytes[..count]).lines().next().unwrap_or_default().to_owned();
            record.line(format_args!("answered c0 {line}"));
        }
    } else {
        thread::sleep(Duration::from_secs(30));
    }
    thread::sleep(Duration::from_secs(4));
    let (tries, _) = load.finish();
    judge_answers(record, &tries)
}

/// Consumers send chunked bodies in very small chunks, piece by piece.
fn places(arguments: &Arguments, record: &Arc<Record>) -> i32 {
    let Some(site) = Site::start(arguments, record, PLAIN_SERVERS) else { return NOT_RUN };
    let load = Load::start(site.node, record);
    thread::sleep(Duration::from_secs(6));
    let time = Duration::from_secs(20);
    if arguments.has_trouble {
        let start = format!("{}\r\n1\r\nx\r\n", crowd_head("/patron/1", "c0")).into_bytes();
        let crowd = Crowd { start, channels: 1200, reopens: false, time };
        let _ = hold_crowd(site.node.callers, record, crowd, || false);
    } else {
        thread::sleep(time);
    }
    thread::sleep(Duration::from_secs(4));
    let (tries, checks) = load.finish();
    judge_channels(record, &tries, &checks)
}

