//! A gateway node: forwards requests of any method, path and body to replicas of models and to plain
//! services, and takes part in forming and replacing the replicas.
//!
//! `state` holds the data that all tasks share. `ingress` accepts callers' connections and passes requests
//! to `forward`; `control` follows the store, runs the steward and health-checks replicas; `peer`
//! exchanges state between nodes; `tunnel` connects to hosts through other nodes. `forward` and `control` don't depend
//! on each other, only on `state`.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod build;
mod control;
mod forward;
pub mod gateway;
mod ingress;
mod peer;
mod reload;
pub mod settings;
mod state;
mod tunnel;
