//! Callers that keep their connections until the node closes them.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use cuminward_adapter_fake::{
    caller::{self, Call, Connection, Response},
    header,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use tokio::time;

use crate::{
    judge::{Got, Judge, Kind, Sent},
    node::Node,
    site::{EVENTS, HOST_NAME, KEY, MODEL, TIMEOUT},
};

/// Time after a request's deadline at which a caller gives up.
const PATIENCE: Duration = Duration::from_millis(1000);

/// Longest time to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Pause between two requests of a caller, and after a failure.
const PAUSE: Duration = Duration::from_millis(20);
const FAILURE_PAUSE: Duration = Duration::from_millis(150);

/// Status of an answer that a caller wants.
pub const SUCCESS: u16 = 200;

/// A caller.
pub struct Caller {
    nodes: Arc<[Node]>,
    judge: Arc<Judge>,
    random: Pcg64,
    name: String,
    count: u64,
    /// Connection that is kept.
    connection: Option<Connection>,
}

/// Life cycle
impl Caller {
    /// Makes a caller with a name and a seed.
    pub fn new(nodes: Arc<[Node]>, judge: Arc<Judge>, name: String, seed: u64) -> Caller {
        let random = Pcg64::seed_from_u64(seed);
        Caller { nodes, judge, random, name, count: 0, connection: None }
    }
}

/// Mutation
impl Caller {
    /// Sends requests until the task is dropped.
    pub async fn run(mut self) {
        loop {
            let sent = self.next();
            let is_answered = self.call(&sent).await;
            let pause = if is_answered { PAUSE } else { FAILURE_PAUSE };
            time::sleep(pause.mul_f64(self.random.random_range(0.5..1.5))).await;
        }
    }

    /// Makes the next request.
    fn next(&mut self) -> Sent {
        self.count += 1;
        let id = format!("{}-{}", self.name, self.count);
        match self.random.random_range(0..4) {
            0 => Sent::new(id, Kind::Idempotent),
            1 => Sent::new(id, Kind::Once),
            _ => Sent::new(id, Kind::Stream),
        }
    }

    /// Draws the node for a new connection.
    fn pick(&mut self) -> SocketAddr {
        let node = self.random.random_range(0..self.nodes.len());
        self.nodes[node].addresses().callers
    }

    /// Sends a request, on the kept connection if there is one. Tells whether it was answered.
    async fn call(&mut self, sent: &Sent) -> bool {
        let kept = self.connection.take().filter(|it| !it.is_closed());
        let mut connection = match kept {
            Some(it) => it,
            None => match connect(self.pick()).await {
                Some(it) => it,
                None => return false,
            },
        };
        self.judge.send(sent.clone());
        let got = exchange(&mut connection, sent).await;
        self.judge.get(sent, got.as_ref(), EVENTS);
        let Some(got) = got.filter(|it| it.is_complete) else { return false };
        self.connection = Some(connection);
        got.status == SUCCESS
    }
}

/// Life cycle
impl Sent {
    /// Makes a request of a kind.
    pub fn new(id: String, kind: Kind) -> Sent {
        let (method, prefix) = match kind {
            Kind::Idempotent => ("GET", "read"),
            Kind::Once => ("POST", "book"),
            Kind::Stream => ("POST", "chat"),
        };
        let line = format!("{method} /{prefix}/{id}?of=soak");
        let body = if kind == Kind::Idempotent { String::new() } else { format!("body of {id}") };
        Sent { id, kind, line, body }
    }
}

/// Sends a single request to a node on a new connection; `None` if there was no answer.
pub async fn ask(address: SocketAddr, sent: &Sent) -> Option<Got> {
    let mut connection = connect(address).await?;
    exchange(&mut connection, sent).await
}

/// Opens a connection; `None` if the node can't be reached.
async fn connect(address: SocketAddr) -> Option<Connection> {
    let connecting = time::timeout(CONNECT_TIMEOUT, caller::connect(address));
    connecting.await.ok()?.map_err(|it| log::debug!("{address}: {it}")).ok()
}

/// Sends a request; `None` if the connection ended or was silent.
async fn exchange(connection: &mut Connection, sent: &Sent) -> Option<Got> {
    let call = call(sent);
    let answer = time::timeout(TIMEOUT + PATIENCE, caller::send(connection, &call)).await;
    answer.ok()?.map_err(|it| log::debug!("{}: {it}", sent.id)).ok().map(got)
}

fn call(sent: &Sent) -> Call {
    let (method, path) = sent.line.split_once(' ').unwrap_or_default();
    let mut headers = caller::headers(HOST_NAME, KEY, &sent.id, TIMEOUT);
    if sent.kind == Kind::Stream {
        headers.push((header::MODEL.to_owned(), MODEL.to_owned()));
    }
    let (method, path, body) = (method.to_owned(), path.to_owned(), sent.body.clone());
    Call { method, path, headers, body }
}

fn got(answer: Response) -> Got {
    Got {
        status: answer.status.as_u16(),
        is_signed: answer.is_stamped(),
        is_complete: answer.is_complete,
        body: answer.body,
    }
}
