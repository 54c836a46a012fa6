//! Polls hosts for their reports with conditional requests, so that a report is sent only when it
//! has changed.

use bytes::Bytes;
use cuminward_core::host;
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode, header};
use http_body_util::Full;
use std::time::Duration;
use tokio::time;

use crate::{
    engine::{self, Client},
    error::Error,
};

/// Header of a 304 response that has the current load: running requests, queued requests, used part
/// of the KV cache in permille, and age in milliseconds, separated by spaces.
pub const LOAD_HEADER: &str = "cuminward-load";

/// A report with the entity tag that the host sent for it.
#[derive(Debug, Clone, PartialEq)]
pub struct Snapshot {
    /// The host's report.
    pub report: host::Report,
    /// Entity tag of the report; `None` if the host gives none.
    pub etag: Option<HeaderValue>,
}

impl Client {
    /// Fetches the report of a host. `previous` is the result of the last poll; if the host states
    /// that its report is unchanged, only the load is updated.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; the call has no effect on the host.
    pub async fn poll_report(
        &self,
        address: &str,
        previous: Option<&Snapshot>,
    ) -> Result<Snapshot, Error> {
        let limit = self.options().report_timeout;
        let exchange = self.poll_without_timeout(address, previous, limit);
        time::timeout(limit, exchange).await.map_err(|_| Error::Timeout { tokens: 0, limit })?
    }

    async fn poll_without_timeout(
        &self,
        address: &str,
        previous: Option<&Snapshot>,
        limit: Duration,
    ) -> Result<Snapshot, Error> {
        let idle_timeout = self.options().pool.idle_timeout.max(engine::MIN_POLL_IDLE_TIMEOUT);
        let sent =
            self.control().send(address, build_request(previous)?, idle_timeout, limit).await;
        let response = sent.map_err(|it| it.error)?;
        if let (StatusCode::NOT_MODIFIED, Some(previous)) = (response.status(), previous) {
            let load = parse_load(response.headers());
            engine::read_body(response.into_body()).await?;
            let report = host::Report { load, ..previous.report.clone() };
            return Ok(Snapshot { report, etag: previous.etag.clone() });
        }
        let etag = response.headers().get(header::ETAG).cloned();
        let body = engine::read_body(engine::check_status(response).await?.into_body()).await?;
        let report = serde_json::from_slice(&body)
            .map_err(|it| Error::Malformed { tokens: 0, message: it.to_string() })?;
        Ok(Snapshot { report, etag })
    }
}

fn build_request(previous: Option<&Snapshot>) -> Result<Request<Full<Bytes>>, Error> {
    let mut request = Request::builder().method(Method::GET).uri("/v1/host");
    if let Some(etag) = previous.and_then(|it| it.etag.as_ref()) {
        request = request.header(header::IF_NONE_MATCH, etag);
    }
    request.body(Full::new(Bytes::new())).map_err(|it| Error::unsendable(&it))
}

fn parse_load(headers: &HeaderMap) -> Option<host::Load> {
    let text = headers.get(LOAD_HEADER)?.to_str().ok()?;
    let mut numbers = text.split(' ').map(str::parse::<u32>);
    let mut next = || numbers.next()?.ok();
    Some(host::Load {
        running: next()?,
        queued: next()?,
        cache_permille: next()?,
        age: Duration::from_millis(next()?.into()),
    })
}
