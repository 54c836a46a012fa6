//! Server of the operator interface.

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

/// Maximum size of a received message, in bytes.
const MAX_MESSAGE_BYTES: usize = 256 * 1024;
/// Maximum number of concurrent calls per connection.
const MAX_CALLS_PER_CONNECTION: usize = 64;
/// Maximum size of the headers of a call, in bytes.
const MAX_HEADER_BYTES: u32 = 16 * 1024;
/// Interval between HTTP/2 keep-alive pings.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(10);
/// Time to wait for the response to a keep-alive ping before the connection is closed.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(5);

/// Confirmation of an accepted change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Receipt {
    /// Revision of the configuration that the change created.
    pub revision: id::Revision,
    /// Whether the change had already been applied by an earlier call.
    pub repeated: bool,
}

/// Operations of the node that the calls of the interface use.
pub trait Backend: Send + Sync + 'static {
    /// Event stream of [`Backend::follow`]; need not end.
    type Events: Stream<Item = proto::Event> + Send + 'static;

    /// Appends a change to the log and returns once the change is in force at this node.
    fn apply(&self, record: change::Record) -> impl Future<Output = Result<Receipt, Error>> + Send;

    /// Returns the configuration in force; fails while the node has none.
    fn catalog(&self) -> impl Future<Output = Result<Arc<catalog::Catalog>, Error>> + Send;

    /// Returns the state of the node.
    fn status(&self) -> impl Future<Output = proto::StatusResponse> + Send;

    /// Returns the groups that the node knows; only those of `service`, unless it is empty.
    fn groups(&self, service: id::Service) -> impl Future<Output = Vec<proto::Group>> + Send;

    /// Returns the nodes that the node knows.
    fn nodes(&self) -> impl Future<Output = Vec<proto::Node>> + Send;

    /// Returns recent changes, the oldest first.
    fn history(&self) -> impl Future<Output = Vec<proto::HistoryEntry>> + Send;

    /// Returns the held events that the request asks for, followed by new events as they happen.
    fn follow(
        &self,
        request: proto::FollowEventsRequest,
    ) -> impl Future<Output = Self::Events> + Send;

    /// Returns the requested events that the node still holds.
    fn timeline(
        &self,
        request: proto::TimelineRequest,
    ) -> impl Future<Output = proto::TimelineResponse> + Send;
}

/// gRPC service that checks permissions and passes calls to a backend.
#[derive(Debug)]
pub struct Service<B> {
    backend: Arc<B>,
    operators: Operators,
    shutdown: CancellationToken,
}

/// Serves the interface on accepted connections, plain TCP or TLS, until `shutdown` is cancelled
/// and the calls in progress have ended. Event streams end as soon as `shutdown` is cancelled.
///
/// # Errors
///
/// The transport failed.
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
        .http2_keepalive_interval(Some(KEEP_ALIVE_INTERVAL))
        .http2_keepalive_timeout(Some(KEEP_ALIVE_TIMEOUT))
        .add_service(service)
        .serve_with_incoming_shutdown(connections, shutdown.cancelled_owned())
        .await
}

/// Access
impl<B> Service<B> {
    /// Authenticates the operator and checks the role; returns the operator's name and the message.
    #[allow(clippy::result_large_err)]
    fn authorize<T>(&self, request: Request<T>, role: Role) -> Result<(String, T), Status> {
        let operator = self.operators.authenticate(request.metadata(), role)?;
        Ok((operator, request.into_inner()))
    }
}

/// Result of a call.
type CallResult<T> = Result<Response<T>, Status>;

#[tonic::async_trait]
impl<B: Backend> operator_server::Operator for Service<B> {
    async fn apply(
        &self,
        request: Request<proto::ApplyRequest>,
    ) -> CallResult<proto::ApplyResponse> {
        let (operator, request) = self.authorize(request, Role::Write)?;
        let record = convert::to_record(request, operator)
            .map_err(|error| Error::Invalid(error.to_string()))?;
        let Receipt { revision, repeated } = self.backend.apply(record).await?;
        Ok(Response::new(proto::ApplyResponse { revision, repeated }))
    }

    async fn get_catalog(
        &self,
        request: Request<proto::GetCatalogRequest>,
    ) -> CallResult<proto::GetCatalogResponse> {
        self.authorize(request, Role::Read)?;
        let catalog = self.backend.catalog().await?;
        Ok(Response::new(convert::from_catalog(&catalog)))
    }

    async fn status(
        &self,
        request: Request<proto::StatusRequest>,
    ) -> CallResult<proto::StatusResponse> {
        self.authorize(request, Role::Read)?;
        Ok(Response::new(self.backend.status().await))
    }

    async fn list_groups(
        &self,
        request: Request<proto::ListGroupsRequest>,
    ) -> CallResult<proto::ListGroupsResponse> {
        let (_, request) = self.authorize(request, Role::Read)?;
        let groups = self.backend.groups(request.service).await;
        Ok(Response::new(proto::ListGroupsResponse { groups }))
    }

    async fn list_nodes(
        &self,
        request: Request<proto::ListNodesRequest>,
    ) -> CallResult<proto::ListNodesResponse> {
        self.authorize(request, Role::Read)?;
        let nodes = self.backend.nodes().await;
        Ok(Response::new(proto::ListNodesResponse { nodes }))
    }

    async fn history(
        &self,
        request: Request<proto::HistoryRequest>,
    ) -> CallResult<proto::HistoryResponse> {
        let (_, request) = self.authorize(request, Role::Read)?;
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
    ) -> CallResult<Self::FollowEventsStream> {
        let (_, request) = self.authorize(request, Role::Read)?;
        let events = self.backend.follow(request).await;
        let shutdown = self.shutdown.clone().cancelled_owned();
        Ok(Response::new(Box::pin(events.take_until(shutdown).map(Ok))))
    }

    async fn timeline(
        &self,
        request: Request<proto::TimelineRequest>,
    ) -> CallResult<proto::TimelineResponse> {
        let (_, request) = self.authorize(request, Role::Read)?;
        Ok(Response::new(self.backend.timeline(request).await))
    }
}
