//! Tests of cuminward-peer over loopback sockets.

mod client;
mod frame;
mod node;
mod spread;
