//! Tests of the node's modules.

mod settings;
