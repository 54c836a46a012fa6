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

/// A report with the tag under which the host knows it.
#[derive(Debug, Clone, PartialEq)]
pub struct Tagged {
    /// The report.
    pub report: host::Report,
    /// Entity tag; `None` if the host gives none.
    pub tag: Option<HeaderValue>,
}

impl Client {
    /// Asks a host for its report; `known` is what it last answered.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; nothing on the host changes.
    pub async fn poll(&self, address: &str, known: Option<&Tagged>) -> Result<Tagged, Error> {
        let bound = self.options().report;
        let polling = self.poll_unbounded(address, known, bound);
        time::timeout(bound, polling).await.map_err(|_| Error::Silent { tokens: 0, bound })?
    }

    async fn poll_unbounded(
        &self,
        address: &str,
        known: Option<&Tagged>,
        bound: Duration,
    ) -> Result<Tagged, Error> {
        let idle = self.options().pool.idle.max(engine::POLL_IDLE);
        let sent = self.control().send(address, request(known)?, idle, bound).await;
        let response = sent.map_err(|it| it.error)?;
        if let (StatusCode::NOT_MODIFIED, Some(known)) = (response.status(), known) {
            let load = load(response.headers());
            engine::collect(response.into_body()).await?;
            let report = host::Report { load, ..known.report.clone() };
            return Ok(Tagged { report, tag: known.tag.clone() });
        }
        let tag = response.headers().get(header::ETAG).cloned();
        let body = engine::collect(engine::accept(response).await?.into_body()).await?;
        let report = serde_json::from_slice(&body)
            .map_err(|it| Error::Malformed { tokens: 0, message: it.to_string() })?;
        Ok(Tagged { report, tag })
    }
}

fn request(known: Option<&Tagged>) -> Result<Request<Full<Bytes>>, Error> {
    let mut request = Request::builder().method(Method::GET).uri("/v1/host");
    if let Some(tag) = known.and_then(|it| it.tag.as_ref()) {
        request = request.header(header::IF_NONE_MATCH, tag);
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
