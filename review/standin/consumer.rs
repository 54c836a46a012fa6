//! Stand-in of a consumer that keeps its channel and sends one request after the other.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use crate::{
    http::{Connection, Message, header},
    record::Record,
};

/// Time that a consumer waits for an answer, which it also names in its requests.
const TIME_LIMIT: Duration = Duration::from_millis(1500);

/// Shortest pause between two requests of a consumer, and the range of what is added to it.
const PAUSE_MS: u64 = 10;
const JITTER_MS: u64 = 60;

/// A request and its answer.
#[derive(Debug, Clone)]
pub struct Exchange {
    pub id: String,
    pub sent_at: Duration,
    pub answered_at: Duration,
    /// The answer; `None` if the channel was closed without a complete one or none came in time.
    pub answer: Option<Message>,
}

impl Exchange {
    /// Returns the name of the machine that got the request.
    pub fn machine(&self) -> &str {
        self.id.split('/').next().unwrap_or_default()
    }

    /// Returns the key of the consumer.
    pub fn key(&self) -> &str {
        self.id.split('/').nth(1).unwrap_or_default()
    }

    /// Returns whether the consumer got a complete success.
    pub fn is_success(&self) -> bool {
        self.answer.as_ref().is_some_and(|it| it.status() == 200)
    }

    /// Returns the value of a header of the answer.
    pub fn answer_header(&self, name: &str) -> Option<&str> {
        self.answer.as_ref()?.header(name)
    }
}

/// A request that consumers send.
#[derive(Debug, Clone)]
pub struct Call {
    pub line: String,
    pub host: String,
    pub key: String,
    pub body: Vec<u8>,
}

/// Starts a consumer that sends the call to a node until `stop` is set. Its ids begin with its name.
pub fn start(
    name: String,
    node: String,
    call: Call,
    stop: Arc<AtomicBool>,
    record: Arc<Record>,
) -> JoinHandle<Vec<Exchange>> {
    thread::spawn(move || {
        let mut exchanges = Vec::new();
        let mut channel = None;
        for number in 0.. {
            if stop.load(Ordering::SeqCst) {
                break;
            }
            let id = exchange_id(&name, number);
            let exchange = exchange(&mut channel, &node, &call, id, &record);
            let answer = exchange.answer.as_ref();
            let text =
                answer.map_or_else(|| String::from("no answer"), |it| it.status().to_string());
            record.write(&format!("consumer {} got {text}", exchange.id));
            exchanges.push(exchange);
            thread::sleep(pause(&exchange_id(&name, number)));
        }
        exchanges
    })
}

fn exchange_id(name: &str, number: u64) -> String {
    format!("{name}-{number}")
}

/// Returns the pause after a request, which differs between requests so that consumers don't move in step.
fn pause(id: &str) -> Duration {
    let hash = id.bytes().fold(17_u64, |hash, it| hash.wrapping_mul(1_000_003) ^ u64::from(it));
    Duration::from_millis(PAUSE_MS + (hash >> 7) % JITTER_MS)
}

/// Sends a request on the channel, or on a new one if there is none, and waits for the answer. The channel is kept
/// if both sides may use it again.
pub fn exchange(
    channel: &mut Option<Connection>,
    node: &str,
    call: &Call,
    id: String,
    record: &Record,
) -> Exchange {
    let opened = channel.take().or_else(|| Connection::open(node, Duration::from_secs(1)).ok());
    let sent_at = record.now();
    record.write(&format!("consumer {id} sends"));
    let answer = opened.and_then(|mut opened| {
        let headers = [
            header("Host", &call.host),
            header("X-Cuminward-Request-Id", &id),
            header("X-Cuminward-Deadline-Ms", TIME_LIMIT.as_millis()),
            header("Authorization", format!("Bearer {}", call.key)),
        ];
        opened.stream.set_read_timeout(Some(TIME_LIMIT)).ok()?;
        opened.send(&call.line, &headers, &call.body).ok()?;
        let answer = opened.read(true).ok()?.filter(|it| it.is_complete)?;
        if !answer.is_last() {
            *channel = Some(opened);
        }
        Some(answer)
    });
    Exchange { id, sent_at, answered_at: record.now(), answer }
}

/// Waits until a time after the start of the record.
pub fn wait_until(record: &Record, at: Duration) {
    let left = at.saturating_sub(record.now());
    let until = Instant::now() + left;
    while Instant::now() < until {
        thread::sleep((until - Instant::now()).min(Duration::from_millis(20)));
    }
}
