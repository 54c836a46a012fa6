//! Tests of the configuration's fold.

mod convergence;
mod fold;
mod follow;
mod sample;
mod size;
mod snapshot;
