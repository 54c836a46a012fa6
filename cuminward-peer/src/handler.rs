//! Interface that a node implements to execute the calls of other nodes.

use std::{
    future::Future,
    sync::Arc,
    time::{Duration, Instant},
};

use cuminward_core::id;
use cuminward_once::{claim, key, reply};
use tarpc::context::Context;

use crate::{message, service::Peer};

/// Executes the calls of [`Peer`]. Unlike that trait, its futures are `Send`.
pub trait Handler: Send + Sync + 'static {
    /// See [`Peer::hello`].
    fn hello(&self, hello: message::Hello) -> impl Future<Output = message::Hello> + Send;

    /// See [`Peer::farewell`].
    fn farewell(&self, ended: message::Shutdown) -> impl Future<Output = ()> + Send;

    /// See [`Peer::config`].
    fn config(&self, from: id::Revision, max: u32) -> impl Future<Output = message::Config> + Send;

    /// See [`Peer::observations`].
    fn observations(
        &self,
        incarnation: id::Incarnation,
        since: message::Position,
    ) -> impl Future<Output = message::Observations> + Send;

    /// See [`Peer::admission`].
    fn admission(
        &self,
        admission: message::Admission,
    ) -> impl Future<Output = message::Admission> + Send;

    /// See [`Peer::claim_keys`].
    fn claim_keys(
        &self,
        claims: Vec<claim::Claim>,
    ) -> impl Future<Output = Vec<claim::Verdict>> + Send;

    /// See [`Peer::reply`]. Waits at most `wait` for a running request.
    fn reply(&self, hash: key::Hash, wait: Duration) -> impl Future<Output = reply::Lookup> + Send;

    /// See [`Peer::events`].
    fn events(
        &self,
        from: u64,
        max: u32,
        request: Option<id::Request>,
    ) -> impl Future<Output = message::Events> + Send;
}

/// Implements [`Peer`] by passing the calls of a connection to a [`Handler`].
pub(crate) struct Adapter<A> {
    handler: Arc<A>,
}

impl<A> Clone for Adapter<A> {
    fn clone(&self) -> Adapter<A> {
        Adapter::new(Arc::clone(&self.handler))
    }
}

impl<A> Adapter<A> {
    pub(crate) fn new(handler: Arc<A>) -> Adapter<A> {
        Adapter { handler }
    }
}

impl<A: Handler> Peer for Adapter<A> {
    async fn hello(self, _: Context, hello: message::Hello) -> message::Hello {
        self.handler.hello(hello).await
    }

    async fn farewell(self, _: Context, ended: message::Shutdown) {
        self.handler.farewell(ended).await;
    }

    async fn config(self, _: Context, from: id::Revision, max: u32) -> message::Config {
        self.handler.config(from, max).await
    }

    async fn observations(
        self,
        _: Context,
        incarnation: id::Incarnation,
        since: message::Position,
    ) -> message::Observations {
        self.handler.observations(incarnation, since).await
    }

    async fn admission(self, _: Context, admission: message::Admission) -> message::Admission {
        self.handler.admission(admission).await
    }

    async fn claim_keys(self, _: Context, claims: Vec<claim::Claim>) -> Vec<claim::Verdict> {
        self.handler.claim_keys(claims).await
    }

    async fn reply(self, context: Context, hash: key::Hash) -> reply::Lookup {
        let wait = context.deadline.saturating_duration_since(Instant::now());
        self.handler.reply(hash, wait).await
    }

    async fn events(
        self,
        _: Context,
        from: u64,
        max: u32,
        request: Option<id::Request>,
    ) -> message::Events {
        self.handler.events(from, max, request).await
    }
}
