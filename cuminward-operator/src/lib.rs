//! The operators' schema, its server and its client.
//!
//! The schema is `proto/operator.proto`. The code in `src/generated` is made from it by
//! `cargo run -p cuminward-operator --example generate` and committed.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod auth;
pub mod client;
pub mod convert;
pub mod outcome;
pub mod proto;
pub mod server;
pub mod status;
