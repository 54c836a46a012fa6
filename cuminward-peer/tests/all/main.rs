//! Tests of cuminward-peer over loopback sockets.

mod client;
mod digest;
mod frame;
mod node;
mod topology;
