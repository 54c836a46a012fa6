//! The interface between the nodes.

// The macro makes public items that it doesn't document.
#![allow(missing_docs)]

use cuminward_core::id;
use cuminward_once::{claim, key, reply};

use crate::message;

/// Calls that a node answers.
#[tarpc::service]
pub trait Peer {
    /// Exchanges what the nodes are.
    async fn hello(hello: message::Hello) -> message::Hello;

    /// Takes note that a node has ended and holds no slots.
    async fn farewell(ended: message::Shutdown);

    /// Returns records of the configuration stream from a revision on, at most `max`.
    async fn config(from: id::Revision, max: u32) -> message::Config;

    /// Returns what changed in the observations of hosts since a position.
    async fn observations(
        incarnation: id::Incarnation,
        since: message::Position,
    ) -> message::Observations;

    /// Takes messages about the slots of upstreams and answers them.
    async fn admission(admission: message::Admission) -> message::Admission;

    /// Decides claims of idempotency keys; the verdicts are in the order of the claims.
    async fn claim_keys(claims: Vec<claim::Claim>) -> Vec<claim::Verdict>;

    /// Returns what the node knows about the request of a key that it started; waits for a running
    /// one until the call's deadline.
    async fn reply(hash: key::Hash) -> reply::Lookup;

    /// Returns events from an index on, at most `max`, of one request if one is named.
    async fn events(from: u64, max: u32, request: Option<id::Request>) -> message::Events;
}
