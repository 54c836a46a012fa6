//! Tests of the configuration's replicated state machine.

mod convergence;
mod fold;
mod follow;
mod sample;
mod size;
mod snapshot;
