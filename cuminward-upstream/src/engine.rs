//! Client of model engines.

use std::time::Duration;

use bytes::Bytes;
use cuminward_core::{cache, host, id, outcome};
use derive_builder::Builder;
use http::{HeaderMap, Method, Request, Response, StatusCode, header};
use http_body_util::Full;
use serde::{Serialize, de::DeserializeOwned};
use tokio::{runtime, time};

use crate::{
    body::Body,
    connection::Protocol,
    error::{Answer, Envelope, Error},
    generate, pool, relay,
};

/// Maximum size of a response body other than a token stream, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Minimum idle timeout of the connections that hosts are polled on.
pub(crate) const MIN_POLL_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Settings of the client.
#[derive(Debug, Clone, PartialEq, Builder)]
#[builder(default)]
pub struct Options {
    /// Settings of the connection pools; the control connections always use HTTP/1.1.
    pub pool: pool::Options,
    /// Maximum time to fetch a report or cache events.
    pub report_timeout: Duration,
    /// Maximum time for an order.
    pub order_timeout: Duration,
    /// Maximum time for a cancellation.
    pub cancel_timeout: Duration,
    /// Maximum length of a line in a token stream, in bytes.
    pub max_line_bytes: usize,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            pool: pool::Options::default(),
            report_timeout: Duration::from_secs(1),
            order_timeout: Duration::from_secs(5),
            cancel_timeout: Duration::from_secs(2),
            max_line_bytes: 64 << 10,
        }
    }
}

/// Client of all engines; clones share connections.
#[derive(Clone)]
pub struct Client {
    options: Options,
    /// Connections of generation requests.
    streams: pool::Pool<Full<Bytes>>,
    /// Connections of all other requests.
    control: pool::Pool<Full<Bytes>>,
}

/// Cancellation of one request, sent when the caller no longer reads the response.
pub(crate) struct Cancellation {
    client: Client,
    address: String,
    request: id::Request,
}

/// Life cycle
impl Client {
    /// Creates a client; connections are opened when they are needed.
    pub fn new(options: Options) -> Client {
        let streams = pool::Pool::new(options.pool.clone());
        let control =
            pool::Pool::new(pool::Options { protocol: Protocol::Http1, ..options.pool.clone() });
        Client { options, streams, control }
    }
}

/// Access
impl Client {
    /// Returns the connection pool of generation requests.
    pub fn streams(&self) -> &pool::Pool<Full<Bytes>> {
        &self.streams
    }

    /// Returns the connection pool of all requests other than generations.
    pub fn control(&self) -> &pool::Pool<Full<Bytes>> {
        &self.control
    }

    /// Returns the settings of the client.
    pub fn options(&self) -> &Options {
        &self.options
    }

    /// Fetches the report of a host.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; the call has no effect on the host.
    pub async fn fetch_report(&self, address: &str) -> Result<host::Report, Error> {
        self.get(address, "/v1/host").await
    }

    /// Fetches the events of a host's KV cache, starting at index `from`.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; the call has no effect on the host.
    pub async fn fetch_cache_events(
        &self,
        address: &str,
        from: u64,
    ) -> Result<cache::Batch, Error> {
        self.get(address, &format!("/v1/cache-events?from={from}")).await
    }

    async fn get<T: DeserializeOwned>(&self, address: &str, path: &str) -> Result<T, Error> {
        let request = build_request(Method::GET, path, Bytes::new())?;
        self.call(address, request, self.options.report_timeout).await
    }

    /// Sends a request and parses the JSON response, within a time limit.
    async fn call<T: DeserializeOwned>(
        &self,
        address: &str,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<T, Error> {
        let idle_timeout = self.options.pool.idle_timeout;
        let exchange = async {
            let sent = self.control.send(address, request, idle_timeout, limit).await;
            let response = sent.map_err(|it| it.error)?;
            let response = check_status(response).await?;
            let body = read_body(response.into_body()).await?;
            serde_json::from_slice(&body)
                .map_err(|it| Error::Malformed { tokens: 0, message: it.to_string() })
        };
        match time::timeout(limit, exchange).await {
            Ok(answer) => answer,
            Err(_) => Err(Error::Timeout { tokens: 0, limit }),
        }
    }
}

/// Mutation
impl Client {
    /// Sends an order to a host and returns its report after the order took effect.
    ///
    /// # Errors
    ///
    /// [`Error::Refused`] if the host did not carry out the order; for other errors
    /// [`Error::outcome`] tells whether the order may have taken effect.
    pub async fn send_order(
        &self,
        address: &str,
        order: &impl Serialize,
    ) -> Result<host::Report, Error> {
        let body = to_json(order)?;
        let request = build_request(Method::POST, "/v1/orders", body)?;
        self.call(address, request, self.options.order_timeout).await
    }

    /// Starts a generation and returns its token stream. `header_timeout` is the maximum time to
    /// the response head. The request is cancelled when the returned future or stream is dropped
    /// early.
    ///
    /// # Errors
    ///
    /// After [`Error::Connect`] and [`Error::Refused`] the request has not run.
    pub async fn generate(
        &self,
        address: &str,
        body: &generate::Request,
        header_timeout: Duration,
    ) -> Result<generate::Chunks, Error> {
        let request = build_request(Method::POST, "/v1/generate", to_json(body)?)?;
        let cancel = Cancellation {
            client: self.clone(),
            address: address.to_owned(),
            request: body.request.clone(),
        };
        self.open_stream(address, request, Some(cancel), body.resume_at, header_timeout).await
    }

    /// Starts a generation at another node, which responds like an engine. `headers` are added to
    /// the request. No cancellation is sent: the other node detects it by the closed stream.
    ///
    /// # Errors
    ///
    /// After [`Error::Connect`] and [`Error::Refused`] the request has not run.
    pub async fn relay(
        &self,
        address: &str,
        body: &relay::Request,
        headers: HeaderMap,
        header_timeout: Duration,
    ) -> Result<generate::Chunks, Error> {
        let mut request = build_request(Method::POST, relay::PATH, to_json(body)?)?;
        request.headers_mut().extend(headers);
        self.open_stream(address, request, None, body.resume_at, header_timeout).await
    }

    async fn open_stream(
        &self,
        address: &str,
        request: Request<Full<Bytes>>,
        cancel: Option<Cancellation>,
        resume_at: u64,
        header_timeout: Duration,
    ) -> Result<generate::Chunks, Error> {
        let mut guard = CancelOnDrop(cancel);
        let sent = self
            .streams
            .send(address, request, self.options.pool.idle_timeout, header_timeout)
            .await;
        let answer = match sent {
            Ok(response) => check_status(response).await,
            Err(failure) => Err(failure.error),
        };
        let response = match answer {
            Ok(it) => it,
            Err(error) => {
                if error.outcome() == outcome::Outcome::NotRun {
                    guard.0 = None;
                }
                return Err(error);
            }
        };
        let max_line_bytes = self.options.max_line_bytes;
        Ok(generate::Chunks::new(response.into_body(), resume_at, max_line_bytes, guard.0.take()))
    }

    /// Cancels a generation request; returns whether it was still running.
    ///
    /// # Errors
    ///
    /// Any [`Error`].
    pub async fn cancel(&self, address: &str, request: &str) -> Result<bool, Error> {
        let path = format!("/v1/generate/{request}");
        let request = build_request(Method::DELETE, &path, Bytes::new())?;
        let response: CancelResponse =
            self.call(address, request, self.options.cancel_timeout).await?;
        Ok(response.cancelled)
    }
}

/// Response to a cancellation.
#[derive(Debug, serde::Deserialize)]
struct CancelResponse {
    cancelled: bool,
}

/// Cancels a request when the future that sends it is dropped.
struct CancelOnDrop(Option<Cancellation>);

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        if let Some(cancel) = self.0.take() {
            cancel.spawn();
        }
    }
}

impl Cancellation {
    /// Sends the cancellation in the background. A failure is only logged: the engine also detects
    /// that the connection or stream was closed.
    pub(crate) fn spawn(self) {
        let Ok(runtime) = runtime::Handle::try_current() else { return };
        runtime.spawn(async move {
            if let Err(error) = self.client.cancel(&self.address, &self.request).await {
                log::debug!("failed to cancel request {}: {error}", self.request);
            }
        });
    }
}

fn to_json(value: &impl Serialize) -> Result<Bytes, Error> {
    let encoded = serde_json::to_vec(value).map(Bytes::from);
    encoded.map_err(|it| Error::unsendable(&format!("the request can't be encoded: {it}")))
}

fn build_request(method: Method, path: &str, body: Bytes) -> Result<Request<Full<Bytes>>, Error> {
    Request::builder()
        .method(method)
        .uri(path)
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(body))
        .map_err(|it| Error::unsendable(&it))
}

/// Returns the response if its status is a success, else the error that its headers and body
/// describe.
pub(crate) async fn check_status(
    response: Response<Body<Full<Bytes>>>,
) -> Result<Response<Body<Full<Bytes>>>, Error> {
    if response.status().is_success() {
        return Ok(response);
    }
    let status = response.status();
    let says_not_run =
        response.headers().get(relay::OUTCOME_HEADER).is_some_and(|it| it == relay::NOT_RUN);
    let retry_after_seconds = response
        .headers()
        .get(header::RETRY_AFTER)
        .and_then(|it| it.to_str().ok())
        .and_then(|it| it.parse().ok());
    let mut body = response.into_body();
    // The responses of engines bear no id.
    body.record_refusal();
    let envelope: Envelope = match read_body(body).await {
        Ok(body) => serde_json::from_slice(&body).unwrap_or_default(),
        Err(_) => Envelope::default(),
    };
    let answer = Answer {
        status: status.as_u16(),
        code: envelope.error.code,
        message: envelope.error.message,
        fence: envelope.fence.or(envelope.error.fence),
        retry_after_seconds,
        tokens: 0,
    };
    Err(if says_not_run || is_not_run(status, &answer.code) {
        Error::Refused(answer)
    } else {
        Error::Answer(answer)
    })
}

/// Returns whether the status and code state, by the engine protocol, that the request did not run.
fn is_not_run(status: StatusCode, code: &str) -> bool {
    matches!(
        (status.as_u16(), code),
        (409, "not-whole" | "stale-fence" | "in-group" | "other-group")
            | (429, "overloaded")
            | (503, "starting")
    )
}

/// Reads a body of at most [`MAX_BODY_BYTES`].
pub(crate) async fn read_body(body: Body<Full<Bytes>>) -> Result<Bytes, Error> {
    body.read(MAX_BODY_BYTES).await
}
