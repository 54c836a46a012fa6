//! Stand-in of the platform's store: topics of one partition, and consumer groups.

use std::{
    collections::{BTreeMap, HashMap},
    io::{self, BufReader},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{http, json};

/// Partitions that a consumer group divides.
const PARTITIONS: usize = 8;

/// A running store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    inner: Arc<(Mutex<Inner>, Condvar)>,
}

#[derive(Default)]
struct Inner {
    topics: HashMap<String, Vec<(String, Vec<u8>)>>,
    groups: HashMap<String, Group>,
}

#[derive(Default)]
struct Group {
    generation: u64,
    members: BTreeMap<String, Instant>,
}

impl Store {
    /// Starts an empty store.
    pub fn start() -> io::Result<Store> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Store { address: listener.local_addr()?, inner: Arc::default() };
        store.listen(listener, Arc::default());
        Ok(store)
    }

    /// Opens a further address, at which the store turns machines away while the returned flag is set.
    pub fn open_door(&self) -> io::Result<(SocketAddr, Arc<AtomicBool>)> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let (address, is_closed) = (listener.local_addr()?, Arc::new(AtomicBool::new(false)));
        self.listen(listener, Arc::clone(&is_closed));
        Ok((address, is_closed))
    }

    fn listen(&self, listener: TcpListener, is_closed: Arc<AtomicBool>) {
        let shared = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, is_closed) = (shared.clone(), Arc::clone(&is_closed));
                thread::spawn(move || store.serve(stream, &is_closed));
            }
        });
    }

    /// Writes a record; an empty value deletes its key.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut inner = self.inner.0.lock().unwrap();
        let records = inner.topics.entry(topic.to_owned()).or_default();
        records.push((key.to_owned(), value.to_vec()));
        self.inner.1.notify_all();
    }

    fn serve(&self, mut stream: TcpStream, is_closed: &AtomicBool) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        loop {
            let request = http::read(&mut reader).ok()??;
            let is_refused = is_closed.load(Ordering::SeqCst);
            let answer = if is_refused { (503, Vec::new()) } else { self.handle(&request) };
            // A read that waited is turned away as well.
            let is_refused = is_closed.load(Ordering::SeqCst);
            let (status, body) = if is_refused { (503, Vec::new()) } else { answer };
            http::respond(&mut stream, status, "", &body).ok()?;
        }
    }

    fn handle(&self, request: &http::Message) -> (u16, Vec<u8>) {
        match request.path() {
            "/log-append" => self.append(request),
            "/log-read" => self.read(request),
            "/log-newest" => self.newest(request),
            "/log-join" => self.join(request, true),
            "/log-leave" => self.join(request, false),
            _ => (404, Vec::new()),
        }
    }

    fn append(&self, request: &http::Message) -> (u16, Vec<u8>) {
        let mut inner = self.inner.0.lock().unwrap();
        let topic = request.query("topic").unwrap_or_default().to_owned();
        let records = inner.topics.entry(topic).or_default();
        let first = records.len();
        let mut rest = &request.body[..];
        while rest.len() >= 4 {
            let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            let record = &rest[4..4 + length];
            let key_end = 1 + usize::from(record[0]);
            let key = String::from_utf8_lossy(&record[1..key_end]).into_owned();
            records.push((key, record[key_end..].to_vec()));
            rest = &rest[4 + length..];
        }
        let body = format!("{{\"offset\":{first},\"endOffset\":{}}}", records.len());
        self.inner.1.notify_all();
        (200, body.into_bytes())
    }

    fn read(&self, request: &http::Message) -> (u16, Vec<u8>) {
        let number = |name: &str| request.query(name).and_then(|it| it.parse::<u64>().ok());
        let from = number("from").unwrap_or_default() as usize;
        let until = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or_default());
        let topic = request.query("topic").unwrap_or_default();
        let mut inner = self.inner.0.lock().unwrap();
        loop {
            let Some(records) = inner.topics.get(topic) else { return (404, b"{}".to_vec()) };
            let left = until.saturating_duration_since(Instant::now());
            if records.len() > from || left.is_zero() {
                break;
            }
            inner = self.inner.1.wait_timeout(inner, left).unwrap().0;
        }
        let records = &inner.topics[topic];
        let mut body = (records.len() as u64).to_be_bytes().to_vec();
        body.extend(0_u64.to_be_bytes());
        for (key, value) in records.iter().skip(from) {
            body.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
            body.push(key.len() as u8);
            body.extend(key.as_bytes());
            body.extend(value);
        }
        (200, body)
    }

    fn newest(&self, request: &http::Message) -> (u16, Vec<u8>) {
        let inner = self.inner.0.lock().unwrap();
        let topic = request.query("topic").unwrap_or_default();
        let Some(records) = inner.topics.get(topic) else { return (404, b"{}".to_vec()) };
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        let items = newest.iter().filter(|(_, (_, value))| !value.is_empty());
        let items = items.map(|(key, (offset, value))| {
            format!("{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}", base64(value))
        });
        let items: Vec<String> = items.collect();
        let end = records.len();
        let body =
            format!("{{\"items\":[{}],\"truncated\":false,\"endOffset\":{end}}}", items.join(","));
        (200, body.into_bytes())
    }

    fn join(&self, request: &http::Message, is_join: bool) -> (u16, Vec<u8>) {
        let Some(call) = json::parse(&request.body) else { return (400, Vec::new()) };
        let member = call.text("member");
        let ttl = Duration::from_millis(call.number("ttlMs").unwrap_or_default());
        let now = Instant::now();
        let mut inner = self.inner.0.lock().unwrap();
        let group = inner.groups.entry(call.text("group")).or_default();
        let before: Vec<String> = group.members.keys().cloned().collect();
        group.members.retain(|_, until| *until > now);
        if is_join {
            group.members.insert(member.clone(), now + ttl);
        } else {
            group.members.remove(&member);
        }
        if group.members.keys().ne(before.iter()) {
            group.generation += 1;
        }
        let position = group.members.keys().position(|it| *it == member);
        let count = group.members.len();
        let parts = (0..PARTITIONS).filter(|it| Some(it % count.max(1)) == position);
        let parts: Vec<String> = parts.map(|it| format!("[\"duties\",{it},0]")).collect();
        let generation = group.generation;
        let body = format!("{{\"generation\":{generation},\"parts\":[{}]}}", parts.join(","));
        (200, body.into_bytes())
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for index in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * index)) as usize & 63];
            text.push(if index <= chunk.len() { char::from(digit) } else { '=' });
        }
    }
    text
}
