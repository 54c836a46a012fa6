//! HTTP client of a team that reads complete responses.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{self, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde_json::json;

use crate::declare;

/// Longest time that a caller waits for a complete response.
const TIMEOUT: Duration = Duration::from_secs(60);

/// HTTP client that authenticates with the key of a team.
#[derive(Debug, Clone)]
pub struct Caller {
    http: legacy::Client<HttpConnector, Full<Bytes>>,
    key: String,
}

/// A response whose body was received completely.
#[derive(Debug, Clone)]
pub struct Response {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers and trailers.
    pub headers: HeaderMap,
    /// Body.
    pub body: String,
}

/// Parameters of a call.
#[derive(Debug, Clone, Default)]
pub struct Call {
    /// HTTP method; GET by default.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Body.
    pub body: String,
    /// Idempotency key.
    pub key: Option<String>,
}

/// Life cycle
impl Caller {
    /// Creates a caller of a team.
    pub fn new(team: &declare::Team) -> Caller {
        let http = legacy::Client::builder(TokioExecutor::new()).build_http();
        Caller { http, key: team.key.to_owned() }
    }
}

/// Access
impl Caller {
    /// Sends a streamed chat request and reads the response to its end.
    ///
    /// # Errors
    ///
    /// A description of the failure if no complete response was received.
    pub async fn chat(
        &self,
        node: SocketAddr,
        text: &str,
        max_tokens: u32,
    ) -> Result<Response, String> {
        let body = json!({
            "model": declare::MODEL,
            "messages": [{"role": "user", "content": text}],
            "max_tokens": max_tokens,
            "stream": true,
        });
        let path = "/v1/chat/completions".to_owned();
        let call = Call { method: Method::POST, path, body: body.to_string(), key: None };
        self.send(node, &call).await
    }

    /// Sends a call and reads the complete response.
    ///
    /// # Errors
    ///
    /// A description of the failure if no complete response was received.
    pub async fn send(&self, node: SocketAddr, call: &Call) -> Result<Response, String> {
        let mut request = Request::builder()
            .method(&call.method)
            .uri(format!("http://{node}{}", call.path))
            .header("authorization", format!("Bearer {}", self.key))
            .header("content-type", "application/json")
            .header("te", "trailers");
        if let Some(key) = &call.key {
            request = request.header("idempotency-key", key);
        }
        let body = Full::new(Bytes::from(call.body.clone()));
        let request = request.body(body).map_err(|it| it.to_string())?;
        let exchange = self.exchange(request);
        tokio::time::timeout(TIMEOUT, exchange)
            .await
            .map_err(|_| "no complete response within the time limit".to_owned())?
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<Response, String> {
        let response = self.http.request(request).await.map_err(|it| format!("{it:?}"))?;
        let (parts, body) = response.into_parts();
        let collected =
            body.collect().await.map_err(|it| format!("the response body ended early: {it}"))?;
        let mut headers = parts.headers;
        headers.extend(collected.trailers().cloned().unwrap_or_default());
        let body = String::from_utf8_lossy(&collected.to_bytes()).into_owned();
        Ok(Response { status: parts.status, headers, body })
    }
}

/// Access
impl Response {
    /// Returns the header or trailer `cuminward-outcome`, which tells whether the request was
    /// executed; empty without one.
    pub fn outcome(&self) -> &str {
        let header = self.headers.get("cuminward-outcome");
        header.and_then(|it| it.to_str().ok()).unwrap_or_default()
    }

    /// Returns the concatenated text of a streamed chat.
    pub fn chat_text(&self) -> String {
        let chunks = self.body.lines().filter_map(|it| it.strip_prefix("data: "));
        let values = chunks.filter_map(|it| serde_json::from_str::<serde_json::Value>(it).ok());
        let content = |it: serde_json::Value| {
            it["choices"][0]["delta"]["content"].as_str().map(ToOwned::to_owned)
        };
        values.filter_map(content).collect()
    }

    /// Whether the streamed chat succeeded and ended with the `[DONE]` event.
    pub fn is_complete_chat(&self) -> bool {
        self.status == StatusCode::OK && self.body.ends_with("data: [DONE]\n\n")
    }
}
