//! Fixture: a server that returns fixed responses, and clients of it.

use std::{collections::BTreeMap, future, sync::Arc, time::Duration};

use cuminward_core::{hlc, host, id};
use cuminward_event::sink::Sink;
use cuminward_once::{claim, key, reply};
use cuminward_peer::{
    client, count, digest, handler::Handler, handshake::Secret, message, server, stream,
};
use tokio::{net::TcpListener, task};

/// Name of the node that runs the server.
pub(crate) const NAME: &str = "n2";

/// Handler with fixed responses.
pub(crate) struct Fixed;

pub(crate) fn hello(node: &str) -> message::Hello {
    message::Hello {
        node: node.to_owned(),
        incarnation: 7,
        revision: 12,
        stamp: 99,
        draining: false,
        callers: String::from("127.0.0.1:80"),
        free: 3,
        retiring: vec![message::Retirement {
            group: String::from("g"),
            generation: 4,
            left: Duration::from_millis(250),
        }],
        ended: vec![message::Shutdown { node: String::from("n9"), incarnation: 3 }],
        digest: digest::Digest { list: 3, names: vec![5], ages: vec![1] },
    }
}

pub(crate) fn report(host: &str) -> host::Report {
    let membership = host::Membership {
        group: String::from("g"),
        generation: 4,
        service: String::from("s"),
        model: String::from("m"),
        version: String::from("v"),
        members: vec![host.to_owned(), String::from("h9")],
        phase: host::Phase::Ready,
    };
    let load =
        host::Load { running: 1, queued: 2, cache_permille: 3, age: Duration::from_millis(40) };
    host::Report {
        host: host.to_owned(),
        incarnation: 5,
        fence: 6,
        membership: Some(membership),
        load: Some(load),
    }
}

impl Handler for Fixed {
    async fn farewell(&self, _ended: message::Shutdown) {}

    async fn hello(&self, _: message::Hello) -> message::Hello {
        hello(NAME)
    }

    async fn config(&self, from: id::Revision, max: u32) -> message::Config {
        let record = |n| message::ConfigRecord { offset: n, text: String::from("{}") };
        let records = (from..from + u64::from(max)).map(record).collect();
        message::Config { records, snapshot: None, revision: from + u64::from(max) }
    }

    async fn observations(
        &self,
        incarnation: id::Incarnation,
        since: message::Position,
    ) -> message::Observations {
        message::Observations {
            incarnation,
            next: since + 1,
            full: true,
            changed: vec![report("h1")],
            removed: Vec::new(),
            ages: vec![7],
            silent: Vec::new(),
        }
    }

    async fn admission(&self, admission: message::Admission) -> message::Admission {
        admission
    }

    async fn claim_keys(&self, claims: Vec<claim::Claim>) -> Vec<claim::Verdict> {
        let verdicts = [
            claim::Verdict::First { offset: 3 },
            claim::Verdict::Repeated { by: String::from("n3") },
            claim::Verdict::Refused(claim::Reason::LogUnavailable),
        ];
        verdicts.into_iter().cycle().take(claims.len()).collect()
    }

    /// Never returns, like a paused process.
    async fn reply(&self, _: key::Hash, _: Duration) -> reply::Lookup {
        future::pending().await
    }

    async fn events(&self, from: u64, max: u32, request: Option<id::Request>) -> message::Events {
        let records = request.into_iter().cycle().take(max as usize).collect();
        message::Events { records, next: from + u64::from(max) }
    }
}

/// A running server.
pub(crate) struct Node {
    pub(crate) address: String,
    pub(crate) sink: Arc<Sink>,
    pub(crate) counter: Arc<count::Counter>,
    task: task::JoinHandle<()>,
}

impl Drop for Node {
    fn drop(&mut self) {
        self.task.abort();
    }
}

pub(crate) fn secret() -> Secret {
    Secret::new("kites")
}

impl Node {
    pub(crate) async fn start(options: server::Options) -> Node {
        Node::start_at("127.0.0.1:0", options).await
    }

    pub(crate) async fn start_at(address: &str, options: server::Options) -> Node {
        let listener = TcpListener::bind(address).await.expect("the port is free");
        let address = listener.local_addr().expect("the listener is bound").to_string();
        let clock = Arc::new(hlc::Clock::default());
        let sink = Arc::new(Sink::new(String::from(NAME), clock, 100));
        let counter = Arc::new(count::Counter::default());
        let server = server::Server {
            accept: stream::Tcp,
            handler: Arc::new(Fixed),
            secret: secret(),
            options,
            sink: Arc::clone(&sink),
            counter: Arc::clone(&counter),
        };
        Node { address, sink, counter, task: tokio::spawn(server.serve(listener)) }
    }

    /// Stops the node and waits until its connections are closed.
    pub(crate) async fn stop(mut self) -> String {
        self.task.abort();
        let _ = (&mut self.task).await;
        self.address.clone()
    }
}

/// Returns a pool with the node at `address`.
pub(crate) fn pool(address: &str, options: client::Options) -> client::Pool<stream::Tcp> {
    pool_with(address, options, secret())
}

pub(crate) fn pool_with(
    address: &str,
    options: client::Options,
    secret: Secret,
) -> client::Pool<stream::Tcp> {
    let pool = client::Pool::new(stream::Tcp, secret, options, Arc::default());
    pool.set_nodes(&BTreeMap::from([(String::from(NAME), address.to_owned())]));
    pool
}
