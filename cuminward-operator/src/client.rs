//! The client of the operators' interface.

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

/// Largest message that the client reads, in bytes.
const MAX_MESSAGE_BYTES: usize = 16 * 1024 * 1024;

/// Settings of a client.
#[derive(Debug, Clone, Builder)]
pub struct Options {
    /// Addresses of nodes, such as `http://10.0.0.1:7003`; tried in this order.
    pub endpoints: Vec<String>,
    /// Bearer token of the operator.
    pub token: String,
    /// Certificates in PEM that the nodes' certificates are checked with; for `https` addresses.
    #[builder(default)]
    pub ca_certificates: Option<String>,
    /// Time that one connection attempt may take.
    #[builder(default = "Duration::from_secs(2)")]
    pub connect_timeout: Duration,
    /// Time that one call may take.
    #[builder(default = "Duration::from_secs(10)")]
    pub call_timeout: Duration,
    /// Times that all endpoints are tried.
    #[builder(default = "3")]
    pub rounds: u32,
    /// Pause between two rounds.
    #[builder(default = "Duration::from_millis(300)")]
    pub retry_delay: Duration,
}

/// A client over one or more nodes.
#[derive(Debug, Clone)]
pub struct Client {
    stubs: Vec<Stub>,
    options: Options,
    authorization: MetadataValue<Ascii>,
}

/// A connection to one node.
#[derive(Debug, Clone)]
struct Stub {
    endpoint: String,
    operator: OperatorClient<Channel>,
}

/// An answer and the endpoint that gave it.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer<T> {
    /// Address of the node.
    pub endpoint: String,
    /// What the node answered.
    pub result: Result<T, Error>,
}

/// Life cycle
impl Client {
    /// Makes a client; connections are opened when they are needed.
    ///
    /// Needs a tokio runtime.
    pub fn new(options: Options) -> Result<Client, Error> {
        if options.endpoints.is_empty() {
            return Err(Error::Invalid("no endpoint is given".to_owned()));
        }
        let authorization = format!("Bearer {}", options.token).parse().map_err(|_| {
            Error::Invalid("the token has characters that can't be sent".to_owned())
        })?;
        let stubs = options.endpoints.iter().map(|it| connect(it, &options));
        let stubs = stubs.collect::<Result<_, _>>()?;
        Ok(Client { stubs, options, authorization })
    }
}

/// Mutation
impl Client {
    /// Applies a change; resends it with the same id, also to other nodes, until its outcome is known or
    /// the rounds are used up.
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
        let response = self.retry(&request, send).await?;
        Ok(Receipt { revision: response.revision, repeated: response.repeated })
    }
}

/// Access
impl Client {
    /// Reads the configuration in force.
    pub async fn catalog(&self) -> Result<catalog::Catalog, Error> {
        let send = |mut stub: OperatorClient<Channel>, request| async move {
            stub.get_catalog(request).await.map(|it| it.into_inner())
        };
        let response = self.retry(&proto::GetCatalogRequest {}, send).await?;
        convert::to_catalog(response).map_err(|error| Error::Other(error.to_string()))
    }

    /// Reads the state of each node.
    pub async fn status(&self) -> Vec<Answer<proto::StatusResponse>> {
        let send = |mut stub: OperatorClient<Channel>, request| async move {
            stub.status(request).await.map(|it| it.into_inner())
        };
        self.each(&proto::StatusRequest {}, send).await
    }

    /// Lists groups, as each node knows them.
    pub async fn groups(&self, service: id::Service) -> Vec<Answer<proto::ListGroupsResponse>> {
        let send = |mut stub: OperatorClient<Channel>, request| async move {
            stub.list_groups(request).await.map(|it| it.into_inner())
        };
        self.each(&proto::ListGroupsRequest { service }, send).await
    }

    /// Lists nodes, as the first node that answers knows them.
    pub async fn nodes(&self) -> Result<Vec<proto::Node>, Error> {
        let send = |mut stub: OperatorClient<Channel>, request| async move {
            stub.list_nodes(request).await.map(|it| it.into_inner())
        };
        Ok(self.retry(&proto::ListNodesRequest {}, send).await?.nodes)
    }

    /// Lists the last `limit` changes, or all that are kept for 0.
    pub async fn history(&self, limit: u32) -> Result<Vec<proto::HistoryEntry>, Error> {
        let send = |mut stub: OperatorClient<Channel>, request| async move {
            stub.history(request).await.map(|it| it.into_inner())
        };
        Ok(self.retry(&proto::HistoryRequest { limit }, send).await?.entries)
    }

    /// Reads the events that each node still holds.
    pub async fn timeline(
        &self,
        request: &proto::TimelineRequest,
    ) -> Vec<Answer<proto::TimelineResponse>> {
        let send = |mut stub: OperatorClient<Channel>, request| async move {
            stub.timeline(request).await.map(|it| it.into_inner())
        };
        self.each(request, send).await
    }

    /// Follows the events of each node; the streams last until the nodes end them.
    pub async fn follow(
        &self,
        request: &proto::FollowEventsRequest,
    ) -> Vec<Answer<Streaming<proto::Event>>> {
        let send = |mut stub: OperatorClient<Channel>, mut request: Request<_>| async move {
            request.metadata_mut().remove("grpc-timeout");
            stub.follow_events(request).await.map(|it| it.into_inner())
        };
        self.each(request, send).await
    }

    fn request<T>(&self, message: T) -> Request<T> {
        let mut request = Request::new(message);
        request.set_timeout(self.options.call_timeout);
        request.metadata_mut().insert("authorization", self.authorization.clone());
        request
    }

    /// Calls every node at the same time.
    async fn each<M, T, F, S>(&self, message: &M, send: S) -> Vec<Answer<T>>
    where
        M: Clone,
        S: Fn(OperatorClient<Channel>, Request<M>) -> F,
        F: Future<Output = Result<T, Status>>,
    {
        let calls = self.stubs.iter().map(|stub| {
            let call = send(stub.operator.clone(), self.request(message.clone()));
            async move {
                let result = call.await.map_err(Error::from);
                Answer { endpoint: stub.endpoint.clone(), result }
            }
        });
        futures::future::join_all(calls).await
    }

    /// Calls one node after the other until one gives a final answer.
    async fn retry<M, T, F, S>(&self, message: &M, send: S) -> Result<T, Error>
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
                let call = send(stub.operator.clone(), self.request(message.clone()));
                match call.await.map_err(Error::from) {
                    Ok(answer) => return Ok(answer),
                    Err(error) if is_final(&error) => return Err(conclude(last, error)),
                    Err(error) => last = Some(worse(last, error)),
                }
            }
        }
        Err(last.expect("there is at least one endpoint and one round"))
    }
}

/// Tells whether another node could not give another answer.
fn is_final(error: &Error) -> bool {
    match error {
        Error::Conflict { .. } | Error::Invalid(_) => true,
        Error::Unauthenticated(_) | Error::Forbidden(_) | Error::Other(_) => true,
        Error::Unavailable(_) | Error::OutcomeUnknown(_) | Error::Unreachable(_) => false,
    }
}

/// A node that judged the change knows its outcome; one that turned the call away doesn't.
fn conclude(earlier: Option<Error>, last: Error) -> Error {
    match last {
        Error::Conflict { .. } | Error::Invalid(_) => last,
        _ => worse(earlier, last),
    }
}

/// Of two failed attempts of one change the one that leaves more open decides.
fn worse(first: Option<Error>, second: Error) -> Error {
    match first {
        Some(Error::OutcomeUnknown(reason)) => Error::OutcomeUnknown(reason),
        _ => second,
    }
}

fn connect(address: &str, options: &Options) -> Result<Stub, Error> {
    let invalid =
        |error: tonic::transport::Error| Error::Invalid(format!("endpoint `{address}`: {error}"));
    let mut endpoint = Endpoint::from_shared(address.to_owned())
        .map_err(invalid)?
        .connect_timeout(options.connect_timeout);
    if address.starts_with("https:") {
        let mut tls = ClientTlsConfig::new();
        if let Some(authority) = &options.ca_certificates {
            tls = tls.ca_certificate(Certificate::from_pem(authority));
        }
        endpoint = endpoint.tls_config(tls).map_err(invalid)?;
    }
    let operator =
        OperatorClient::new(endpoint.connect_lazy()).max_decoding_message_size(MAX_MESSAGE_BYTES);
    Ok(Stub { endpoint: address.to_owned(), operator })
}
