//! The path of a request: admission, choice of an upstream, attempts, and the answer to the caller.

pub mod backend;
pub mod call;
pub mod dispatch;
pub mod engine_attempt;
pub mod generate;
pub mod lease;
pub mod once;
pub mod remote;
pub mod report;
pub mod search;
pub mod suspect;
pub mod usage;
