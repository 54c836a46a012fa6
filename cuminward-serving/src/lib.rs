//! Domain types and decision logic of the gateway.
//!
//! This crate does no I/O, reads no clock and draws no random numbers: callers pass in the time and
//! the random values. [`catalog`] and [`host`] hold what operators declare and what hosts report,
//! [`replica`] finds the groups of hosts that form replicas, [`placement`] decides which groups are
//! formed, and the other modules hold the state and the decisions for handling requests.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod attempt;
pub mod bucket;
pub mod catalog;
pub mod crash;
pub mod departure;
pub mod engine;
pub mod event;
pub mod eviction;
pub mod fencing;
pub mod freshness;
pub mod host;
pub mod id;
pub mod leaving;
pub mod level;
pub mod limit;
pub mod loss;
pub mod message;
pub mod nodes;
pub mod notice;
pub mod path;
pub mod placement;
pub mod position;
pub mod progress;
pub mod quarantine;
pub mod queue;
pub mod replica;
pub mod request;
pub mod restore;
pub mod retry;
pub mod returns;
pub mod scaling;
pub mod select;
pub mod share;
pub mod slowdown;
pub mod spill;
pub mod table;
