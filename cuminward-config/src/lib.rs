//! The fold of the configuration log.
//!
//! Operators' changes are records of one stream of the platform's log. Every node folds the same
//! records in offset order into the same [`catalog`](cuminward_core::catalog::Catalog), and accepts
//! and refuses the same changes ([`fold`]). [`snapshot`] keeps the state in the log before older
//! records are forgotten, and [`follow`] puts together what a node reads from the log and from its
//! peers. There is no I/O and no clock here.

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
