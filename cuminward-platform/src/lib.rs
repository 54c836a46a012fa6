//! Clients of the platform: log, host list, weight store.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]
