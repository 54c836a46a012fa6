//! Aliases for the ids of everything that has one.

/// Name of a failure domain.
pub type Domain = String;
/// Name of a host, as the platform's host list gives it.
pub type Host = String;
/// Name of a node of cuminward.
pub type Node = String;
/// Name of a team.
pub type Team = String;
/// Name of a declared service, model or plain.
pub type Service = String;
/// Name of a model, as callers and engines know it.
pub type Model = String;
/// Version of a model.
pub type Version = String;
/// Name of a fabric domain, within which the members of a replica have to be.
pub type Fabric = String;
/// Name of a region.
pub type Region = String;
/// Name of a group of hosts that forms one replica.
pub type Group = String;
/// Counts the formations of groups in one failure domain; later formations have larger numbers.
pub type Generation = u64;
/// Fencing number of an order; it is the offset of the claim under which the order is given.
pub type Fence = u64;
/// Tells one start of an upstream from the next.
pub type Incarnation = u64;
/// Id of a caller's request, unique over all nodes.
pub type Request = String;
/// Id of a change of configuration, chosen by the operator's client.
pub type Change = String;
/// Offset of a record in a stream of the platform's log.
pub type Offset = u64;
/// Revision of the configuration: the number of log records that are folded into it.
pub type Revision = u64;
/// Idempotency key that a caller chose.
pub type Key = String;
