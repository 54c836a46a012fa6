//! Tests of the soak test's own checks and faults.

mod checker;
mod copier;
mod fault;
mod history;
mod limit;
mod lost;
mod process;
mod recover;
