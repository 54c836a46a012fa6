//! Interface of the remote procedure calls between nodes.

// The macro generates public items without documentation.
#![allow(missing_docs)]

use cuminward_core::id;
use cuminward_once::{claim, key, reply};

use crate::message;

/// Calls that a node offers to other nodes.
#[tarpc::service]
pub trait Peer {
    /// Exchanges the states of two nodes.
    async fn hello(hello: message::Hello) -> message::Hello;

    /// Announces that a node has shut down and holds no slots.
    async fn farewell(ended: message::Shutdown);

    /// Returns at most `max` records of the configuration stream from a revision on.
    async fn config(from: id::Revision, max: u32) -> message::Config;

    /// Returns the changes in the observations of hosts since a position.
    async fn observations(
        incarnation: id::Incarnation,
        since: message::Position,
    ) -> message::Observations;

    /// Delivers admission control messages about the slots of upstreams and returns the responses.
    async fn admission(admission: message::Admission) -> message::Admission;

    /// Decides claims of idempotency keys; returns the verdicts in the order of the claims.
    async fn claim_keys(claims: Vec<claim::Claim>) -> Vec<claim::Verdict>;

    /// Looks up the reply to the request that this node started under an idempotency key. Waits for a
    /// running request until the deadline of the call.
    async fn reply(hash: key::Hash) -> reply::Lookup;

    /// Returns at most `max` events from an index on, only those of one request if `request` is set.
    async fn events(from: u64, max: u32, request: Option<id::Request>) -> message::Events;
}
