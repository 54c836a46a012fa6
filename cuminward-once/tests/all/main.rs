//! Tests of cuminward-once.

mod key;
mod ledger;
mod mint;
mod store;
mod window;
