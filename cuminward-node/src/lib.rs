//! Composition of a cuminward node: settings, tasks, life cycle.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod settings;
