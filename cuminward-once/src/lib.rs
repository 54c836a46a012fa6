//! At-most-once execution by idempotency key.
//!
//! A request with a key may run only after the key was recorded as started in the platform's log and
//! read back without another record of that key in the window before it. [`ledger`] is the machine
//! that batches the [`record`]s and folds them into a [`window`]; [`mint`] makes keys that need no
//! record; [`store`] holds replies to answer repeats. There is no I/O, no clock and no global
//! randomness here.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod batch;
pub mod claim;
pub mod key;
pub mod ledger;
pub mod mint;
pub mod record;
pub mod reply;
pub mod store;
pub mod window;
