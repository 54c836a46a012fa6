//! Stand-in of the platform's store: keyed topics, reads that wait, and one group of members.

use std::{
    collections::{BTreeMap, HashMap},
    io::BufReader,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use crate::http::{self, Message};

/// Number of partitions of the topic that the members share.
const PARTITIONS: u32 = 8;

struct Entry {
    key: String,
    value: Vec<u8>,
}

#[derive(Default)]
struct State {
    topics: HashMap<String, Vec<Entry>>,
    generation: u64,
    /// Members of the group with the end of their lease.
    members: BTreeMap<String, Instant>,
}

/// The store.
#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

/// Starts the store. Returns it with its address.
pub fn start() -> (Arc<Store>, SocketAddr) {
    let store = Arc::new(Store::default());
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let served = Arc::clone(&store);
    http::serve(listener, move |stream| serve(&served, stream));
    (store, address)
}

/// Mutation
impl Store {
    /// Writes the value of a key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let entry = Entry { key: key.to_owned(), value: value.as_bytes().to_vec() };
        let mut state = self.state.lock().expect("no user panics");
        state.topics.entry(topic.to_owned()).or_default().push(entry);
        self.changed.notify_all();
    }

    /// Writes the value of a key unless it is the newest already.
    pub fn put_if_new(&self, topic: &str, key: &str, value: &str) {
        let state = self.state.lock().expect("no user panics");
        let newest = state.topics.get(topic).and_then(|it| it.iter().rfind(|it| it.key == key));
        let is_known = newest.is_some_and(|it| it.value == value.as_bytes());
        drop(state);
        if !is_known {
            self.put(topic, key, value);
        }
    }

    fn append(&self, request: &Message) -> (u64, u64) {
        let topic = request.query("topic").unwrap_or_default().to_owned();
        let mut state = self.state.lock().expect("no user panics");
        let records = state.topics.entry(topic.clone()).or_default();
        let first = records.len() as u64;
        let mut rest = request.body.as_slice();
        while rest.len() > 4 {
            let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            let record = &rest[4..4 + length];
            rest = &rest[4 + length..];
            let (key, value) = match (topic.starts_with("keyed."), record.first()) {
                (true, Some(length)) => record[1..].split_at(usize::from(*length)),
                _ => (&[][..], record),
            };
            let key = String::from_utf8_lossy(key).into_owned();
            records.push(Entry { key, value: value.to_vec() });
        }
        let end = records.len() as u64;
        self.changed.notify_all();
        (first, end)
    }

    fn read(&self, request: &Message) -> Vec<u8> {
        let topic = request.query("topic").unwrap_or_default();
        let from: usize = request.query("from").and_then(|it| it.parse().ok()).unwrap_or(0);
        let wait: u64 = request.query("waitMs").and_then(|it| it.parse().ok()).unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state.lock().expect("no user panics");
        loop {
            let records = state.topics.get(topic).map_or(&[][..], Vec::as_slice);
            let left = until.saturating_duration_since(Instant::now());
            if records.len() > from || left.is_zero() {
                let mut bytes = (records.len() as u64).to_be_bytes().to_vec();
                bytes.extend(0_u64.to_be_bytes());
                for it in records.iter().skip(from) {
                    let length = 1 + it.key.len() + it.value.len();
                    bytes.extend((length as u32).to_be_bytes());
                    bytes.push(it.key.len() as u8);
                    bytes.extend(it.key.as_bytes());
                    bytes.extend(&it.value);
                }
                return bytes;
            }
            state = self.changed.wait_timeout(state, left).expect("no user panics").0;
        }
    }

    fn newest(&self, request: &Message) -> String {
        let topic = request.query("topic").unwrap_or_default();
        let state = self.state.lock().expect("no user panics");
        let records = state.topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut newest: BTreeMap<&str, (usize, &[u8])> = BTreeMap::new();
        for (offset, it) in records.iter().enumerate() {
            newest.insert(&it.key, (offset, &it.value));
        }
        let present = newest.iter().filter(|(_, (_, value))| !value.is_empty());
        let items = present.map(|(key, (offset, value))| {
            format!("{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}", base64(value))
        });
        let items = items.collect::<Vec<_>>().join(",");
        format!("{{\"items\":[{items}],\"truncated\":false,\"endOffset\":{}}}", records.len())
    }

    /// Keeps a member in the group. The first member by name holds all partitions.
    fn join(&self, request: &Message) -> String {
        let text = String::from_utf8_lossy(&request.body).into_owned();
        let name = http::field(&text, "member").trim_matches('"').to_owned();
        let lease = Duration::from_millis(http::field(&text, "ttlMs").parse().unwrap_or(1000));
        let now = Instant::now();
        let mut state = self.state.lock().expect("no user panics");
        let before = state.members.len();
        state.members.retain(|_, until| *until > now);
        let is_new = state.members.insert(name.clone(), now + lease).is_none();
        if is_new || state.members.len() < before {
            state.generation += 1;
        }
        let is_first = state.members.keys().next() == Some(&name);
        let count = if is_first { PARTITIONS } else { 0 };
        let parts = (0..count).map(|it| format!("[\"duties\",{it},0]")).collect::<Vec<_>>().join(",");
        format!("{{\"generation\":{},\"ttlMs\":{},\"parts\":[{parts}]}}", state.generation, lease.as_millis())
    }

    fn leave(&self, request: &Message) {
        let text = String::from_utf8_lossy(&request.body).into_owned();
        let mut state = self.state.lock().expect("no user panics");
        state.members.remove(http::field(&text, "member").trim_matches('"'));
        state.generation += 1;
    }
}

fn serve(store: &Store, stream: TcpStream) {
    let mut writer = stream.try_clone().expect("sockets can be shared");
    let mut reader = BufReader::new(stream);
    while let Ok(Some(request)) = http::read(&mut reader) {
        let path = request.target().split('?').next().unwrap_or_default();
        let body = match path {
            "/log-append" => {
                let (first, end) = store.append(&request);
                format!("{{\"offset\":{first},\"endOffset\":{end}}}").into_bytes()
            }
            "/log-read" => store.read(&request),
            "/log-newest" => store.newest(&request).into_bytes(),
            "/log-join" => store.join(&request).into_bytes(),
            "/log-leave" => {
                store.leave(&request);
                b"{}".to_vec()
            }
            _ => b"{}".to_vec(),
        };
        let headers = [("Content-Type", "application/json")];
        if http::write(&mut writer, "HTTP/1.1 200 OK", &headers, &body).is_err() {
            return;
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let byte = |it: usize| u32::from(group.get(it).copied().unwrap_or(0));
        let number = byte(0) << 16 | byte(1) << 8 | byte(2);
        for place in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * place) & 63) as usize];
            text.push(if place <= group.len() { char::from(digit) } else { '=' });
        }
    }
    text
}
