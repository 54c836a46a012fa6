//! Tests of assembly, placement, probes and the steward.

mod assembly;
mod fixture;
mod machine;
mod placement;
mod probe;
mod steward;
mod table;
