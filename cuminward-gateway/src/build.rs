//! The build of this node.

/// Version of the package, and a hash of the sources after a `+`.
pub const VERSION: &str = env!("CUMINWARD_BUILD");
