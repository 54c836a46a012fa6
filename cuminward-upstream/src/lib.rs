//! Client of model engines and plain services.
//!
//! [`engine::Client`] speaks the engine protocol, [`plain::Client`] passes calls to plain services.
//! Both stand on [`pool::Pool`], which keeps connections for each address and gives up those that go
//! silent. Every failure is an [`error::Error`], which says whether the request can have run.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod body;
pub mod connection;
pub mod count;
pub mod engine;
pub mod error;
pub mod generate;
mod line;
pub mod plain;
pub mod poll;
pub mod pool;
pub mod relay;
