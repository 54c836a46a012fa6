//! gRPC interface for operators: schema, server and client.
//!
//! The schema is `proto/operator.proto`. `cargo run -p cuminward-operator --example generate`
//! generates the code in `src/generated` from the schema; the generated code is committed.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod auth;
pub mod client;
pub mod convert;
pub mod outcome;
pub mod proto;
pub mod server;
pub mod status;
