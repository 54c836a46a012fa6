//! Names of things, as aliases.

/// Host of an engine or of a plain service; a new one at most starts.
pub type Host = String;

/// Service that routes lead to.
pub type Service = String;

/// Model that replicas of a service run.
pub type Model = String;

/// Group of hosts that forms a replica.
pub type Group = String;

/// Failure domain.
pub type Domain = String;

/// Hosts with a fast network between them.
pub type Fabric = String;

/// Node of cuminward.
pub type Node = String;

/// Attempt of a caller.
pub type Request = String;

/// Version of the catalog.
pub type Version = u64;

/// Number of one formation of a group.
pub type Epoch = u64;

/// Fencing token of a steward.
pub type Token = u64;

/// Number of the orders that a host has accepted since its start.
pub type Seq = u64;

/// Position in a partition of the store's log.
pub type Offset = u64;
