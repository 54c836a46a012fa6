//! Asks a host again and again for its report, and gets it only when it has changed.

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

/// Header with the load, where the report itself is left out: requests that run, requests that wait,
/// used part of the KV cache in thousandths and age in milliseconds, with spaces between.
pub const LOAD_HEADER: &str = "cuminward-load";

/// A report with the entity tag that the host sent for it.
#[derive(Debug, Clone, PartialEq)]
pub struct Snapshot {
    /// The report.
    pub report: host::Report,
    /// Entity tag of the report; `None` if the host gives none.
    pub etag: Option<HeaderValue>,
}

impl Client {
    /// Asks a host for its report; `known` is what it last answered.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; nothing on the host changes.
    pub async fn poll_report(
        &self,
        address: &str,
        known: Option<&Snapshot>,
    ) -> Result<Snapshot, Error> {
        let bound = self.options().report_timeout;
        let polling = self.poll_unbounded(address, known, bound);
        time::timeout(bound, polling)
            .await
            .map_err(|_| Error::Timeout { tokens: 0, limit: bound })?
    }

    async fn poll_unbounded(
        &self,
        address: &str,
        known: Option<&Snapshot>,
        bound: Duration,
    ) -> Result<Snapshot, Error> {
        let idle = self.options().pool.idle_timeout.max(engine::POLL_IDLE);
        let sent = self.control().send(address, request(known)?, idle, bound).await;
        let response = sent.map_err(|it| it.error)?;
        if let (StatusCode::NOT_MODIFIED, Some(known)) = (response.status(), known) {
            let load = load(response.headers());
            engine::collect(response.into_body()).await?;
            let report = host::Report { load, ..known.report.clone() };
            return Ok(Snapshot { report, etag: known.etag.clone() });
        }
        let etag = response.headers().get(header::ETAG).cloned();
        let body = engine::collect(engine::accept(response).await?.into_body()).await?;
        let report = serde_json::from_slice(&body)
            .map_err(|it| Error::Malformed { tokens: 0, message: it.to_string() })?;
        Ok(Snapshot { report, etag })
    }
}

fn request(known: Option<&Snapshot>) -> Result<Request<Full<Bytes>>, Error> {
    let mut request = Request::builder().method(Method::GET).uri("/v1/host");
    if let Some(etag) = known.and_then(|it| it.etag.as_ref()) {
        request = request.header(header::IF_NONE_MATCH, etag);
    }
    request
        .body(Full::new(Bytes::new()))
        .map_err(|it| Error::Connect { address: String::new(), message: it.to_string() })
}

fn load(headers: &HeaderMap) -> Option<host::Load> {
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
