//! Tests of cuminward-once.

mod key;
mod ledger;
mod machine;
mod mint;
mod store;
mod window;
