//! Clients of the platform's services: the log, the host list and the weight store.
//!
//! Each call is one HTTP exchange as described in `docs/PROTOCOLS.md`. [`call::Error`] tells whether
//! a failed call may have taken effect.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod call;
pub mod hosts;
pub mod journal;
pub mod weights;
