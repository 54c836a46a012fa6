//! Aliases for the types of identifiers and sequence numbers.

/// Identifier of a host of an engine or of a plain service; a host gets a new one at most of its
/// starts.
pub type Host = String;

/// Name of a service, the target of routes.
pub type Service = String;

/// Name of a model that replicas of a service run.
pub type Model = String;

/// Name of a group of hosts that forms a replica.
pub type Group = String;

/// Name of a failure domain.
pub type Domain = String;

/// Name of a fabric domain, a set of hosts that are connected by a fast network.
pub type Fabric = String;

/// Name of a cuminward node.
pub type Node = String;

/// Identifier of one attempt of a caller to send a request.
pub type Request = String;

/// Identifier of a part of a prompt, such as an instruction that many requests begin with.
pub type PromptPart = u64;

/// Identifier of a crash of a host: a hash of the upstream that ended with it, which never serves again.
pub type Crash = u64;

/// Version of the catalog.
pub type Version = u64;

/// Number that identifies one formation of a group.
pub type Epoch = u64;

/// Fencing token of a steward.
pub type Token = u64;

/// Count of the orders that a host has accepted since its start.
pub type Seq = u64;

/// Position in a partition of the store's log, within an era.
pub type Offset = u64;

/// Number of the store's history: grows by one each time the store comes back from an older copy, which
/// loses its newest records and hands their offsets out again.
pub type Era = u64;
