//! Stand-in for the platform's host list, where changes become visible only after a lag.

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

/// A change of the list or of its behaviour, as in the body of `POST /control`.
#[serde_as]
#[record]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Change {
    /// Adds an entry or replaces the entry of the same host.
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
    /// Sets the lag of later changes.
    Lag {
        /// Time until a change becomes visible to readers.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        lag_ms: Duration,
    },
    /// Every read is answered with status 503.
    Down,
    /// Ends `Down`.
    Up,
}

/// Counters of the list.
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

/// Shared read access to the entries of a list.
#[derive(Debug, Clone)]
pub(crate) struct Handle(Arc<Shared>);

#[derive(Debug, Default)]
struct Shared(Mutex<Inner>);

#[derive(Debug, Default)]
struct Inner {
    visible: BTreeMap<id::Host, host::Entry>,
    pending: Vec<(Instant, Change)>,
    lag: Duration,
    down: bool,
    counters: Counters,
}

/// Life cycle
impl List {
    /// Starts a list on a port of 127.0.0.1 (0 chooses a free one) whose changes become visible
    /// after `lag`.
    ///
    /// # Errors
    ///
    /// Fails if the port can't be bound.
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
    /// Returns the address that the list listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns shared read access, independent of the lifetime of this borrow.
    pub(crate) fn handle(&self) -> Handle {
        Handle(self.shared.clone())
    }

    /// Returns the entries visible now.
    pub fn entries(&self) -> Vec<host::Entry> {
        self.shared.lock().entries()
    }

    /// Returns the counters since the start.
    pub fn counters(&self) -> Counters {
        self.shared.lock().counters.clone()
    }

    /// Returns the gate that pauses or silences the connections of the list.
    pub fn gate(&self) -> &server::Gate {
        self.server.gate()
    }
}

/// Mutation
impl List {
    /// Changes the list after the lag, or its behaviour immediately.
    pub fn change(&self, change: Change) {
        self.shared.lock().submit(change);
    }

    /// Applies a change immediately.
    pub fn change_now(&self, change: Change) {
        self.shared.lock().apply(change);
    }
}

/// Access
impl Handle {
    /// Counts a read and returns the entries visible now, or `None` while the list is down.
    pub(crate) fn read_entries(&self) -> Option<Vec<host::Entry>> {
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
    /// Applies a change of the behaviour immediately and queues a change of the list for its lag.
    fn submit(&mut self, change: Change) {
        match change {
            Change::Lag { .. } | Change::Down | Change::Up => self.apply(change),
            delayed => self.pending.push((Instant::now() + self.lag, delayed)),
        }
    }

    fn apply(&mut self, change: Change) {
        match change {
            Change::Put { entry } => {
                self.visible.insert(entry.host.clone(), entry);
            }
            Change::Remove { host } => {
                self.visible.remove(&host);
            }
            Change::SetState { host, state } => {
                if let Some(entry) = self.visible.get_mut(&host) {
                    entry.state = state;
                }
            }
            Change::Lag { lag_ms } => self.lag = lag_ms,
            Change::Down => self.down = true,
            Change::Up => self.down = false,
        }
    }

    /// Applies the queued changes that are due and returns all entries.
    fn entries(&mut self) -> Vec<host::Entry> {
        let now = Instant::now();
        let (due, pending) =
            std::mem::take(&mut self.pending).into_iter().partition(|(at, _)| *at <= now);
        self.pending = pending;
        let due: Vec<(Instant, Change)> = due;
        due.into_iter().for_each(|(_, change)| self.apply(change));
        self.visible.values().cloned().collect()
    }
}

async fn read(State(shared): State<Arc<Shared>>) -> Response {
    respond(Handle(shared).read_entries())
}

/// Builds the response to a read: the entries, or status 503 for `None`.
pub(crate) fn respond(entries: Option<Vec<host::Entry>>) -> Response {
    match entries {
        Some(hosts) => Json(json!({"as_of_ms": reply::wall_ms(), "hosts": hosts})).into_response(),
        None => reply::error(503, "unavailable", "the list is down"),
    }
}

async fn control(State(shared): State<Arc<Shared>>, Json(change): Json<Change>) {
    shared.lock().submit(change);
}

async fn counters(State(shared): State<Arc<Shared>>) -> Json<Counters> {
    Json(shared.lock().counters.clone())
}
