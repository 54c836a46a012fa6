//! A platform with a store and hosts, and gateway nodes in front of them.

use std::{
    collections::BTreeSet,
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use cuminward_adapter_fake::{host::Host, store::Store};
use cuminward_gateway::{gateway::Gateway, settings};
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::{net::TcpStream, time};

/// Plain service and engine of the site.
pub(crate) const PLAIN: &str = "desk";
pub(crate) const ENGINE: &str = "chat";

/// Key of the only team.
pub(crate) const KEY: &str = "key-1";

/// Events of a whole stream.
pub(crate) const EVENTS: u64 = 8;

/// A platform with its hosts.
pub(crate) struct Site {
    pub(crate) store: Arc<Store>,
    pub(crate) plain: Vec<Host>,
    pub(crate) replicas: Vec<Host>,
}

/// A gateway node of a site.
pub(crate) struct Node {
    pub(crate) gateway: Gateway,
    pub(crate) callers: SocketAddr,
    pub(crate) ready: SocketAddr,
    pub(crate) settings: PathBuf,
}

/// An answer to a caller.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    /// Bytes of the body, up to where it broke off.
    pub(crate) body: String,
    pub(crate) is_complete: bool,
}

/// Life cycle
impl Site {
    /// Starts a store and two hosts of each service, without a configuration.
    pub(crate) async fn empty() -> Site {
        let store = Arc::new(Store::start().await.expect("a loopback port is free"));
        let (mut plain, mut replicas) = (Vec::new(), Vec::new());
        for index in 0..2 {
            plain.push(host(&format!("p-{index}")).await);
            replicas.push(host(&format!("e-{index}")).await);
        }
        let site = Site { store, plain, replicas };
        for host in &site.plain {
            site.list(host, &json!({}));
        }
        for host in &site.replicas {
            site.list(host, &open_group(&host.id));
        }
        site
    }

    /// Starts a whole site.
    pub(crate) async fn start() -> Site {
        let site = Site::empty().await;
        site.configure(1, &json!([]));
        site
    }

    /// Starts a node and waits until it is ready.
    pub(crate) async fn node(&self, name: &str) -> Node {
        let node = self.starting_node(name).await;
        for _ in 0..200 {
            if is_ready(node.ready).await && self.is_known(&node).await {
                return node;
            }
            time::sleep(Duration::from_millis(20)).await;
        }
        panic!("the node isn't ready");
    }

    /// Starts a node.
    pub(crate) async fn starting_node(&self, name: &str) -> Node {
        let [callers, ready, peers] = [address(), address(), address()];
        let text = settings_text(name, callers, ready, peers, self.store.address);
        let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{callers}.yaml"));
        std::fs::write(&path, text).expect("the directory of temporary files can be written");
        let settings = settings::load(&path).expect("the settings are correct");
        let gateway = Gateway::start(settings, path.clone()).await.expect("the ports are free");
        Node { gateway, callers, ready, settings: path }
    }

    /// Tells whether a node has learned of the hosts.
    async fn is_known(&self, node: &Node) -> bool {
        let status = node.get("/desk/probe", &[]).await.map(|it| it.status);
        for host in &self.plain {
            host.forget();
        }
        status.is_ok_and(|it| it == StatusCode::OK)
    }
}

async fn host(id: &str) -> Host {
    Host::start(id, EVENTS).await.expect("a loopback port is free")
}

/// Addresses that nodes have, whether they listen or not.
static GIVEN: Mutex<BTreeSet<SocketAddr>> = Mutex::new(BTreeSet::new());

/// An address of the loopback interface that nothing uses. Each process has a range of its own, apart from
/// that of the fakes, as a port that was only looked up may be given to another listener.
fn address() -> SocketAddr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let own = Ipv4Addr::new(127, high.max(1), low, 1);
    let mut given = GIVEN.lock().unwrap_or_else(PoisonError::into_inner);
    loop {
        let listener = TcpListener::bind((own, 0)).expect("a loopback port is free");
        let address = listener.local_addr().expect("a listener has an address");
        if given.insert(address) {
            return address;
        }
    }
}

pub(crate) fn settings_text(
    name: &str,
    callers: SocketAddr,
    ready: SocketAddr,
    peers: SocketAddr,
    store: SocketAddr,
) -> String {
    format!(
        "node: {{name: {name}, domain: mercado}}\n\
         listen: {{callers: \"{callers}\", ready: \"{ready}\", peers: \"{peers}\"}}\n\
         store: {{address: \"{store}\", min_lease_ms: 1000, partitions: 8}}\n\
         timing: {{shutdown_grace_s: 6}}\n\
         retry: {{ratio: 0.2, reserve: 100}}\n"
    )
}

/// Fields of a host that is a whole replica of its own.
pub(crate) fn open_group(id: &str) -> Value {
    json!({
        "models": [{"name": "m", "version": 1, "adapters": []}], "staged": ["m"],
        "domain": id, "busy": false,
        "group": {"name": format!("g-{id}"), "epoch": 1, "rank": 0, "state": "open"},
    })
}

/// Declarations
impl Site {
    /// Writes the entry of a host, with fields beside the usual ones.
    pub(crate) fn list(&self, host: &Host, more: &Value) {
        let service = if host.id.starts_with('p') { PLAIN } else { ENGINE };
        let mut entry = json!({
            "service": service, "address": host.address.to_string(), "zone": "mercado",
            "version": "v1", "slots": 6, "state": "ready", "coldLeftMs": 0, "seq": 0, "born": 1,
        });
        if let (Some(entry), Some(more)) = (entry.as_object_mut(), more.as_object()) {
            entry.extend(more.clone());
        }
        self.store.put("keyed.servers", &host.id, &entry.to_string());
    }

    /// Writes a configuration with routes beside the usual ones.
    pub(crate) fn configure(&self, version: u64, more: &Value) {
        let route = |prefix: &str, kind: &str, service: &str| {
            json!({
                "name": prefix, "host": "a.example", "pathPrefix": prefix, "routeKind": kind,
                "timeoutMs": 2000, "targetLatencyMs": 300, "priority": 1, "service": service,
                "maxAttempts": 2, "anonymous": false, "streamResume": kind == "streaming",
            })
        };
        let mut routes = vec![
            route("/desk/", "idempotent", PLAIN),
            route("/book/", "non_idempotent", PLAIN),
            route("/chat/", "streaming", ENGINE),
        ];
        routes.extend(more.as_array().cloned().unwrap_or_default());
        let model = json!({
            "name": "m", "size": 1, "share": 1.0, "pace": 1.0, "loadS": 1.0, "warmS": 0.5,
        });
        let config = json!({
            "version": version, "routes": routes,
            "services": [
                {"name": PLAIN, "healthPath": "/healthz", "connLimit": 100},
                {"name": ENGINE, "healthPath": "/healthz", "connLimit": 100, "engine": {
                    "slots": 6, "models": [model], "loadsPerS": 5.0, "loads_at_once": 7,
                    "formMs": 100.0}},
            ],
            "tenants": [{"name": "team", "apiKeys": [KEY]}],
        });
        self.store.put("keyed.op", "config", &config.to_string());
    }

    /// Requests that the hosts of the plain service were sent.
    pub(crate) fn plain_requests(&self) -> usize {
        self.plain.iter().map(|it| it.received().len()).sum()
    }
}

/// Calls
impl Node {
    /// Sends a GET request with the team's key.
    pub(crate) async fn get(&self, path: &str, headers: &[(&str, &str)]) -> io::Result<Answer> {
        self.send("GET", path, headers, "").await
    }

    /// Sends a request with the team's key; a header that is given replaces a usual one.
    pub(crate) async fn send(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> io::Result<Answer> {
        send(self.callers, method, path, headers, body).await
    }
}

/// Sends a request with the team's key; a header that is given replaces a usual one.
pub(crate) async fn send(
    callers: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> io::Result<Answer> {
    let key = format!("Bearer {KEY}");
    let usual = [
        ("host", "a.example"),
        ("x-cuminward-request-id", "9c41"),
        ("x-cuminward-deadline-ms", "2000"),
        ("authorization", key.as_str()),
    ];
    let mut request = Request::builder().method(method).uri(path);
    for (name, value) in usual.iter().filter(|it| !headers.iter().any(|own| own.0 == it.0)) {
        request = request.header(*name, *value);
    }
    for (name, value) in headers.iter().filter(|it| !it.1.is_empty()) {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(Bytes::from(body.to_owned())));
    let request = request.map_err(io::Error::other)?;
    let stream = TcpStream::connect(callers).await?;
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
    tokio::spawn(connection);
    let response = sender.send_request(request).await.map_err(io::Error::other)?;
    let (parts, mut body) = response.into_parts();
    let mut bytes = Vec::new();
    let mut is_complete = true;
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => bytes.extend(frame.into_data().unwrap_or_default()),
            Err(_) => {
                is_complete = false;
                break;
            }
        }
    }
    let body = String::from_utf8_lossy(&bytes).into_owned();
    Ok(Answer { status: parts.status, headers: parts.headers, body, is_complete })
}

/// Tells whether a node says that it is ready.
pub(crate) async fn is_ready(ready: SocketAddr) -> bool {
    let Ok(stream) = TcpStream::connect(ready).await else { return false };
    let Ok((mut sender, connection)) = http1::handshake(TokioIo::new(stream)).await else {
        return false;
    };
    tokio::spawn(connection);
    let request = Request::builder().uri("/readyz").body(Full::new(Bytes::new()));
    let request = request.expect("the request is a constant");
    sender.send_request(request).await.is_ok_and(|it| it.status() == StatusCode::OK)
}
