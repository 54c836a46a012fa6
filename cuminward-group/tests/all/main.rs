//! Tests of the group decisions.

mod assembly;
mod fixture;
mod machine;
mod placement;
mod probe;
mod steward;
mod table;
