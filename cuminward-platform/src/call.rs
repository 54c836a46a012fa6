//! JSON calls over HTTP with a timeout.

use std::{fmt, time::Duration};

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::{
    client::legacy::{self, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// Largest response body that is read, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Time after which an unused connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Client of one HTTP service.
#[derive(Debug, Clone)]
pub struct Client {
    http: legacy::Client<HttpConnector, Full<Bytes>>,
    authority: String,
}

/// Error of a call, classified by whether the call may have taken effect.
#[derive(Debug, Clone, PartialEq)]
pub enum Error {
    /// The service refused the call; the call had no effect.
    Refused(Refusal),
    /// The service can't be reached or reports that it is unavailable; the call had no effect.
    Unavailable(String),
    /// The response is missing or can't be decoded; the call may have taken effect.
    Unknown(String),
}

/// Error response of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Refusal {
    /// HTTP status code.
    pub status: u16,
    /// Machine-readable error code; the HTTP status if the body has none.
    pub code: String,
    /// Human-readable message; empty if the body has none.
    pub message: String,
    /// Whole response body, since some errors have further fields; null if the body isn't JSON.
    pub body: serde_json::Value,
}

#[derive(Deserialize)]
struct ErrorBody {
    error: ErrorText,
}

#[derive(Deserialize)]
struct ErrorText {
    code: String,
    message: String,
}

/// Life cycle
impl Client {
    /// Creates a client of the service at `authority`, an IP address and port.
    pub fn new(authority: impl Into<String>) -> Client {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_secs(1)));
        let http = legacy::Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .retry_canceled_requests(false)
            .build(connector);
        Client { http, authority: authority.into() }
    }
}

/// Access
impl Client {
    /// Reads a resource.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; a read has no effect, so it may be repeated after any of them.
    pub async fn get<T: DeserializeOwned>(
        &self,
        path: &str,
        timeout: Duration,
    ) -> Result<T, Error> {
        self.exchange(Method::GET, path, Bytes::new(), timeout).await
    }

    /// Posts a JSON body.
    ///
    /// # Errors
    ///
    /// [`Error::Unknown`] if the call may have taken effect, otherwise [`Error::Refused`] or
    /// [`Error::Unavailable`].
    pub async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
        timeout: Duration,
    ) -> Result<T, Error> {
        let bytes = serde_json::to_vec(body)
            .map_err(|error| Error::Unavailable(format!("body can't be written: {error}")))?;
        self.exchange(Method::POST, path, bytes.into(), timeout).await
    }

    /// Sends a request and decodes the response, within `timeout`.
    async fn exchange<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<T, Error> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.authority))
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|error| Error::Unavailable(format!("bad address: {error}")))?;
        let result = tokio::time::timeout(timeout, self.send(request)).await;
        result.unwrap_or_else(|_| Err(Error::Unknown(format!("no answer within {timeout:?}"))))
    }

    async fn send<T: DeserializeOwned>(&self, request: Request<Full<Bytes>>) -> Result<T, Error> {
        let response =
            self.http.request(request).await.map_err(|error| classify_failure(&error))?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
        let bytes = body
            .collect()
            .await
            .map_err(|error| Error::Unknown(format!("answer was cut off: {error}")))?
            .to_bytes();
        if status.is_success() {
            return serde_json::from_slice(&bytes)
                .map_err(|error| Error::Unknown(format!("answer isn't understood: {error}")));
        }
        Err(classify_status(status, &bytes))
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Refused(refusal) => write!(f, "refused ({}): {}", refusal.code, refusal.message),
            Error::Unavailable(message) => write!(f, "unavailable: {message}"),
            Error::Unknown(message) => write!(f, "outcome unknown: {message}"),
        }
    }
}

impl std::error::Error for Error {}

/// Converts an HTTP client error. If no connection could be opened, the request was never sent; any
/// other failure may have happened after the request was sent.
fn classify_failure(error: &legacy::Error) -> Error {
    if error.is_connect() {
        return Error::Unavailable(format!("no connection: {error}"));
    }
    Error::Unknown(error.to_string())
}

/// Converts an error response. Gateway errors (502, 504) leave open whether the call took effect.
fn classify_status(status: StatusCode, bytes: &[u8]) -> Error {
    let body: serde_json::Value = serde_json::from_slice(bytes).unwrap_or_default();
    let text = ErrorBody::deserialize(&body).map_or_else(
        |_| ErrorText { code: status.to_string(), message: String::new() },
        |body| body.error,
    );
    match status {
        StatusCode::GATEWAY_TIMEOUT | StatusCode::BAD_GATEWAY => {
            Error::Unknown(format!("{}: {}", text.code, text.message))
        }
        StatusCode::SERVICE_UNAVAILABLE => {
            Error::Unavailable(format!("{}: {}", text.code, text.message))
        }
        _ => Error::Refused(Refusal {
            status: status.as_u16(),
            code: text.code,
            message: text.message,
            body,
        }),
    }
}
