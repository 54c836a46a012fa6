//! The HTTP interface towards callers.
//!
//! [`router::build`] makes the routes over a [`backend::Backend`], which decides and executes;
//! [`server::serve`] accepts connections until it is told to stop. A request is read whole and
//! checked before the backend sees it.

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
pub mod router;
pub mod server;
mod sse;
