//! Tests of the group decisions.

mod fixture;
mod machine;
mod placement;
mod steward;
