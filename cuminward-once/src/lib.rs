//! At-most-once execution by idempotency key.
//!
//! A request with a key may run only after a write-ahead record of the key was appended to the
//! platform's log and read back without another record of that key in the deduplication window before
//! it. [`ledger`] is the state machine that appends the [`record`]s in batches and applies those that
//! are read back to a [`window`]; [`mint`] issues keys that need no record; [`store`] keeps replies to
//! answer repeated requests. The crate does no I/O and uses neither a clock nor global randomness.

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
