//! HTTP interface for callers.
//!
//! [`router::build`] creates the routes on top of a [`backend::Backend`], which admits and executes
//! requests. [`server::serve`] accepts connections until it is stopped. A request is read
//! completely and validated before it is passed to the backend.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod api;
pub mod auth;
pub mod backend;
pub mod body;
pub mod failure;
pub mod generate;
pub mod header;
pub mod plain;
mod relay;
pub mod router;
pub mod server;
mod sse;
