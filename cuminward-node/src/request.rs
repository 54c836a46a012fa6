//! Requests: from a caller's wish to an upstream's whole answer.

pub mod backend;
pub mod call;
pub mod dispatch;
pub mod flight;
pub mod generate;
pub mod lease;
pub mod once;
pub mod remote;
pub mod report;
pub mod search;
pub mod suspect;
pub mod usage;
