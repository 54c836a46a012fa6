//! Tests of cuminward-upstream over loopback sockets.

mod engine;
mod fake;
mod plain;
