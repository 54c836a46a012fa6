//! Client of model engines.

use std::time::Duration;

use bytes::Bytes;
use cuminward_core::{cache, host, id, outcome};
use derive_builder::Builder;
use http::{HeaderMap, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use serde::{Serialize, de::DeserializeOwned};
use tokio::{runtime, time};

use crate::{
    body::Body,
    connection::Protocol,
    error::{Answer, Error, Wire},
    generate, pool, relay,
};

/// Largest body of an answer other than a stream, in bytes.
const MAX_BODY: usize = 1 << 20;

/// Least time for which a connection that hosts are polled on is kept while idle.
pub(crate) const POLL_IDLE: Duration = Duration::from_secs(10);

/// Settings of the client.
#[derive(Debug, Clone, PartialEq, Builder)]
#[builder(default)]
pub struct Options {
    /// Connections for generation requests.
    pub pool: pool::Options,
    /// Longest time for a report or the cache's events.
    pub report_timeout: Duration,
    /// Longest time for an order.
    pub order_timeout: Duration,
    /// Longest time for a cancellation.
    pub cancel_timeout: Duration,
    /// Largest line of a stream, in bytes.
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
    /// Connections that carry generation requests.
    streams: pool::Pool<Full<Bytes>>,
    /// Connections that carry everything else.
    control: pool::Pool<Full<Bytes>>,
}

/// Cancellation of one request, to be started when its caller has left.
pub(crate) struct Cancel {
    client: Client,
    address: String,
    request: id::Request,
}

/// Life cycle
impl Client {
    /// Makes a client without connections.
    pub fn new(options: Options) -> Client {
        let streams = pool::Pool::new(options.pool.clone());
        let control =
            pool::Pool::new(pool::Options { protocol: Protocol::Http1, ..options.pool.clone() });
        Client { options, streams, control }
    }
}

/// Access
impl Client {
    /// Connections that carry generation requests.
    pub fn streams(&self) -> &pool::Pool<Full<Bytes>> {
        &self.streams
    }

    /// Connections that carry everything but generation requests.
    pub fn control(&self) -> &pool::Pool<Full<Bytes>> {
        &self.control
    }

    /// Settings of the client.
    pub fn options(&self) -> &Options {
        &self.options
    }

    /// Asks a host for its report.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; nothing on the host changes.
    pub async fn fetch_report(&self, address: &str) -> Result<host::Report, Error> {
        self.read(address, "/v1/host").await
    }

    /// Asks for the cache's events from an index on.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; nothing on the host changes.
    pub async fn fetch_cache_events(
        &self,
        address: &str,
        from: u64,
    ) -> Result<cache::Batch, Error> {
        self.read(address, &format!("/v1/cache-events?from={from}")).await
    }

    async fn read<T: DeserializeOwned>(&self, address: &str, path: &str) -> Result<T, Error> {
        let request = request(Method::GET, path, Bytes::new())?;
        self.call(address, request, self.options.report_timeout).await
    }

    /// Makes a call with a small JSON answer.
    async fn call<T: DeserializeOwned>(
        &self,
        address: &str,
        request: Request<Full<Bytes>>,
        bound: Duration,
    ) -> Result<T, Error> {
        let idle = self.options.pool.idle_timeout;
        let calling = async {
            let sent = self.control.send(address, request, idle, bound).await;
            let response = sent.map_err(|it| it.error)?;
            let response = accept(response).await?;
            let body = collect(response.into_body()).await?;
            serde_json::from_slice(&body)
                .map_err(|it| Error::Malformed { tokens: 0, message: it.to_string() })
        };
        match time::timeout(bound, calling).await {
            Ok(answer) => answer,
            Err(_) => Err(Error::Timeout { tokens: 0, limit: bound }),
        }
    }
}

/// Mutation
impl Client {
    /// Gives a host an order and returns its report after the order took effect.
    ///
    /// # Errors
    ///
    /// [`Error::Refused`] if the host did nothing; otherwise [`Error::outcome`] tells whether the
    /// order can have taken effect.
    pub async fn send_order(
        &self,
        address: &str,
        order: &impl Serialize,
    ) -> Result<host::Report, Error> {
        let body = json(order)?;
        let request = request(Method::POST, "/v1/orders", body)?;
        self.call(address, request, self.options.order_timeout).await
    }

    /// Starts a generation request. `head` bounds the time to the head of the answer.
    ///
    /// # Errors
    ///
    /// [`Error::Connect`] and [`Error::Refused`] say that nothing ran.
    pub async fn generate(
        &self,
        address: &str,
        body: &generate::Request,
        head: Duration,
    ) -> Result<generate::Chunks, Error> {
        let request = request(Method::POST, "/v1/generate", json(body)?)?;
        let cancel = Cancel {
            client: self.clone(),
            address: address.to_owned(),
            request: body.request.clone(),
        };
        self.start(address, request, Some(cancel), body.resume_at, head).await
    }

    /// Starts a generation at another node, which answers like an engine. `headers` are added to the
    /// request; the other node notices by the closed stream that it isn't wanted any more.
    ///
    /// # Errors
    ///
    /// [`Error::Connect`] and [`Error::Refused`] say that nothing ran.
    pub async fn relay(
        &self,
        address: &str,
        body: &relay::Request,
        headers: HeaderMap,
        head: Duration,
    ) -> Result<generate::Chunks, Error> {
        let mut request = request(Method::POST, relay::PATH, json(body)?)?;
        request.headers_mut().extend(headers);
        self.start(address, request, None, body.resume_at, head).await
    }

    async fn start(
        &self,
        address: &str,
        request: Request<Full<Bytes>>,
        cancel: Option<Cancel>,
        resume_at: u64,
        head: Duration,
    ) -> Result<generate::Chunks, Error> {
        let mut cancel = Guard(cancel);
        let sent = self.streams.send(address, request, self.options.pool.idle_timeout, head).await;
        let answer = match sent {
            Ok(response) => accept(response).await,
            Err(failure) => Err(failure.error),
        };
        let response = match answer {
            Ok(it) => it,
            Err(error) => {
                if error.outcome() == outcome::Outcome::NotRun {
                    cancel.0 = None;
                }
                return Err(error);
            }
        };
        let max_line_bytes = self.options.max_line_bytes;
        Ok(generate::Chunks::new(response.into_body(), resume_at, max_line_bytes, cancel.0.take()))
    }

    /// Cancels a generation request; returns whether it still ran.
    ///
    /// # Errors
    ///
    /// Any [`Error`].
    pub async fn cancel(&self, address: &str, request: &str) -> Result<bool, Error> {
        let path = format!("/v1/generate/{request}");
        let request = self::request(Method::DELETE, &path, Bytes::new())?;
        let answer: Cancelled = self.call(address, request, self.options.cancel_timeout).await?;
        Ok(answer.cancelled)
    }
}

/// Answer to a cancellation.
#[derive(Debug, serde::Deserialize)]
struct Cancelled {
    cancelled: bool,
}

/// Cancels a request when the future that starts it is dropped.
struct Guard(Option<Cancel>);

impl Drop for Guard {
    fn drop(&mut self) {
        if let Some(cancel) = self.0.take() {
            cancel.start();
        }
    }
}

impl Cancel {
    /// Cancels in the background. A failure is not reported: the engine also notices that the
    /// connection or stream was closed.
    pub(crate) fn start(self) {
        let Ok(runtime) = runtime::Handle::try_current() else { return };
        runtime.spawn(async move {
            if let Err(error) = self.client.cancel(&self.address, &self.request).await {
                log::debug!("cancelling {} failed: {error}", self.request);
            }
        });
    }
}

fn json(value: &impl Serialize) -> Result<Bytes, Error> {
    serde_json::to_vec(value).map(Bytes::from).map_err(|it| Error::Connect {
        address: String::new(),
        message: format!("the request can't be encoded: {it}"),
    })
}

fn request(method: Method, path: &str, body: Bytes) -> Result<Request<Full<Bytes>>, Error> {
    Request::builder()
        .method(method)
        .uri(path)
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(body))
        .map_err(|it| Error::Connect { address: String::new(), message: it.to_string() })
}

/// Turns an error answer into an error.
pub(crate) async fn accept(
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
    let wire: Wire = match collect(response.into_body()).await {
        Ok(body) => serde_json::from_slice(&body).unwrap_or_default(),
        Err(_) => Wire::default(),
    };
    let answer = Answer {
        status: status.as_u16(),
        code: wire.error.code,
        message: wire.error.message,
        fence: wire.fence.or(wire.error.fence),
        retry_after_seconds,
        tokens: 0,
    };
    Err(if says_not_run || is_not_run(status, &answer.code) {
        Error::Refused(answer)
    } else {
        Error::Answer(answer)
    })
}

/// The answers of the protocol which say that nothing ran.
fn is_not_run(status: StatusCode, code: &str) -> bool {
    matches!(
        (status.as_u16(), code),
        (409, "not-whole" | "stale-fence" | "in-group" | "other-group")
            | (429, "overloaded")
            | (503, "starting")
    )
}

pub(crate) async fn collect(body: Body<Full<Bytes>>) -> Result<Bytes, Error> {
    match Limited::new(body, MAX_BODY).collect().await {
        Ok(it) => Ok(it.to_bytes()),
        Err(error) => match error.downcast::<Error>() {
            Ok(error) => Err(*error),
            Err(error) => Err(Error::Malformed { tokens: 0, message: error.to_string() }),
        },
    }
}
