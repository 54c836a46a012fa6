//! At-most-once execution by idempotency key.
//!
//! A request with a key may run only after the key was recorded as started in the platform's log and
//! read back as the first record of that key within the window. [`ledger`] is the machine that
//! batches the records and folds them; [`minted`] are keys that need no record; [`replies`] answers
//! repeats. There is no I/O, no clock and no global randomness here.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod claim;
pub mod key;
pub mod reply;
