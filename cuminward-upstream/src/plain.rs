//! Client of plain services.

use std::time::Duration;

use http::{HeaderMap, HeaderName, Request, Response, StatusCode, header};

use crate::{
    body::Body,
    connection::Payload,
    error::{Answer, Error},
    pool,
};

/// Header of an answer which says that nothing ran.
pub const NOT_RUN_HEADER: HeaderName = HeaderName::from_static("cuminward-not-run");

/// Headers that hold for one connection only.
const HOP_HEADERS: [HeaderName; 9] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Client of all plain services; clones share connections. `B` is the body of the caller's request,
/// which is passed on without being collected.
pub struct Client<B> {
    pool: pool::Pool<B>,
}

impl<B> Clone for Client<B> {
    fn clone(&self) -> Client<B> {
        Client { pool: self.pool.clone() }
    }
}

/// Life cycle
impl<B: Payload> Client<B> {
    /// Makes a client without connections.
    pub fn new(options: pool::Options) -> Client<B> {
        Client { pool: pool::Pool::new(options) }
    }
}

/// Access
impl<B: Payload> Client<B> {
    /// Connections of the client.
    pub fn pool(&self) -> &pool::Pool<B> {
        &self.pool
    }

    /// Passes a request to a host and returns the head of its answer with the body still to come.
    /// Answers of every status are passed back, but for a 503 that says that nothing ran.
    ///
    /// `timeout` bounds the time to the head of the answer.
    ///
    /// # Errors
    ///
    /// [`Error::Connect`] and [`Error::Refused`] say that nothing ran; with the first the request is
    /// given back. [`Error::Disconnected`] and [`Error::Timeout`] leave it open.
    pub async fn call(
        &self,
        address: &str,
        mut request: Request<B>,
        timeout: Duration,
    ) -> Result<Response<Body<B>>, pool::Failure<B>> {
        let options = self.pool.options();
        let idle = if request.method().is_safe() {
            options.idle_timeout
        } else {
            options.idle_timeout_unsafe
        };
        strip_hop_headers(request.headers_mut());
        let mut response = self.pool.send(address, request, idle, timeout).await?;
        if let Some(answer) = not_run(&response) {
            return Err(pool::Failure { error: Error::Refused(answer), request: None });
        }
        strip_hop_headers(response.headers_mut());
        Ok(response)
    }
}

/// Removes the headers that hold for one connection only; see RFC 9110, section 7.6.1.
pub fn strip_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|it| it.to_str().ok())
        .flat_map(|it| it.split(','))
        .filter_map(|it| it.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_HEADERS) {
        headers.remove(name);
    }
}

fn not_run<B>(response: &Response<Body<B>>) -> Option<Answer> {
    let marked = response.headers().get(NOT_RUN_HEADER).is_some_and(|it| it == "true");
    if !marked || response.status() != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    let retry_after_seconds = response
        .headers()
        .get(header::RETRY_AFTER)
        .and_then(|it| it.to_str().ok())
        .and_then(|it| it.parse().ok());
    Some(Answer {
        status: response.status().as_u16(),
        message: String::from("the host says that nothing ran"),
        retry_after_seconds,
        ..Answer::default()
    })
}
