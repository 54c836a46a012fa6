//! Stand-ins of the systems that cuminward serves, for development only.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]
