//! Tests of the soak test's own checks and faults.

mod checker;
mod fault;
mod history;
mod lost;
mod process;
mod recover;
