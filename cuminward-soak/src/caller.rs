//! Callers that generate load, each on one connection that it keeps until the node closes it.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use cuminward_adapter_fake::{
    caller::{self, Call, Connection, Response},
    header,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use tokio::time;

use crate::{
    checker::{Checker, Kind, Reply, Request},
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

/// Status of a successful answer.
pub const SUCCESS: u16 = 200;

/// A caller that sends one request after another to random nodes.
pub struct Caller {
    nodes: Arc<[Node]>,
    checker: Arc<Checker>,
    random: Pcg64,
    name: String,
    count: u64,
    /// Connection kept from the last answered request.
    connection: Option<Connection>,
}

/// Life cycle
impl Caller {
    /// Creates a caller; `name` prefixes its request ids, `seed` determines its requests.
    pub fn new(nodes: Arc<[Node]>, checker: Arc<Checker>, name: String, seed: u64) -> Caller {
        let random = Pcg64::seed_from_u64(seed);
        Caller { nodes, checker, random, name, count: 0, connection: None }
    }
}

/// Mutation
impl Caller {
    /// Sends requests until the future is dropped.
    pub async fn run(mut self) {
        loop {
            let sent = self.next_request();
            let is_answered = self.send(&sent).await;
            let pause = if is_answered { PAUSE } else { FAILURE_PAUSE };
            time::sleep(pause.mul_f64(self.random.random_range(0.5..1.5))).await;
        }
    }

    /// Draws the next request: half of them streams.
    fn next_request(&mut self) -> Request {
        self.count += 1;
        let id = format!("{}-{}", self.name, self.count);
        match self.random.random_range(0..4) {
            0 => Request::new(id, Kind::Idempotent),
            1 => Request::new(id, Kind::Once),
            _ => Request::new(id, Kind::Stream),
        }
    }

    /// Draws a node for a new connection and returns its address.
    fn pick_address(&mut self) -> SocketAddr {
        let node = self.random.random_range(0..self.nodes.len());
        self.nodes[node].addresses().callers
    }

    /// Sends a request, on the kept connection if it is still open. Returns whether the answer was
    /// complete and successful.
    async fn send(&mut self, sent: &Request) -> bool {
        let kept = self.connection.take().filter(|it| !it.is_closed());
        let mut connection = match kept {
            Some(it) => it,
            None => match connect(self.pick_address()).await {
                Some(it) => it,
                None => return false,
            },
        };
        self.checker.record_request(sent.clone());
        let reply = exchange(&mut connection, sent).await;
        self.checker.record_reply(sent, reply.as_ref(), STREAM_EVENTS);
        let Some(reply) = reply.filter(|it| it.is_complete) else { return false };
        self.connection = Some(connection);
        reply.status == SUCCESS
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
        };
        let line = format!("{method} /{prefix}/{id}?of=soak");
        let body = if kind == Kind::Idempotent { String::new() } else { format!("body of {id}") };
        Request { id, kind, line, body }
    }
}

/// Sends a single request to a node on a new connection; `None` if there was no answer.
pub async fn send_once(address: SocketAddr, sent: &Request) -> Option<Reply> {
    let mut connection = connect(address).await?;
    exchange(&mut connection, sent).await
}

/// Opens a connection; `None` if the node can't be reached.
async fn connect(address: SocketAddr) -> Option<Connection> {
    let connecting = time::timeout(CONNECT_TIMEOUT, caller::connect(address));
    connecting.await.ok()?.map_err(|it| log::debug!("connecting to {address} failed: {it}")).ok()
}

/// Sends a request; `None` if the connection failed or no answer arrived in time.
async fn exchange(connection: &mut Connection, sent: &Request) -> Option<Reply> {
    let call = to_call(sent);
    let answer =
        time::timeout(REQUEST_TIMEOUT + DEADLINE_MARGIN, caller::send(connection, &call)).await;
    answer.ok()?.map_err(|it| log::debug!("request {} failed: {it}", sent.id)).ok().map(to_reply)
}

fn to_call(sent: &Request) -> Call {
    let (method, path) = sent.line.split_once(' ').unwrap_or_default();
    let mut headers = caller::headers(HOST_NAME, TEAM_KEY, &sent.id, REQUEST_TIMEOUT);
    if sent.kind == Kind::Stream {
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
