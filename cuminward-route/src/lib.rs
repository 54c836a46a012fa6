//! Request decisions: routing, admission, fair shares, retries.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]
