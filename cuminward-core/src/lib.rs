//! Data types that every cuminward package shares.
//!
//! The types describe what operators declared ([`catalog`], [`change`]), what the platform and the
//! upstreams report ([`host`]) and what follows from both ([`replica`]). There is no I/O here, and
//! no decision.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod cache;
pub mod catalog;
pub mod change;
pub mod hlc;
pub mod host;
pub mod id;
pub mod outcome;
pub mod rendezvous;
pub mod replica;
