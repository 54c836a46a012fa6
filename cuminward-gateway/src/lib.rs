//! A gateway node: forwards requests of any method, path and body to replicas of models and to plain
//! services, and takes part in keeping the replicas whole.
//!
//! `state` holds what all tasks share. `ingress` accepts callers and hands requests to `forward`;
//! `control` follows the store, carries the steward's duty and watches replicas; `peer` exchanges
//! what nodes learn. `forward` and `control` don't know each other: both stand on `state`.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod control;
mod forward;
pub mod gateway;
mod ingress;
mod peer;
mod reload;
pub mod settings;
mod state;
