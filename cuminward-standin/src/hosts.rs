//! Stand-in of the platform's host list, which shows changes late.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use axum::{
    Json, Router,
    extract::State,
    response::{IntoResponse, Response},
    routing,
};
use cuminward_core::{host, id};
use cuminward_derive::record;
use serde_json::json;
use serde_with::{DurationMilliSeconds, serde_as};

use crate::{reply, server};

/// A change of the list or of its behaviour, as a body of `POST /control`.
#[serde_as]
#[record]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Change {
    /// Adds an entry or replaces the one of the same host.
    Put {
        /// The entry.
        entry: host::Entry,
    },
    /// Removes the entry of a host.
    Remove {
        /// Name of the host.
        host: id::Host,
    },
    /// Sets the state of a host.
    SetState {
        /// Name of the host.
        host: id::Host,
        /// The new state.
        state: host::State,
    },
    /// Sets the time before later changes show.
    Lag {
        /// The time.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        lag_ms: Duration,
    },
    /// Every read answers 503.
    Down,
    /// Ends `Down`.
    Up,
}

/// Figures of the list.
#[record]
#[derive(Default)]
pub struct Counters {
    /// Reads answered.
    pub reads: u64,
}

/// A running host list.
#[derive(Debug)]
pub struct List {
    shared: Arc<Shared>,
    server: server::Server,
}

/// The entries of a list, for other tasks.
#[derive(Debug, Clone)]
pub(crate) struct Handle(Arc<Shared>);

#[derive(Debug, Default)]
struct Shared(Mutex<Inner>);

#[derive(Debug, Default)]
struct Inner {
    shown: BTreeMap<id::Host, host::Entry>,
    pending: Vec<(Instant, Change)>,
    lag: Duration,
    down: bool,
    counters: Counters,
}

/// Life cycle
impl List {
    /// Starts a list at a port of 127.0.0.1 (0 takes a free one) that shows changes after `lag`.
    ///
    /// # Errors
    ///
    /// Fails when the port can't be bound.
    pub async fn start(port: u16, lag: Duration) -> io::Result<List> {
        let shared = Arc::new(Shared(Mutex::new(Inner { lag, ..Inner::default() })));
        let router = Router::new()
            .route("/v1/hosts", routing::get(read))
            .route("/control", routing::post(control))
            .route("/control/counters", routing::get(counters))
            .with_state(shared.clone());
        Ok(List { shared, server: server::Server::start(port, router).await? })
    }
}

/// Access
impl List {
    /// The address where the list listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Access that outlives a borrow.
    pub(crate) fn handle(&self) -> Handle {
        Handle(self.shared.clone())
    }

    /// The entries shown now.
    pub fn entries(&self) -> Vec<host::Entry> {
        self.shared.lock().entries()
    }

    /// Figures since the start.
    pub fn counters(&self) -> Counters {
        self.shared.lock().counters.clone()
    }

    /// Holds and silences connections.
    pub fn gate(&self) -> &server::Gate {
        self.server.gate()
    }
}

/// Mutation
impl List {
    /// Changes the list, which shows after the lag, or its behaviour, at once.
    pub fn change(&self, change: Change) {
        self.shared.lock().accept(change);
    }

    /// Changes the list without lag.
    pub fn change_now(&self, change: Change) {
        self.shared.lock().apply(change);
    }
}

/// Access
impl Handle {
    /// The entries shown now; `None` while the list is down.
    pub(crate) fn entries(&self) -> Option<Vec<host::Entry>> {
        let mut inner = self.0.lock();
        if inner.down {
            return None;
        }
        inner.counters.reads += 1;
        Some(inner.entries())
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().expect("no holder panics")
    }
}

impl Inner {
    fn accept(&mut self, change: Change) {
        match change {
            Change::Lag { .. } | Change::Down | Change::Up => self.apply(change),
            listed => self.pending.push((Instant::now() + self.lag, listed)),
        }
    }

    fn apply(&mut self, change: Change) {
        match change {
            Change::Put { entry } => {
                self.shown.insert(entry.host.clone(), entry);
            }
            Change::Remove { host } => {
                self.shown.remove(&host);
            }
            Change::SetState { host, state } => {
                if let Some(entry) = self.shown.get_mut(&host) {
                    entry.state = state;
                }
            }
            Change::Lag { lag_ms } => self.lag = lag_ms,
            Change::Down => self.down = true,
            Change::Up => self.down = false,
        }
    }

    fn entries(&mut self) -> Vec<host::Entry> {
        let now = Instant::now();
        let (due, pending) =
            std::mem::take(&mut self.pending).into_iter().partition(|(at, _)| *at <= now);
        self.pending = pending;
        let due: Vec<(Instant, Change)> = due;
        due.into_iter().for_each(|(_, change)| self.apply(change));
        self.shown.values().cloned().collect()
    }
}

async fn read(State(shared): State<Arc<Shared>>) -> Response {
    respond(Handle(shared).entries())
}

/// The answer to a read; without entries the list is down.
pub(crate) fn respond(entries: Option<Vec<host::Entry>>) -> Response {
    match entries {
        Some(hosts) => Json(json!({"as_of_ms": reply::wall_ms(), "hosts": hosts})).into_response(),
        None => reply::error(503, "unavailable", "the list is down"),
    }
}

async fn control(State(shared): State<Arc<Shared>>, Json(change): Json<Change>) {
    shared.lock().accept(change);
}

async fn counters(State(shared): State<Arc<Shared>>) -> Json<Counters> {
    Json(shared.lock().counters.clone())
}
