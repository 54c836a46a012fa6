//! Converts refusals to error responses in the format of the model API.

use axum::response::{IntoResponse, Response};
use cuminward_core::{id, outcome};
use http::{HeaderValue, StatusCode, header};
use serde::Serialize;

use crate::header as names;

/// Refusal of one request, which converts to a response.
#[derive(Debug, Clone, PartialEq)]
pub struct Failure {
    /// Id of the request.
    pub request: id::Request,
    /// Cause of the refusal, and whether the request may have run.
    pub refusal: outcome::Refusal,
}

/// Body of an error response.
#[derive(Debug, Serialize)]
pub struct Body<'a> {
    error: Error<'a>,
}

#[derive(Debug, Serialize)]
struct Error<'a> {
    message: &'a str,
    r#type: &'static str,
    code: &'static str,
    cuminward_outcome: &'static str,
}

/// Life cycle
impl<'a> Body<'a> {
    /// Builds the body that describes a refusal.
    pub fn new(refusal: &'a outcome::Refusal) -> Body<'a> {
        let kind = match refusal.cause.status() {
            401 => "authentication_error",
            403 => "permission_error",
            429 => "rate_limit_error",
            400..=499 => "invalid_request_error",
            _ => "server_error",
        };
        Body {
            error: Error {
                message: &refusal.message,
                r#type: kind,
                code: refusal.cause.as_str(),
                cuminward_outcome: refusal.outcome.as_str(),
            },
        }
    }
}

impl IntoResponse for Failure {
    fn into_response(self) -> Response {
        let status = StatusCode::from_u16(self.refusal.cause.status())
            .expect("every cause has a valid status");
        let mut response = (status, axum::Json(Body::new(&self.refusal))).into_response();
        set_headers(&mut response, &self.request, self.refusal.outcome);
        if let Some(seconds) = self.refusal.retry_after_seconds {
            response.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}

/// Sets the headers that every response has: the request id and the outcome.
pub(crate) fn set_headers(response: &mut Response, request: &str, outcome: outcome::Outcome) {
    set_request_id(response, request);
    let value = HeaderValue::from_static(outcome.as_str());
    response.headers_mut().insert(names::OUTCOME, value);
}

/// Sets the header with the request id.
pub(crate) fn set_request_id(response: &mut Response, request: &str) {
    if let Ok(value) = HeaderValue::from_str(request) {
        response.headers_mut().insert(names::REQUEST, value);
    }
}
