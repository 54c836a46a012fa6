//! Calls between the nodes.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]
