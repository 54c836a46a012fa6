//! Tests of the operators' command line.

mod command;
mod declaration;
#[path = "../../../cuminward-operator/tests/all/fake.rs"]
mod fake;
mod timeline;
