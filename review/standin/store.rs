//! Stand-in of the platform's store: keyed topics of one partition, and consumer groups.

use std::{
    collections::{BTreeMap, HashMap},
    io,
    net::TcpListener,
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::http::{Connection, Message, header};

/// Number of partitions of a topic that consumer groups divide.
const PARTITIONS: u32 = 8;

#[derive(Default)]
struct Topic {
    records: Vec<(String, Vec<u8>)>,
}

#[derive(Default)]
struct Group {
    generation: u64,
    members: BTreeMap<String, Instant>,
}

#[derive(Default)]
struct Inner {
    topics: HashMap<String, Topic>,
    groups: HashMap<String, Group>,
}

#[derive(Default)]
struct Shared {
    inner: Mutex<Inner>,
    appended: Condvar,
}

/// The store. Clones share its records.
#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<Shared>,
}

/// An address of the store, which one machine uses.
pub struct Door {
    pub address: String,
    /// Whether calls at this address are refused with 503.
    pub is_refusing: Arc<AtomicBool>,
    /// Number of calls at this address that were answered and not refused.
    pub answered: Arc<AtomicU64>,
}

impl Store {
    /// Opens a further address of the store.
    pub fn open_door(&self) -> io::Result<Door> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?.to_string();
        let is_refusing = Arc::new(AtomicBool::new(false));
        let answered: Arc<AtomicU64> = Arc::default();
        let (store, refusing, count) =
            (self.clone(), Arc::clone(&is_refusing), Arc::clone(&answered));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, refusing) = (store.clone(), Arc::clone(&refusing));
                let count = Arc::clone(&count);
                thread::spawn(move || {
                    let Ok(mut connection) = Connection::new(stream) else { return };
                    while let Ok(Some(call)) = connection.read(false) {
                        if store.answer(&mut connection, &call, &refusing).is_err() {
                            return;
                        }
                        if !refusing.load(Ordering::SeqCst) {
                            count.fetch_add(1, Ordering::SeqCst);
                        }
                    }
                });
            }
        });
        Ok(Door { address, is_refusing, answered })
    }

    /// Writes the value of a key; an empty value deletes the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut inner = self.shared.inner.lock().unwrap();
        let topic = inner.topics.entry(topic.to_owned()).or_default();
        topic.records.push((key.to_owned(), value.as_bytes().to_vec()));
        self.shared.appended.notify_all();
    }

    fn answer(
        &self,
        connection: &mut Connection,
        call: &Message,
        refusing: &AtomicBool,
    ) -> io::Result<()> {
        if refusing.load(Ordering::SeqCst) {
            return connection.send("HTTP/1.1 503 Service Unavailable", &[], b"");
        }
        let topic = call.query("topic").unwrap_or_default().to_owned();
        let json = [header("Content-Type", "application/json")];
        match call.path() {
            "/log-append" => {
                let end = self.append(&topic, &call.body);
                let body = format!("{{\"offset\":{end},\"endOffset\":{end}}}");
                connection.send("HTTP/1.1 200 OK", &json, body.as_bytes())
            }
            "/log-read" => {
                let number = |name| call.query(name).and_then(|it| it.parse().ok()).unwrap_or(0);
                let wait = Duration::from_millis(number("waitMs"));
                let body = self.read(&topic, number("from") as usize, wait, refusing);
                match body {
                    Some(body) => connection.send("HTTP/1.1 200 OK", &[], &body),
                    None => connection.send("HTTP/1.1 503 Service Unavailable", &[], b""),
                }
            }
            "/log-newest" => {
                let body = self.newest(&topic);
                connection.send("HTTP/1.1 200 OK", &json, body.as_bytes())
            }
            "/log-join" | "/log-leave" => {
                let body = self.membership(&String::from_utf8_lossy(&call.body), call.path());
                connection.send("HTTP/1.1 200 OK", &json, body.as_bytes())
            }
            _ => connection.send("HTTP/1.1 404 Not Found", &[], b""),
        }
    }

    fn append(&self, topic: &str, mut body: &[u8]) -> usize {
        let mut inner = self.shared.inner.lock().unwrap();
        let topic = inner.topics.entry(topic.to_owned()).or_default();
        while body.len() >= 5 {
            let length = u32::from_be_bytes([body[0], body[1], body[2], body[3]]) as usize;
            let record = &body[4..4 + length];
            let key = usize::from(record[0]);
            let name = String::from_utf8_lossy(&record[1..=key]).into_owned();
            topic.records.push((name, record[1 + key..].to_vec()));
            body = &body[4 + length..];
        }
        self.shared.appended.notify_all();
        topic.records.len()
    }

    fn read(
        &self,
        topic: &str,
        from: usize,
        wait: Duration,
        refusing: &AtomicBool,
    ) -> Option<Vec<u8>> {
        let until = Instant::now() + wait;
        let mut inner = self.shared.inner.lock().unwrap();
        loop {
            if refusing.load(Ordering::SeqCst) {
                return None;
            }
            let end = inner.topics.get(topic).map_or(0, |it| it.records.len());
            let now = Instant::now();
            if end > from || now >= until {
                break;
            }
            let step = (until - now).min(Duration::from_millis(50));
            inner = self.shared.appended.wait_timeout(inner, step).unwrap().0;
        }
        let empty = Topic::default();
        let topic = inner.topics.get(topic).unwrap_or(&empty);
        let mut body = (topic.records.len() as u64).to_be_bytes().to_vec();
        body.extend_from_slice(&0_u64.to_be_bytes());
        for (key, value) in topic.records.iter().skip(from) {
            body.extend_from_slice(&((1 + key.len() + value.len()) as u32).to_be_bytes());
            body.push(key.len() as u8);
            body.extend_from_slice(key.as_bytes());
            body.extend_from_slice(value);
        }
        Some(body)
    }

    fn newest(&self, topic: &str) -> String {
        let inner = self.shared.inner.lock().unwrap();
        let mut newest: BTreeMap<&str, (usize, &[u8])> = BTreeMap::new();
        let records = inner.topics.get(topic).map(|it| it.records.as_slice()).unwrap_or_default();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        let items = newest.iter().filter(|it| !it.1.1.is_empty()).map(|(key, (offset, value))| {
            format!("{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}", base64(value))
        });
        let items = items.collect::<Vec<_>>().join(",");
        format!("{{\"items\":[{items}],\"truncated\":false,\"endOffset\":{}}}", records.len())
    }

    fn membership(&self, call: &str, path: &str) -> String {
        let member = text_field(call, "member");
        let ttl = number_field(call, "ttlMs");
        let topic = call.split("\"topics\":[\"").nth(1).and_then(|it| it.split('"').next());
        let topic = topic.unwrap_or_default().to_owned();
        let mut inner = self.shared.inner.lock().unwrap();
        let group = inner.groups.entry(text_field(call, "group")).or_default();
        let before: Vec<String> = group.members.keys().cloned().collect();
        group.members.retain(|_, until| *until > Instant::now());
        if path == "/log-leave" {
            group.members.remove(&member);
        } else {
            group.members.insert(member.clone(), Instant::now() + Duration::from_millis(ttl));
        }
        let after: Vec<String> = group.members.keys().cloned().collect();
        if before != after {
            group.generation += 1;
        }
        let rank = after.iter().position(|it| *it == member);
        let parts = (0..PARTITIONS)
            .filter(|it| rank.is_some_and(|rank| *it as usize % after.len() == rank));
        let parts: Vec<String> = parts.map(|it| format!("[\"{topic}\",{it},0]")).collect();
        format!(
            "{{\"generation\":{},\"ttlMs\":{ttl},\"parts\":[{}]}}",
            group.generation,
            parts.join(",")
        )
    }
}

fn text_field(json: &str, name: &str) -> String {
    let value = json.split(&format!("\"{name}\":\"")).nth(1);
    value.and_then(|it| it.split('"').next()).unwrap_or_default().to_owned()
}

fn number_field(json: &str, name: &str) -> u64 {
    let value = json.split(&format!("\"{name}\":")).nth(1).unwrap_or_default();
    let digits: String = value.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().unwrap_or(0)
}

fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let bits = chunk.iter().fold(0_u32, |bits, it| bits << 8 | u32::from(*it))
            << (8 * (3 - chunk.len()));
        for at in 0..4 {
            let is_padding = at > chunk.len();
            let index = (bits >> (18 - 6 * at)) as usize & 63;
            text.push(if is_padding { '=' } else { char::from(ALPHABET[index]) });
        }
    }
    text
}
