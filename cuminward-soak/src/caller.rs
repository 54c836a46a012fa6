//! Callers that keep their connections until the node closes them.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use tokio::{net::TcpStream, time};

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

/// A caller.
pub struct Caller {
    nodes: Arc<[Node]>,
    judge: Arc<Judge>,
    random: Pcg64,
    name: String,
    count: u64,
    /// Connection that is kept.
    connection: Option<SendRequest<Full<Bytes>>>,
}

/// How a request on a kept connection ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// There is an answer.
    Answer(Got),
    /// The connection ended or was silent.
    Nothing,
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
        let mut sender = match kept {
            Some(it) => it,
            None => match connect(self.pick()).await {
                Ok(it) => it,
                Err(_) => return false,
            },
        };
        self.judge.send(sent.clone());
        let end = time::timeout(TIMEOUT + PATIENCE, send(&mut sender, sent)).await;
        let got = match end {
            Ok(Ok(End::Answer(got))) => Some(got),
            Ok(Ok(End::Nothing) | Err(_)) | Err(_) => None,
        };
        self.judge.get(sent, got.as_ref(), EVENTS);
        let is_whole = got.as_ref().is_some_and(|it| it.is_complete);
        if is_whole && !sender.is_closed() {
            self.connection = Some(sender);
        }
        got.is_some_and(|it| it.is_complete && it.status == 200)
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

/// Sends a single request to a node on a new connection.
///
/// # Errors
///
/// The node can't be reached or didn't answer in time.
pub async fn ask(address: SocketAddr, sent: &Sent) -> io::Result<End> {
    let mut sender = connect(address).await?;
    let end = time::timeout(TIMEOUT + PATIENCE, send(&mut sender, sent)).await;
    end.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
}

async fn connect(address: SocketAddr) -> io::Result<SendRequest<Full<Bytes>>> {
    let connecting = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let stream = connecting.await.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    let shaken = http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) = shaken.map_err(io::Error::other)?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("a caller's connection broke off: {error}");
        }
    });
    Ok(sender)
}

async fn send(sender: &mut SendRequest<Full<Bytes>>, sent: &Sent) -> io::Result<End> {
    sender.ready().await.map_err(io::Error::other)?;
    let (method, path) = sent.line.split_once(' ').unwrap_or_default();
    let mut request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", HOST_NAME)
        .header("authorization", format!("Bearer {KEY}"))
        .header("x-cuminward-request-id", &sent.id)
        .header("x-cuminward-deadline-ms", TIMEOUT.as_millis().to_string());
    if sent.kind == Kind::Stream {
        request = request.header("x-cuminward-model", MODEL);
    }
    let request = request.body(Full::new(Bytes::from(sent.body.clone())));
    let response = sender.send_request(request.map_err(io::Error::other)?).await;
    let Ok(response) = response else { return Ok(End::Nothing) };
    let status = response.status().as_u16();
    let is_signed = response.headers().contains_key("x-cuminward-server-stamp");
    let (body, is_complete) = read(response.into_body()).await;
    Ok(End::Answer(Got { status, is_signed, body, is_complete }))
}

/// Reads a body up to where it ends or breaks off.
async fn read(mut body: Incoming) -> (String, bool) {
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => bytes.extend(frame.into_data().unwrap_or_default()),
            Err(_) => return (String::from_utf8_lossy(&bytes).into_owned(), false),
        }
    }
    (String::from_utf8_lossy(&bytes).into_owned(), true)
}
