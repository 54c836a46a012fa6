//! Tests of the request decisions.

mod admission;
mod attempt;
mod prefix;
mod route;
mod share;
