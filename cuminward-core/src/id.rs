//! Type aliases for names, ids and sequence numbers.

/// Name of a failure domain.
pub type Domain = String;
/// Name of a host, as in the platform's host list.
pub type Host = String;
/// Name of a node of cuminward.
pub type Node = String;
/// Name of a team.
pub type Team = String;
/// Name of a declared service, either a model service or a plain service.
pub type Service = String;
/// Name of a model, as callers and engines use it.
pub type Model = String;
/// Version of a model.
pub type Version = String;
/// Name of a fabric domain; all members of a replica must be in the same one.
pub type Fabric = String;
/// Name of a region.
pub type Region = String;
/// Name of a group of hosts that forms one replica.
pub type Group = String;
/// Formation number of a group; within a failure domain, later formations have larger numbers.
pub type Generation = u64;
/// Fencing number of an order: the log offset of the claim under which the order is sent.
pub type Fence = u64;
/// Identifies one start of an upstream's process; it changes with every restart.
pub type Incarnation = u64;
/// Id of a caller's request, unique across all nodes.
pub type Request = String;
/// Id of a change of configuration, chosen by the operator's client.
pub type Change = String;
/// Offset of a record in a stream of the platform's log.
pub type Offset = u64;
/// Revision of the configuration: the number of log records that were applied to reach it.
pub type Revision = u64;
/// Idempotency key chosen by a caller.
pub type Key = String;
