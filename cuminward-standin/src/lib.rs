//! Stand-ins of the systems that cuminward serves, for development only.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod begun;
pub mod engine;
pub mod hosts;
pub mod link;
pub mod load;
pub mod log;
pub mod plain;
mod reply;
pub mod server;
pub mod view;
mod warm_up;
pub mod weights;
pub mod world;
