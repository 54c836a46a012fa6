//! What a node has to implement to answer the calls of others.

use std::{
    future::Future,
    sync::Arc,
    time::{Duration, Instant},
};

use cuminward_core::id;
use cuminward_once::{claim, key, reply};
use tarpc::context::Context;

use crate::{message, service::Peer};

/// Answers to the calls of [`Peer`], with futures that can move between threads.
pub trait Answer: Send + Sync + 'static {
    /// See [`Peer::hello`].
    fn hello(&self, hello: message::Hello) -> impl Future<Output = message::Hello> + Send;

    /// See [`Peer::farewell`].
    fn farewell(&self, ended: message::Ended) -> impl Future<Output = ()> + Send;

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

    /// See [`Peer::reply`]; waits for a running request for at most `wait`.
    fn reply(&self, hash: key::Hash, wait: Duration) -> impl Future<Output = reply::Lookup> + Send;

    /// See [`Peer::events`].
    fn events(
        &self,
        from: u64,
        max: u32,
        request: Option<id::Request>,
    ) -> impl Future<Output = message::Events> + Send;
}

/// Passes the calls of a connection to an [`Answer`].
pub(crate) struct Adapter<A> {
    answer: Arc<A>,
}

impl<A> Clone for Adapter<A> {
    fn clone(&self) -> Adapter<A> {
        Adapter::new(Arc::clone(&self.answer))
    }
}

impl<A> Adapter<A> {
    pub(crate) fn new(answer: Arc<A>) -> Adapter<A> {
        Adapter { answer }
    }
}

impl<A: Answer> Peer for Adapter<A> {
    async fn hello(self, _: Context, hello: message::Hello) -> message::Hello {
        self.answer.hello(hello).await
    }

    async fn farewell(self, _: Context, ended: message::Ended) {
        self.answer.farewell(ended).await;
    }

    async fn config(self, _: Context, from: id::Revision, max: u32) -> message::Config {
        self.answer.config(from, max).await
    }

    async fn observations(
        self,
        _: Context,
        incarnation: id::Incarnation,
        since: message::Position,
    ) -> message::Observations {
        self.answer.observations(incarnation, since).await
    }

    async fn admission(self, _: Context, admission: message::Admission) -> message::Admission {
        self.answer.admission(admission).await
    }

    async fn claim_keys(self, _: Context, claims: Vec<claim::Claim>) -> Vec<claim::Verdict> {
        self.answer.claim_keys(claims).await
    }

    async fn reply(self, context: Context, hash: key::Hash) -> reply::Lookup {
        let wait = context.deadline.saturating_duration_since(Instant::now());
        self.answer.reply(hash, wait).await
    }

    async fn events(
        self,
        _: Context,
        from: u64,
        max: u32,
        request: Option<id::Request>,
    ) -> message::Events {
        self.answer.events(from, max, request).await
    }
}
