//! Tests of the node's composition.

mod settings;
