//! The HTTP interface towards callers.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]
