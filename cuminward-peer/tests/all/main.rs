//! Integration tests of cuminward-peer; calls go over loopback sockets.

mod client;
mod digest;
mod frame;
mod node;
mod topology;
