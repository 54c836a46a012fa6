//! Callers that generate load, each on one connection that it keeps until the node closes it or, now and then,
//! the caller itself does.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use cuminward_adapter_fake::{
    caller::{self, Call, Connection, Response},
    header,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use tokio::time::{self, Instant};

use crate::{
    checker::{self, Checker, Kind, Reply, Request},
    node::Node,
    testbed::{HOST_NAME, MODEL, REQUEST_TIMEOUT, STREAM_EVENTS, TEAM_KEY},
};

/// Time that a caller waits for an answer beyond the request's deadline.
const DEADLINE_MARGIN: Duration = Duration::from_millis(1000);

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Mean pause between two requests of a caller, after an answer and after a failure.
const PAUSE: Duration = Duration::from_millis(20);
const FAILURE_PAUSE: Duration = Duration::from_millis(150);

/// Mean pause before a refused request is sent again under the same id.
const REPEAT_PAUSE: Duration = Duration::from_millis(30);

/// A caller closes its kept connection before one in this many requests, so that callers spread over all nodes,
/// also those that were restarted.
const RENEWAL_RATIO: u32 = 10;

/// Status of a successful answer.
pub const SUCCESS: u16 = 200;

/// How a request ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// With a complete successful response.
    Served,
    /// With a complete response that guarantees that it doesn't run.
    Refused,
    /// With another complete response.
    Failed,
    /// The connection was closed before the response was complete.
    Cut,
    /// There was no complete response in time.
    TimedOut,
    /// No connection could be opened.
    Unreachable,
}

/// A request as its caller saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Try {
    /// Id of the request.
    pub request: String,
    /// Number of the node.
    pub node: usize,
    /// When the caller began to send it.
    pub sent: Instant,
    /// When it ended.
    pub ended: Instant,
    /// How it ended.
    pub end: End,
}

/// What callers send besides requests of all kinds for several hosts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Whether some requests are streams that are sent to one host only.
    pub has_single_streams: bool,
    /// Whether requests that must run once are sent once more, under the same id, after they were refused.
    pub has_repeats: bool,
}

/// A caller that sends one request after another to random nodes.
pub struct Caller {
    nodes: Arc<[Node]>,
    checker: Arc<Checker>,
    random: Pcg64,
    name: String,
    load: Load,
    count: u64,
    /// Connection kept from the last answered request, and the number of its node.
    connection: Option<(usize, Connection)>,
}

/// Life cycle
impl Caller {
    /// Creates a caller; `name` prefixes its request ids, `seed` determines its requests.
    pub fn new(
        nodes: Arc<[Node]>,
        checker: Arc<Checker>,
        name: String,
        seed: u64,
        load: Load,
    ) -> Caller {
        let random = Pcg64::seed_from_u64(seed);
        Caller { nodes, checker, random, name, load, count: 0, connection: None }
    }
}

/// Mutation
impl Caller {
    /// Sends requests until the future is dropped.
    pub async fn run(mut self) {
        loop {
            let sent = self.next_request();
            let mut end = self.attempt(&sent).await;
            if end == End::Refused && self.load.has_repeats && sent.kind == Kind::Once {
                self.pause(REPEAT_PAUSE).await;
                end = self.attempt(&sent).await;
            }
            self.pause(if end == End::Served { PAUSE } else { FAILURE_PAUSE }).await;
        }
    }

    /// Waits for about the mean pause.
    async fn pause(&mut self, mean: Duration) {
        time::sleep(mean.mul_f64(self.random.random_range(0.5..1.5))).await;
    }

    /// Sends a request, mostly on the kept connection, and records it.
    async fn attempt(&mut self, sent: &Request) -> End {
        let is_renewed = self.random.random_ratio(1, RENEWAL_RATIO);
        let kept = self.connection.take().filter(|(_, it)| !is_renewed && !it.is_closed());
        let node = kept.as_ref().map_or_else(|| self.pick_node(), |it| it.0);
        let (request, began) = (sent.id.clone(), Instant::now());
        let end = self.send(sent, node, kept.map(|it| it.1)).await;
        self.checker.record_try(Try { request, node, sent: began, ended: Instant::now(), end });
        end
    }

    /// Draws the next request: half of them streams, or three in five with those to one host.
    fn next_request(&mut self) -> Request {
        self.count += 1;
        let id = format!("{}-{}", self.name, self.count);
        match self.random.random_range(0..if self.load.has_single_streams { 5 } else { 4 }) {
            0 => Request::new(id, Kind::Idempotent),
            1 => Request::new(id, Kind::Once),
            4 => Request::new(id, Kind::SingleStream),
            _ => Request::new(id, Kind::Stream),
        }
    }

    /// Draws a node for a new connection.
    fn pick_node(&mut self) -> usize {
        self.random.random_range(0..self.nodes.len())
    }

    /// Sends a request to a node, on the kept connection if there is one.
    async fn send(&mut self, sent: &Request, node: usize, kept: Option<Connection>) -> End {
        let connection = match kept {
            Some(it) => Some(it),
            None => connect(self.nodes[node].addresses().callers).await,
        };
        let Some(mut connection) = connection else { return End::Unreachable };
        self.checker.record_request(sent.clone());
        let reply = exchange(&mut connection, sent).await;
        self.checker.record_reply(sent, reply.as_ref().ok(), STREAM_EVENTS);
        let reply = match reply {
            Ok(reply) if reply.is_complete => reply,
            Ok(_) => return End::Cut,
            Err(end) => return end,
        };
        self.connection = Some((node, connection));
        match reply.status {
            SUCCESS => End::Served,
            status if checker::is_refusal(status) => End::Refused,
            _ => End::Failed,
        }
    }
}

/// Life cycle
impl Request {
    /// Creates a request of a kind; its path and body contain the id.
    pub fn new(id: String, kind: Kind) -> Request {
        let (method, prefix) = match kind {
            Kind::Idempotent => ("GET", "read"),
            Kind::Once => ("POST", "book"),
            Kind::Stream => ("POST", "chat"),
            Kind::SingleStream => ("POST", "tell"),
        };
        let line = format!("{method} /{prefix}/{id}?of=soak");
        let body = if kind == Kind::Idempotent { String::new() } else { format!("body of {id}") };
        Request { id, kind, line, body }
    }
}

/// Sends a single request to a node on a new connection; `None` if there was no answer.
pub async fn send_once(address: SocketAddr, sent: &Request) -> Option<Reply> {
    let mut connection = connect(address).await?;
    exchange(&mut connection, sent).await.ok()
}

/// Opens a connection; `None` if the node can't be reached.
async fn connect(address: SocketAddr) -> Option<Connection> {
    let connecting = time::timeout(CONNECT_TIMEOUT, caller::connect(address));
    connecting.await.ok()?.map_err(|it| log::debug!("connecting to {address} failed: {it}")).ok()
}

/// Sends a request.
///
/// # Errors
///
/// The connection was closed before the answer, or no answer arrived in time.
async fn exchange(connection: &mut Connection, sent: &Request) -> Result<Reply, End> {
    let call = to_call(sent);
    let answer =
        time::timeout(REQUEST_TIMEOUT + DEADLINE_MARGIN, caller::send(connection, &call)).await;
    let answer = answer.map_err(|_| End::TimedOut)?;
    let answer = answer.inspect_err(|it| log::debug!("request {} failed: {it}", sent.id));
    answer.map(to_reply).map_err(|_| End::Cut)
}

fn to_call(sent: &Request) -> Call {
    let (method, path) = sent.line.split_once(' ').unwrap_or_default();
    let mut headers = caller::headers(HOST_NAME, TEAM_KEY, &sent.id, REQUEST_TIMEOUT);
    if sent.kind.is_stream() {
        headers.push((header::MODEL.to_owned(), MODEL.to_owned()));
    }
    let (method, path, body) = (method.to_owned(), path.to_owned(), sent.body.clone());
    Call { method, path, headers, body }
}

fn to_reply(answer: Response) -> Reply {
    Reply {
        status: answer.status.as_u16(),
        is_stamped: answer.is_stamped(),
        is_complete: answer.is_complete,
        body: answer.body,
    }
}
