//! Clients of the platform: log, host list, weight store.
//!
//! Each call is one HTTP exchange as `docs/PROTOCOLS.md` describes it. Errors say what is known about
//! the effect of the call: see [`call::Error`].

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod call;
pub mod hosts;
pub mod journal;
pub mod weights;
