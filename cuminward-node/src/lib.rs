//! Composition of a cuminward node: settings, tasks, life cycle.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod control;
pub mod farewell;
pub mod measure;
pub mod metrics;
pub mod node;
pub mod operate;
pub mod peers;
pub mod request;
pub mod retiring;
pub mod settings;
pub mod state;
pub mod view;
