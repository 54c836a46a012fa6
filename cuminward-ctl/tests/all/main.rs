//! Tests of `cuminctl`, the command line for operators.

mod builds;
mod command;
mod declaration;
#[path = "../../../cuminward-operator/tests/all/fake.rs"]
mod fake;
mod timeline;
