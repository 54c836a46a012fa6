//! Numbered events and the time line.
//!
//! [`kind::Kind`] is the catalogue of events, [`sink::Sink`] keeps a node's recent ones and writes
//! them to the log, and [`trace`] merges the events of several nodes into one time line.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod explain;
mod field;
pub mod kind;
pub mod line;
pub mod page;
pub mod record;
pub mod sink;
pub mod trace;
