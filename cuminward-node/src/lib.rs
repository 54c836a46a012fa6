//! Assembles a cuminward node: loads its settings, starts its tasks and runs its life cycle.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod availability;
pub mod control;
pub mod departed;
pub mod metrics;
pub mod node;
pub mod operator;
pub mod peers;
pub mod request;
pub mod retiring;
pub mod settings;
pub mod state;
pub mod view;
