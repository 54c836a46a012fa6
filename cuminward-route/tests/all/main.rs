//! Tests of the request decisions.

mod admission;
mod attempt;
mod eject;
mod prefix;
mod quarantine;
mod route;
mod share;
