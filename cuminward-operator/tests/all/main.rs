//! Tests of the operators' interface.

mod auth;
mod fake;
mod generated;
mod server;
mod wire;
