//! The fold of the configuration log.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]
