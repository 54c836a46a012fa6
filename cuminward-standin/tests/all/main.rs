//! Tests of the stand-ins.

mod engine;
mod http;
mod link;
mod load;
mod log;
mod plain;
mod platform;
mod view;
