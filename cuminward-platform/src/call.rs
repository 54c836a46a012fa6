//! One JSON exchange over HTTP with a deadline.

use std::{fmt, time::Duration};

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::{
    client::legacy::{self, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// Largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Time after which an unused connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Calls one HTTP service.
#[derive(Debug, Clone)]
pub struct Client {
    http: legacy::Client<HttpConnector, Full<Bytes>>,
    authority: String,
}

/// Why a call failed, and what that says about its effect.
#[derive(Debug, Clone, PartialEq)]
pub enum Error {
    /// The service refused the call; it had no effect.
    Refused(Refusal),
    /// The service can't be reached or is out of order; the call had no effect.
    Unavailable(String),
    /// The answer is missing or can't be understood; the call may have had its effect.
    Unknown(String),
}

/// An error answer of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Refusal {
    /// HTTP status.
    pub status: u16,
    /// Code for programs.
    pub code: String,
    /// Explanation for people.
    pub message: String,
    /// Whole body, for codes that carry more.
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
    /// Makes a client of the service at an IP address and port.
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
    /// Any [`Error`]; reading has no effect, so all of them may be repeated.
    pub async fn get<T: DeserializeOwned>(&self, path: &str, limit: Duration) -> Result<T, Error> {
        self.exchange(Method::GET, path, Bytes::new(), limit).await
    }

    /// Posts a JSON body.
    ///
    /// # Errors
    ///
    /// [`Error::Unknown`] if the post may have had its effect, else [`Error::Refused`] or
    /// [`Error::Unavailable`].
    pub async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
        limit: Duration,
    ) -> Result<T, Error> {
        let bytes = serde_json::to_vec(body)
            .map_err(|error| Error::Unavailable(format!("body can't be written: {error}")))?;
        self.exchange(Method::POST, path, bytes.into(), limit).await
    }

    async fn exchange<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<T, Error> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.authority))
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|error| Error::Unavailable(format!("bad address: {error}")))?;
        let answer = tokio::time::timeout(limit, self.send(request)).await;
        answer.unwrap_or_else(|_| Err(Error::Unknown(format!("no answer within {limit:?}"))))
    }

    async fn send<T: DeserializeOwned>(&self, request: Request<Full<Bytes>>) -> Result<T, Error> {
        let response = self.http.request(request).await.map_err(|error| classify(&error))?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
        let bytes = body
            .collect()
            .await
            .map_err(|error| Error::Unknown(format!("answer was cut off: {error}")))?
            .to_bytes();
        if status.is_success() {
            return serde_json::from_slice(&bytes)
                .map_err(|error| Error::Unknown(format!("answer isn't understood: {error}")));
        }
        Err(refusal(status, &bytes))
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

/// A request that found no connection was never sent; any other failure may have come after it.
fn classify(error: &legacy::Error) -> Error {
    if error.is_connect() {
        return Error::Unavailable(format!("no connection: {error}"));
    }
    Error::Unknown(error.to_string())
}

fn refusal(status: StatusCode, bytes: &[u8]) -> Error {
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
