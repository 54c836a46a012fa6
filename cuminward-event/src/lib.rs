//! Numbered events and their timeline.
//!
//! [`kind::Kind`] is the catalogue of events, [`sink::Sink`] buffers the recent events of a node and
//! writes them to the log, and [`trace`] merges the events of several nodes into one timeline.
//! [`explain`] extracts the events that concern one request from log lines.

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
