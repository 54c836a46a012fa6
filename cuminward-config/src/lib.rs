//! The fold of the configuration log.
//!
//! Operators' changes are records of one stream of the platform's log. Every node folds the same
//! records in offset order into the same [`catalog`](cuminward_core::catalog::Catalog), and accepts
//! and refuses the same changes. There is no I/O and no clock here.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod fold;
pub mod history;
pub mod limit;
pub mod record;
pub mod target;
pub mod validate;
pub mod window;
