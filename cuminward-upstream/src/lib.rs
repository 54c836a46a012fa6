//! Client of model engines and plain services.
//!
//! [`engine::Client`] implements the engine protocol, [`plain::Client`] forwards calls to plain
//! services. Both use [`pool::Pool`], which reuses connections to the same address and discards
//! those on which the upstream sends nothing in time. Failures of calls are [`error::Error`], which
//! tells whether the request may have run.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod body;
pub mod connection;
pub mod connector;
pub mod count;
pub mod discard;
pub mod engine;
pub mod error;
pub mod generate;
mod idle;
mod line;
pub mod plain;
pub mod poll;
pub mod pool;
pub mod relay;
