//! Tests of the group decisions.

mod fixture;
mod steward;
