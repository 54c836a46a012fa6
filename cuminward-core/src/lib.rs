//! Data types that the cuminward packages share.
//!
//! The types describe the declared configuration ([`catalog`], [`change`]), the reports of the
//! platform and the upstreams ([`host`], [`cache`]), the replicas derived from both ([`replica`])
//! and the results of requests ([`outcome`]). [`hlc`] and [`rendezvous`] hold the shared clock and
//! hashing algorithms. This crate does no I/O and contains no scheduling or routing policy.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod cache;
pub mod catalog;
pub mod change;
pub mod hlc;
pub mod host;
pub mod id;
pub mod number;
pub mod outcome;
pub mod rendezvous;
pub mod replica;
