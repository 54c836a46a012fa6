//! Stand-in for the rate-limited weight store.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use axum::{
    Json, Router,
    extract::{Path, State},
    routing,
};
use cuminward_core::id;
use cuminward_derive::record;
use serde_json::{Value, json};

use crate::server;

/// Longest time between two updates of a transfer's progress.
const STEP: Duration = Duration::from_millis(10);

/// Settings of the store.
#[record]
pub struct Options {
    /// Rate that all transfers share, in bytes a second.
    pub bytes_per_second: u64,
    /// Size of one host's part of a version without a size of its own, in bytes.
    pub default_bytes: u64,
}

impl Default for Options {
    fn default() -> Options {
        Options { bytes_per_second: 1_000_000_000, default_bytes: 20_000_000 }
    }
}

/// A change of the store's behaviour, as in the body of `POST /control`.
#[record]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Change {
    /// Sets the rate that all transfers share.
    Rate {
        /// The rate, in bytes a second.
        bytes_per_second: u64,
    },
    /// Sets the size of one host's part of a version.
    Size {
        /// The model.
        model: id::Model,
        /// The version.
        version: id::Version,
        /// The size, in bytes.
        bytes: u64,
    },
}

/// Counters of the store.
#[record]
#[derive(Default)]
pub struct Counters {
    /// Transfers started.
    pub fetches: u64,
    /// Transfers completed.
    pub completed: u64,
    /// Transfers in progress.
    pub active: u64,
}

/// A transfer, as in the body of `POST /v1/fetches`.
#[record]
pub struct Fetch {
    /// Host that fetches its part of the weights.
    pub host: id::Host,
    /// The model.
    pub model: id::Model,
    /// The version.
    pub version: id::Version,
}

/// A running weight store.
#[derive(Debug)]
pub struct Store {
    handle: Handle,
    server: server::Server,
}

/// Shared access to a store within the process, as the engines use it.
#[derive(Debug, Clone)]
pub struct Handle(Arc<Mutex<Inner>>);

#[derive(Debug)]
struct Inner {
    options: Options,
    sizes: BTreeMap<(id::Model, id::Version), u64>,
    counters: Counters,
}

/// Guard that counts a transfer as active until dropped.
struct ActiveTransfer(Handle);

impl Drop for ActiveTransfer {
    fn drop(&mut self) {
        self.0.lock().counters.active -= 1;
    }
}

/// Life cycle
impl Store {
    /// Starts a store on a port of 127.0.0.1; 0 chooses a free one.
    ///
    /// # Errors
    ///
    /// Fails if the port can't be bound.
    pub async fn start(port: u16, options: Options) -> io::Result<Store> {
        let inner = Inner { options, sizes: BTreeMap::new(), counters: Counters::default() };
        let handle = Handle(Arc::new(Mutex::new(inner)));
        let router = Router::new()
            .route("/v1/status", routing::get(status))
            .route("/v1/weights/{model}/{version}", routing::get(size))
            .route("/v1/fetches", routing::post(fetch))
            .route("/control", routing::post(control))
            .route("/control/counters", routing::get(counters))
            .with_state(handle.clone());
        Ok(Store { handle, server: server::Server::start(port, router).await? })
    }
}

/// Access
impl Store {
    /// Returns the address that the store listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns shared access within the process.
    pub fn handle(&self) -> &Handle {
        &self.handle
    }

    /// Returns the counters since the start.
    pub fn counters(&self) -> Counters {
        self.handle.lock().counters.clone()
    }

    /// Returns the gate that pauses or silences the connections of the store.
    pub fn gate(&self) -> &server::Gate {
        self.server.gate()
    }
}

impl Handle {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().expect("no holder panics")
    }

    /// Applies a change of the behaviour.
    pub fn change(&self, change: Change) {
        let mut inner = self.lock();
        match change {
            Change::Rate { bytes_per_second } => inner.options.bytes_per_second = bytes_per_second,
            Change::Size { model, version, bytes } => {
                inner.sizes.insert((model, version), bytes);
            }
        }
    }

    /// Returns the size of one host's part of a version, in bytes.
    pub fn bytes(&self, model: &str, version: &str) -> u64 {
        let inner = self.lock();
        let key = (model.to_owned(), version.to_owned());
        inner.sizes.get(&key).copied().unwrap_or(inner.options.default_bytes)
    }

    /// Simulates the transfer of one host's part and returns when the transfer is complete. The
    /// active transfers share the rate evenly.
    pub async fn fetch(&self, model: &str, version: &str) {
        let mut remaining = self.bytes(model, version) as f64;
        {
            let mut inner = self.lock();
            inner.counters.fetches += 1;
            inner.counters.active += 1;
        }
        let _active = ActiveTransfer(self.clone());
        while remaining > 0.0 {
            let share = {
                let inner = self.lock();
                inner.options.bytes_per_second as f64 / inner.counters.active as f64
            };
            let pause =
                Duration::from_secs_f64((remaining / share.max(1.0)).min(STEP.as_secs_f64()));
            let started = tokio::time::Instant::now();
            tokio::time::sleep(pause).await;
            remaining -= share * started.elapsed().as_secs_f64();
        }
        self.lock().counters.completed += 1;
    }
}

async fn status(State(handle): State<Handle>) -> Json<Value> {
    let inner = handle.lock();
    let rate = inner.options.bytes_per_second;
    Json(json!({"active": inner.counters.active, "queued": 0, "bytes_per_second": rate}))
}

async fn size(
    State(handle): State<Handle>,
    Path((model, version)): Path<(String, String)>,
) -> Json<Value> {
    Json(json!({"bytes": handle.bytes(&model, &version)}))
}

async fn fetch(State(handle): State<Handle>, Json(fetch): Json<Fetch>) -> Json<Value> {
    handle.fetch(&fetch.model, &fetch.version).await;
    Json(json!({}))
}

async fn control(State(handle): State<Handle>, Json(change): Json<Change>) {
    handle.change(change);
}

async fn counters(State(handle): State<Handle>) -> Json<Counters> {
    Json(handle.lock().counters.clone())
}
