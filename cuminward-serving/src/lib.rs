//! Types and decisions of the gateway.
//!
//! Nothing here does I/O, reads a clock or draws random numbers: time and choices are arguments.
//! [`catalog`] and [`host`] hold what operators and hosts say, [`replica`] finds the whole groups among
//! the hosts, [`placement`] decides which groups are formed, and the other modules decide what happens
//! to one request.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod attempt;
pub mod catalog;
pub mod cold;
pub mod crash;
pub mod engine;
pub mod event;
pub mod host;
pub mod id;
pub mod loss;
pub mod message;
pub mod placement;
pub mod queue;
pub mod replica;
pub mod request;
pub mod scaling;
pub mod select;
pub mod slowdown;
pub mod table;
