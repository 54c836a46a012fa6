//! HTTP client of the tests.

use std::{fmt::Display, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde_json::Value;

/// Time limit of a call.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(10);

/// A response; `status` is 0 if the connection failed and 1 if the call timed out.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    pub(crate) text: String,
}

impl Answer {
    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap_or_default()
    }

    pub(crate) fn code(&self) -> String {
        self.json()["error"]["code"].as_str().unwrap_or_default().to_owned()
    }

    fn without_response(status: u16) -> Answer {
        Answer { status, headers: HeaderMap::new(), text: String::new() }
    }
}

pub(crate) async fn get(address: impl Display, path: &str) -> Answer {
    call(Method::GET, address, path, &[], String::new()).await
}

pub(crate) async fn post(address: impl Display, path: &str, body: &Value) -> Answer {
    call(Method::POST, address, path, &[], body.to_string()).await
}

/// Sends a request on a new connection.
pub(crate) async fn call(
    method: Method,
    address: impl Display,
    path: &str,
    headers: &[(&str, &str)],
    body: String,
) -> Answer {
    with_timeout(TIMEOUT, request(method, address, path, headers, body)).await
}

/// Sends a GET request with a time limit.
pub(crate) async fn get_within(limit: Duration, address: SocketAddr, path: &str) -> Answer {
    with_timeout(limit, request(Method::GET, address, path, &[], String::new())).await
}

async fn with_timeout(limit: Duration, call: impl Future<Output = Answer>) -> Answer {
    tokio::time::timeout(limit, call).await.unwrap_or(Answer::without_response(1))
}

async fn request(
    method: Method,
    address: impl Display,
    path: &str,
    headers: &[(&str, &str)],
    body: String,
) -> Answer {
    let client: Client<HttpConnector, Full<Bytes>> =
        Client::builder(TokioExecutor::new()).build(HttpConnector::new());
    let mut request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header("content-type", "application/json");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(Bytes::from(body))).expect("the request is valid");
    let Ok(response) = client.request(request).await else { return Answer::without_response(0) };
    let (head, body) = response.into_parts();
    let Ok(body) = body.collect().await else { return Answer::without_response(0) };
    let text = String::from_utf8_lossy(&body.to_bytes()).into_owned();
    Answer { status: head.status.as_u16(), headers: head.headers, text }
}
