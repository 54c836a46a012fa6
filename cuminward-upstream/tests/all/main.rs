//! Tests of cuminward-upstream over loopback sockets.

mod engine;
mod fake;
mod hostile_upstreams;
mod plain;
mod pool;
mod raw;
