//! Handles the calls of other nodes.

use std::{sync::Arc, time::Duration};

use cuminward_core::id;
use cuminward_once::{claim, key, reply};
use cuminward_peer::{handler, message};

use crate::{
    control::{configure, gossip, peer},
    state,
};

/// Maximum number of events in one answer.
const MAX_EVENTS: u32 = 1_000;

/// Handles the calls of other nodes with the state of this one.
pub(super) struct Handler {
    state: Arc<state::State>,
}

/// Life cycle
impl Handler {
    /// Creates a handler for the state of a node.
    pub(super) fn new(state: Arc<state::State>) -> Handler {
        Handler { state }
    }
}

impl handler::Handler for Handler {
    async fn hello(&self, hello: message::Hello) -> message::Hello {
        peer::hello::apply_gossip(&self.state, &hello, self.state.now());
        peer::hello::answer(&self.state, &hello)
    }

    async fn farewell(&self, ended: message::Shutdown) {
        self.state.departed.add(self.state.now(), &ended);
    }

    async fn config(&self, from: id::Revision, max: u32) -> message::Config {
        configure::transfer::records_since(&self.state, from, max)
    }

    async fn observations(
        &self,
        incarnation: id::Incarnation,
        since: message::Position,
    ) -> message::Observations {
        gossip::answer(&self.state, incarnation, since)
    }

    async fn admission(&self, admission: message::Admission) -> message::Admission {
        peer::receive(&self.state, admission);
        message::Admission {
            from: self.state.settings.node.clone(),
            incarnation: self.state.incarnation,
            messages: Vec::new(),
        }
    }

    async fn claim_keys(&self, claims: Vec<claim::Claim>) -> Vec<claim::Verdict> {
        let claims = claims.into_iter().map(|it| self.state.keys.claim(it));
        futures::future::join_all(claims).await
    }

    async fn reply(&self, hash: key::Hash, wait: Duration) -> reply::Lookup {
        self.state.once.wait_for_reply(&hash, wait).await
    }

    async fn events(&self, from: u64, max: u32, request: Option<id::Request>) -> message::Events {
        let max = max.min(MAX_EVENTS) as usize;
        let records = self.state.events.since(from, max, request.as_deref());
        let next = records.last().map_or(from, |it| it.seq + 1);
        let json = records.iter().filter_map(|it| serde_json::to_string(it).ok());
        message::Events { records: json.collect(), next }
    }
}
