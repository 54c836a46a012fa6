//! Loans of retries: a process that follows another one doesn't know which retries its predecessor made, so it borrows
//! from nodes that know their own.
//!
//! A node of an earlier build lends nothing.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use arc_swap::ArcSwap;
use cuminward_serving::id;
use rand::seq::IndexedRandom;
use tarpc::context;

use super::{clients::Clients, pull::service::AntiEntropyClient};

/// Number of nodes that are asked for a loan.
const MAX_LENDERS: usize = 3;

/// Timeout of the question to one node.
const CALL_TIMEOUT: Duration = Duration::from_millis(100);

/// Time after a refusal of all nodes in which none is asked for the same service again.
const PAUSE: Duration = Duration::from_millis(300);

/// Permission for a retry, with when it was asked for, since the node's start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Grant {
    /// The retry counts at this node.
    Own(Duration),
    /// The retry counts at the node that lent it.
    Lent(Duration),
}

/// Nodes from which this one borrows retries.
#[derive(Default)]
pub(crate) struct Lenders {
    nodes: ArcSwap<Vec<SocketAddr>>,
    clients: Clients,
    /// Services for which all nodes refused, with the time until which they aren't asked again.
    refused: Mutex<HashMap<id::Service, Duration>>,
}

/// Access
impl Lenders {
    /// Returns whether a node may lend a retry for a service now.
    pub(crate) fn may_lend(&self, now: Duration, service: &str) -> bool {
        let is_paused = self.lock_refused().get(service).is_some_and(|until| *until > now);
        !is_paused && !self.nodes.load().is_empty()
    }
}

/// Mutation
impl Lenders {
    /// Sets the nodes that may lend.
    pub(crate) fn set_nodes(&self, nodes: Vec<SocketAddr>) {
        self.clients.retain(&nodes);
        self.nodes.store(Arc::new(nodes));
    }

    /// Asks some nodes, one after another, to lend a retry for a service. Returns whether one did.
    pub(crate) async fn borrow(&self, now: Duration, service: &str) -> bool {
        if !self.may_lend(now, service) {
            return false;
        }
        let nodes = self.nodes.load_full();
        let asked: Vec<SocketAddr> = nodes.sample(&mut rand::rng(), MAX_LENDERS).copied().collect();
        for node in asked {
            let ask = |client: AntiEntropyClient| async move {
                client.lend_retry(context::current(), service.to_owned()).await
            };
            match self.clients.call(node, CALL_TIMEOUT, ask).await {
                Ok(true) => return true,
                Ok(false) => {}
                Err(error) => log::debug!("can't borrow a retry from node {node}: {error}"),
            }
        }
        self.lock_refused().insert(service.to_owned(), now + PAUSE);
        false
    }

    fn lock_refused(&self) -> MutexGuard<'_, HashMap<id::Service, Duration>> {
        self.refused.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
