//! The operators' schema, its server and its client.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]
