//! Client of plain services.

use std::time::Duration;

use http::{HeaderMap, HeaderName, Request, Response, StatusCode, header};

use crate::{
    body::Body,
    connection::Payload,
    error::{Answer, Error},
    pool,
};

/// Header of a 503 response; `true` states that the request did not run.
pub const NOT_RUN_HEADER: HeaderName = HeaderName::from_static("cuminward-not-run");

/// Hop-by-hop headers, which apply to a single connection.
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

/// Client of all plain services; clones share connections. `B` is the type of request bodies, which
/// are streamed to the upstream without being buffered.
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
    /// Creates a client; connections are opened when they are needed.
    pub fn new(options: pool::Options) -> Client<B> {
        Client { pool: pool::Pool::new(options) }
    }
}

/// Access
impl<B: Payload> Client<B> {
    /// Returns the connection pool of the client.
    pub fn pool(&self) -> &pool::Pool<B> {
        &self.pool
    }

    /// Forwards a request to a host and returns the response once its head has arrived. Responses
    /// of every status are returned, except a 503 which states that the request did not run.
    ///
    /// `timeout` is the maximum time to the response head.
    ///
    /// # Errors
    ///
    /// After [`Error::Connect`] and [`Error::Refused`] the request has not run; the former comes
    /// with the request. After [`Error::Disconnected`] and [`Error::Timeout`] it may have run.
    pub async fn call(
        &self,
        address: &str,
        mut request: Request<B>,
        timeout: Duration,
    ) -> Result<Response<Body<B>>, pool::Failure<B>> {
        let options = self.pool.options();
        let idle_timeout = if request.method().is_safe() {
            options.idle_timeout
        } else {
            options.idle_timeout_unsafe
        };
        strip_hop_headers(request.headers_mut());
        let mut response = self.pool.send(address, request, idle_timeout, timeout).await?;
        if let Some(answer) = parse_refusal(&response) {
            let error = Error::Refused(answer);
            return Err(pool::Failure { error, request: None, stale_after: None });
        }
        strip_hop_headers(response.headers_mut());
        Ok(response)
    }
}

/// Removes the hop-by-hop headers; see RFC 9110, section 7.6.1.
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

/// Returns the error of a response which states that the request did not run.
fn parse_refusal<B>(response: &Response<Body<B>>) -> Option<Answer> {
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
