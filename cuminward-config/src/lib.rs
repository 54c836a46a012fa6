//! The replicated state machine of the configuration.
//!
//! Operators' changes are records of one stream of the platform's log. Every node applies (folds)
//! the same records in offset order and therefore accepts and refuses the same changes and reaches
//! the same [`catalog`](cuminward_core::catalog::Catalog) ([`fold`]). [`snapshot`] decides when the
//! state is written to the log, before the log trims older records. [`follow`] combines the records
//! that a node reads from the log with those that it receives from its peers. This crate does no
//! I/O and reads no clock.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod effect;
pub mod fold;
pub mod follow;
pub mod history;
pub mod limit;
pub mod record;
pub mod ring;
pub mod snapshot;
pub mod target;
pub mod unknown;
pub mod validate;
pub mod window;
