//! Group decisions: replica assembly, placement, the steward.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]
