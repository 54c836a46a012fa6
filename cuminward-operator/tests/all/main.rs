//! Tests of the operator interface.

mod auth;
mod fake;
mod generated;
mod server;
mod wire;
