//! The server of the operators' interface.

use std::{future::Future, pin::Pin, sync::Arc, time::Duration};

use cuminward_core::{catalog, change, id};
use futures::{Stream, StreamExt};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio_util::sync::CancellationToken;
use tonic::{
    Request, Response, Status,
    transport::{Server, server::Connected},
};

use crate::{
    auth::{Operators, Role},
    convert,
    proto::{self, operator_server},
    status::Error,
};

/// Largest message that the server reads, in bytes.
const MAX_MESSAGE_BYTES: usize = 256 * 1024;
/// Calls of one connection that run at the same time.
const MAX_CALLS_PER_CONNECTION: usize = 64;
/// Largest size of a call's headers, in bytes.
const MAX_HEADER_BYTES: u32 = 16 * 1024;
/// Time between keep-alive frames.
const KEEP_ALIVE: Duration = Duration::from_secs(10);
/// Time after which a connection without an answer to a keep-alive frame is closed.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(5);

/// An accepted change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Receipt {
    /// Revision that the change made.
    pub revision: id::Revision,
    /// Whether the change had been applied before.
    pub repeated: bool,
}

/// The node behind the interface.
pub trait Backend: Send + Sync + 'static {
    /// Events of [`Backend::follow`]; it may never end by itself.
    type Events: Stream<Item = proto::Event> + Send + 'static;

    /// Appends a change to the log and answers once it is in force here.
    fn apply(&self, record: change::Record) -> impl Future<Output = Result<Receipt, Error>> + Send;

    /// The configuration in force; an error before the node has one.
    fn catalog(&self) -> impl Future<Output = Result<Arc<catalog::Catalog>, Error>> + Send;

    /// State of the node.
    fn status(&self) -> impl Future<Output = proto::StatusResponse> + Send;

    /// Groups that the node knows; only those of a service, unless `service` is empty.
    fn groups(&self, service: id::Service) -> impl Future<Output = Vec<proto::Group>> + Send;

    /// Nodes that the node knows.
    fn nodes(&self) -> impl Future<Output = Vec<proto::Node>> + Send;

    /// Recent changes, the oldest first.
    fn history(&self) -> impl Future<Output = Vec<proto::HistoryEntry>> + Send;

    /// Events from now on, after the held ones that the request asks for.
    fn follow(
        &self,
        request: proto::FollowEventsRequest,
    ) -> impl Future<Output = Self::Events> + Send;

    /// Events that the node still holds.
    fn timeline(
        &self,
        request: proto::TimelineRequest,
    ) -> impl Future<Output = proto::TimelineResponse> + Send;
}

/// The interface's calls over a backend.
#[derive(Debug)]
pub struct Service<B> {
    backend: Arc<B>,
    operators: Operators,
    shutdown: CancellationToken,
}

/// Serves the interface on accepted connections until `shutdown` is cancelled and the calls under way
/// have ended; event streams end at once.
///
/// Connections may be plain TCP or TLS; the caller accepts them.
pub async fn serve<B, I, C, E>(
    backend: Arc<B>,
    operators: Operators,
    connections: I,
    shutdown: CancellationToken,
) -> Result<(), tonic::transport::Error>
where
    B: Backend,
    I: Stream<Item = Result<C, E>>,
    C: AsyncRead + AsyncWrite + Connected + Unpin + Send + 'static,
    E: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let service = Service { backend, operators, shutdown: shutdown.clone() };
    let service =
        operator_server::OperatorServer::new(service).max_decoding_message_size(MAX_MESSAGE_BYTES);
    Server::builder()
        .concurrency_limit_per_connection(MAX_CALLS_PER_CONNECTION)
        .http2_max_header_list_size(MAX_HEADER_BYTES)
        .http2_keepalive_interval(Some(KEEP_ALIVE))
        .http2_keepalive_timeout(Some(KEEP_ALIVE_TIMEOUT))
        .add_service(service)
        .serve_with_incoming_shutdown(connections, shutdown.cancelled_owned())
        .await
}

/// Access
impl<B> Service<B> {
    /// Checks the operator's role; returns the operator's name and the message.
    #[allow(clippy::result_large_err)]
    fn open<T>(&self, request: Request<T>, role: Role) -> Result<(String, T), Status> {
        let operator = self.operators.authenticate(request.metadata(), role)?;
        Ok((operator, request.into_inner()))
    }
}

/// Result of a call.
type Answer<T> = Result<Response<T>, Status>;

#[tonic::async_trait]
impl<B: Backend> operator_server::Operator for Service<B> {
    async fn apply(&self, request: Request<proto::ApplyRequest>) -> Answer<proto::ApplyResponse> {
        let (operator, request) = self.open(request, Role::Write)?;
        let record = convert::to_record(request, operator)
            .map_err(|error| Error::Invalid(error.to_string()))?;
        let Receipt { revision, repeated } = self.backend.apply(record).await?;
        Ok(Response::new(proto::ApplyResponse { revision, repeated }))
    }

    async fn get_catalog(
        &self,
        request: Request<proto::GetCatalogRequest>,
    ) -> Answer<proto::GetCatalogResponse> {
        self.open(request, Role::Read)?;
        let catalog = self.backend.catalog().await?;
        Ok(Response::new(convert::from_catalog(&catalog)))
    }

    async fn status(
        &self,
        request: Request<proto::StatusRequest>,
    ) -> Answer<proto::StatusResponse> {
        self.open(request, Role::Read)?;
        Ok(Response::new(self.backend.status().await))
    }

    async fn list_groups(
        &self,
        request: Request<proto::ListGroupsRequest>,
    ) -> Answer<proto::ListGroupsResponse> {
        let (_, request) = self.open(request, Role::Read)?;
        let groups = self.backend.groups(request.service).await;
        Ok(Response::new(proto::ListGroupsResponse { groups }))
    }

    async fn list_nodes(
        &self,
        request: Request<proto::ListNodesRequest>,
    ) -> Answer<proto::ListNodesResponse> {
        self.open(request, Role::Read)?;
        let nodes = self.backend.nodes().await;
        Ok(Response::new(proto::ListNodesResponse { nodes }))
    }

    async fn history(
        &self,
        request: Request<proto::HistoryRequest>,
    ) -> Answer<proto::HistoryResponse> {
        let (_, request) = self.open(request, Role::Read)?;
        let mut entries = self.backend.history().await;
        if request.limit > 0 {
            let excess = entries.len().saturating_sub(request.limit as usize);
            entries.drain(..excess);
        }
        Ok(Response::new(proto::HistoryResponse { entries }))
    }

    type FollowEventsStream = Pin<Box<dyn Stream<Item = Result<proto::Event, Status>> + Send>>;

    async fn follow_events(
        &self,
        request: Request<proto::FollowEventsRequest>,
    ) -> Answer<Self::FollowEventsStream> {
        let (_, request) = self.open(request, Role::Read)?;
        let events = self.backend.follow(request).await;
        let until = self.shutdown.clone().cancelled_owned();
        Ok(Response::new(Box::pin(events.take_until(until).map(Ok))))
    }

    async fn timeline(
        &self,
        request: Request<proto::TimelineRequest>,
    ) -> Answer<proto::TimelineResponse> {
        let (_, request) = self.open(request, Role::Read)?;
        Ok(Response::new(self.backend.timeline(request).await))
    }
}
