//! A backend that applies changes with the real fold and injects faults, served on a loopback
//! socket.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use cuminward_config::{fold, record};
use cuminward_core::{catalog, change, id};
use cuminward_operator::{
    auth::{self, Operator, Operators, Role},
    outcome, proto, server,
    status::Error,
};
use futures::{StreamExt, stream};
use tokio::net::TcpListener;
use tokio_stream::wrappers::TcpListenerStream;
use tokio_util::sync::CancellationToken;

/// Fault injected into one call of `apply`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// The change is applied, but the response is lost.
    LostResponse,
    /// The log is unavailable; the change is not applied.
    LogUnavailable,
}

/// Configuration folded from the log, shared by all nodes of a test.
#[derive(Debug, Default)]
pub(crate) struct Log {
    pub(crate) fold: Mutex<fold::Fold>,
}

#[derive(Debug)]
pub(crate) struct Backend {
    pub(crate) log: Arc<Log>,
    pub(crate) faults: Mutex<Vec<Fault>>,
}

impl Backend {
    fn append(&self, record: change::Record) -> Result<server::Receipt, Error> {
        let mut fold = self.log.fold.lock().expect("no test panics while it holds the lock");
        let offset = fold.revision();
        outcome::to_result(fold.apply(offset, &record::from_change(record)))
    }
}

impl server::Backend for Backend {
    type Events = stream::BoxStream<'static, proto::Event>;

    async fn apply(&self, record: change::Record) -> Result<server::Receipt, Error> {
        let fault = self.faults.lock().expect("no test panics while it holds the lock").pop();
        if fault == Some(Fault::LogUnavailable) {
            return Err(Error::Unavailable("the log is unavailable".to_owned()));
        }
        let result = self.append(record);
        match fault {
            Some(Fault::LostResponse) => {
                Err(Error::OutcomeUnknown("the response was lost".to_owned()))
            }
            _ => result,
        }
    }

    async fn catalog(&self) -> Result<Arc<catalog::Catalog>, Error> {
        let fold = self.log.fold.lock().expect("no test panics while it holds the lock");
        Ok(Arc::new(fold.catalog().clone()))
    }

    async fn status(&self) -> proto::StatusResponse {
        proto::StatusResponse { node: "n1".to_owned(), ready: true, ..Default::default() }
    }

    async fn groups(&self, _service: id::Service) -> Vec<proto::Group> {
        Vec::new()
    }

    async fn nodes(&self) -> Vec<proto::Node> {
        Vec::new()
    }

    async fn history(&self) -> Vec<proto::HistoryEntry> {
        let fold = self.log.fold.lock().expect("no test panics while it holds the lock");
        fold.history().iter().map(outcome::to_history_entry).collect()
    }

    async fn follow(&self, request: proto::FollowEventsRequest) -> Self::Events {
        let event = proto::Event { number: 7, request: request.request, ..Default::default() };
        stream::iter([event]).chain(stream::pending()).boxed()
    }

    async fn timeline(&self, _request: proto::TimelineRequest) -> proto::TimelineResponse {
        proto::TimelineResponse::default()
    }
}

/// A running server.
pub(crate) struct Node {
    pub(crate) address: SocketAddr,
    pub(crate) shutdown: CancellationToken,
    pub(crate) task: tokio::task::JoinHandle<()>,
}

/// Returns the operators `ana` with the token `w` and role write, and `luis` with `r` and role
/// read.
pub(crate) fn operators() -> Operators {
    Operators::new(&[
        Operator { name: "ana".to_owned(), hash: auth::hash("w"), role: Role::Write },
        Operator { name: "luis".to_owned(), hash: auth::hash("r"), role: Role::Read },
    ])
    .expect("the list is well formed")
}

/// Serves a backend on a loopback port; `faults` are injected into successive calls of `apply`.
pub(crate) async fn start(log: &Arc<Log>, faults: &[Fault]) -> Node {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let faults = Mutex::new(faults.iter().rev().copied().collect());
    let backend = Arc::new(Backend { log: log.clone(), faults });
    let shutdown = CancellationToken::new();
    let server_shutdown = shutdown.clone();
    let task = tokio::spawn(async move {
        let connections = TcpListenerStream::new(listener);
        server::serve(backend, operators(), connections, server_shutdown)
            .await
            .expect("the server runs until shutdown");
    });
    Node { address, shutdown, task }
}
