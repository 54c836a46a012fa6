//! Development only: a soak test that runs the daemon as separate processes, injects faults from outside
//! them, and checks the guarantees to callers and upstreams.
//!
//! [`testbed`] starts the store, the hosts and the proxies in front of them, [`node`] the daemon's
//! processes, which [`process`] tells apart; [`caller`] generates load, [`fault`] injects faults, [`history`]
//! records when; [`copier`] sends copies of refusals; [`upgrade`] replaces one build of the daemon by another;
//! [`checker`], [`limit`], [`lost`] and [`recover`] check the guarantees, and [`soak`] combines them into one run.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod caller;
pub mod checker;
pub mod copier;
pub mod fault;
pub mod history;
pub mod limit;
pub mod lost;
pub mod node;
pub mod process;
pub mod recover;
pub mod soak;
pub mod testbed;
pub mod upgrade;
