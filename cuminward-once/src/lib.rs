//! At-most-once execution by idempotency key.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]
