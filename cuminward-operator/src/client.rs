//! Client of the operator interface.

use std::{future::Future, time::Duration};

use cuminward_core::{catalog, change, id};
use derive_builder::Builder;
use tonic::{
    Request, Status, Streaming,
    metadata::{Ascii, MetadataValue},
    transport::{Certificate, Channel, ClientTlsConfig, Endpoint},
};

use crate::{
    convert,
    proto::{self, operator_client::OperatorClient},
    server::Receipt,
    status::Error,
};

/// Maximum size of a received message, in bytes.
const MAX_MESSAGE_BYTES: usize = 16 * 1024 * 1024;

/// Settings of a client.
#[derive(Debug, Clone, Builder)]
pub struct Options {
    /// Addresses of nodes, such as `http://10.0.0.1:7003`, in the order in which they are tried.
    pub endpoints: Vec<String>,
    /// Bearer token of the operator.
    pub token: String,
    /// CA certificates, as PEM, that verify the nodes' certificates; for `https` addresses.
    #[builder(default)]
    pub ca_certificates: Option<String>,
    /// Timeout of one connection attempt.
    #[builder(default = "Duration::from_secs(2)")]
    pub connect_timeout: Duration,
    /// Timeout of one call.
    #[builder(default = "Duration::from_secs(10)")]
    pub call_timeout: Duration,
    /// Maximum number of rounds in which all endpoints are tried; at least one is made.
    #[builder(default = "3")]
    pub rounds: u32,
    /// Delay between two rounds.
    #[builder(default = "Duration::from_millis(300)")]
    pub retry_delay: Duration,
}

/// Client of one or more nodes.
#[derive(Debug, Clone)]
pub struct Client {
    stubs: Vec<Stub>,
    options: Options,
    authorization: MetadataValue<Ascii>,
}

/// gRPC stub of one node.
#[derive(Debug, Clone)]
struct Stub {
    endpoint: String,
    operator: OperatorClient<Channel>,
}

/// Result of a call to one of several nodes.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer<T> {
    /// Address of the node.
    pub endpoint: String,
    /// The response, or why the call failed.
    pub result: Result<T, Error>,
}

/// Life cycle
impl Client {
    /// Creates a client; connections are opened when they are needed. Must be called within a tokio
    /// runtime.
    ///
    /// # Errors
    ///
    /// [`Error::Invalid`] if there is no endpoint, or an endpoint, the token or a certificate is
    /// malformed.
    pub fn new(options: Options) -> Result<Client, Error> {
        if options.endpoints.is_empty() {
            return Err(Error::Invalid("no endpoint is given".to_owned()));
        }
        let authorization = format!("Bearer {}", options.token).parse().map_err(|_| {
            Error::Invalid("the token has characters that a header can't hold".to_owned())
        })?;
        let stubs = options.endpoints.iter().map(|it| create_stub(it, &options));
        let stubs = stubs.collect::<Result<_, _>>()?;
        Ok(Client { stubs, options, authorization })
    }
}

/// Mutation
impl Client {
    /// Applies a change. Until its outcome is known or the rounds are used up, the change is resent
    /// with the same id, also to other nodes.
    ///
    /// # Errors
    ///
    /// [`Error::OutcomeUnknown`] if the change may have been applied, otherwise the error of the
    /// last attempt.
    pub async fn apply(
        &self,
        change: id::Change,
        expected: Option<id::Revision>,
        action: change::Action,
    ) -> Result<Receipt, Error> {
        let request = proto::ApplyRequest {
            change,
            expected_revision: expected,
            operator: String::new(),
            action: Some(convert::from_action(action)),
        };
        let send = |mut stub: OperatorClient<Channel>, request| async move {
            stub.apply(request).await.map(|it| it.into_inner())
        };
        let response = self.call_with_retries(&request, send).await?;
        Ok(Receipt { revision: response.revision, repeated: response.repeated })
    }
}

/// Access
impl Client {
    /// Returns the configuration in force.
    ///
    /// # Errors
    ///
    /// No node returned a valid configuration.
    pub async fn catalog(&self) -> Result<catalog::Catalog, Error> {
        let send = |mut stub: OperatorClient<Channel>, request| async move {
            stub.get_catalog(request).await.map(|it| it.into_inner())
        };
        let response = self.call_with_retries(&proto::GetCatalogRequest {}, send).await?;
        convert::to_catalog(response).map_err(|error| Error::Other(error.to_string()))
    }

    /// Returns the state of each node.
    pub async fn status(&self) -> Vec<Answer<proto::StatusResponse>> {
        let send = |mut stub: OperatorClient<Channel>, request| async move {
            stub.status(request).await.map(|it| it.into_inner())
        };
        self.call_all(&proto::StatusRequest {}, send).await
    }

    /// Returns the groups that each node knows; only those of `service`, unless it is empty.
    pub async fn groups(&self, service: id::Service) -> Vec<Answer<proto::ListGroupsResponse>> {
        let send = |mut stub: OperatorClient<Channel>, request| async move {
            stub.list_groups(request).await.map(|it| it.into_inner())
        };
        self.call_all(&proto::ListGroupsRequest { service }, send).await
    }

    /// Returns the nodes that the first responding node knows.
    ///
    /// # Errors
    ///
    /// No node returned a list.
    pub async fn nodes(&self) -> Result<Vec<proto::Node>, Error> {
        let send = |mut stub: OperatorClient<Channel>, request| async move {
            stub.list_nodes(request).await.map(|it| it.into_inner())
        };
        Ok(self.call_with_retries(&proto::ListNodesRequest {}, send).await?.nodes)
    }

    /// Returns the last `limit` changes, or all that are kept if `limit` is 0.
    ///
    /// # Errors
    ///
    /// No node returned a history.
    pub async fn history(&self, limit: u32) -> Result<Vec<proto::HistoryEntry>, Error> {
        let send = |mut stub: OperatorClient<Channel>, request| async move {
            stub.history(request).await.map(|it| it.into_inner())
        };
        Ok(self.call_with_retries(&proto::HistoryRequest { limit }, send).await?.entries)
    }

    /// Returns the events that each node still holds.
    pub async fn timeline(
        &self,
        request: &proto::TimelineRequest,
    ) -> Vec<Answer<proto::TimelineResponse>> {
        let send = |mut stub: OperatorClient<Channel>, request| async move {
            stub.timeline(request).await.map(|it| it.into_inner())
        };
        self.call_all(request, send).await
    }

    /// Follows the events of each node. The call timeout doesn't apply: a stream lasts until its
    /// node ends it.
    pub async fn follow(
        &self,
        request: &proto::FollowEventsRequest,
    ) -> Vec<Answer<Streaming<proto::Event>>> {
        let send = |mut stub: OperatorClient<Channel>, mut request: Request<_>| async move {
            request.metadata_mut().remove("grpc-timeout");
            stub.follow_events(request).await.map(|it| it.into_inner())
        };
        self.call_all(request, send).await
    }

    fn build_request<T>(&self, message: T) -> Request<T> {
        let mut request = Request::new(message);
        request.set_timeout(self.options.call_timeout);
        request.metadata_mut().insert("authorization", self.authorization.clone());
        request
    }

    /// Calls all nodes concurrently.
    async fn call_all<M, T, F, S>(&self, message: &M, send: S) -> Vec<Answer<T>>
    where
        M: Clone,
        S: Fn(OperatorClient<Channel>, Request<M>) -> F,
        F: Future<Output = Result<T, Status>>,
    {
        let calls = self.stubs.iter().map(|stub| {
            let call = send(stub.operator.clone(), self.build_request(message.clone()));
            async move {
                let result = call.await.map_err(Error::from);
                Answer { endpoint: stub.endpoint.clone(), result }
            }
        });
        futures::future::join_all(calls).await
    }

    /// Calls one node after another until one responds or returns a final error, or the rounds are
    /// used up.
    async fn call_with_retries<M, T, F, S>(&self, message: &M, send: S) -> Result<T, Error>
    where
        M: Clone,
        S: Fn(OperatorClient<Channel>, Request<M>) -> F,
        F: Future<Output = Result<T, Status>>,
    {
        let mut last: Option<Error> = None;
        for round in 0..self.options.rounds.max(1) {
            if round > 0 {
                tokio::time::sleep(self.options.retry_delay).await;
            }
            for stub in &self.stubs {
                let call = send(stub.operator.clone(), self.build_request(message.clone()));
                match call.await.map_err(Error::from) {
                    Ok(answer) => return Ok(answer),
                    Err(error) if is_final(&error) => return Err(final_error(last, error)),
                    Err(error) => last = Some(least_certain(last, error)),
                }
            }
        }
        Err(last.expect("there is at least one endpoint and one round"))
    }
}

/// Returns whether a retry at another node can't have a different result.
fn is_final(error: &Error) -> bool {
    match error {
        Error::Conflict { .. } | Error::Invalid(_) => true,
        Error::Unauthenticated(_) | Error::Forbidden(_) | Error::Other(_) => true,
        Error::Unavailable(_) | Error::OutcomeUnknown(_) | Error::Unreachable(_) => false,
    }
}

/// Returns the error for the caller after a final one. A node that evaluated the change knows its
/// outcome; one that rejected the call doesn't, so an earlier unknown outcome stays unknown.
fn final_error(earlier: Option<Error>, last: Error) -> Error {
    match last {
        Error::Conflict { .. } | Error::Invalid(_) => last,
        _ => least_certain(earlier, last),
    }
}

/// Returns the error of two failed attempts at one change. An unknown outcome takes precedence,
/// since the change may have been applied.
fn least_certain(first: Option<Error>, second: Error) -> Error {
    match first {
        Some(Error::OutcomeUnknown(reason)) => Error::OutcomeUnknown(reason),
        _ => second,
    }
}

fn create_stub(address: &str, options: &Options) -> Result<Stub, Error> {
    let invalid =
        |error: tonic::transport::Error| Error::Invalid(format!("endpoint `{address}`: {error}"));
    let mut endpoint = Endpoint::from_shared(address.to_owned())
        .map_err(invalid)?
        .connect_timeout(options.connect_timeout);
    if address.starts_with("https:") {
        let mut tls = ClientTlsConfig::new();
        if let Some(certificates) = &options.ca_certificates {
            tls = tls.ca_certificate(Certificate::from_pem(certificates));
        }
        endpoint = endpoint.tls_config(tls).map_err(invalid)?;
    }
    let operator =
        OperatorClient::new(endpoint.connect_lazy()).max_decoding_message_size(MAX_MESSAGE_BYTES);
    Ok(Stub { endpoint: address.to_owned(), operator })
}
