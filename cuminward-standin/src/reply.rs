//! Responses and time stamps that all stand-ins share.

use std::time::{SystemTime, UNIX_EPOCH};

use axum::{
    Json,
    response::{IntoResponse, Response},
};
use http::StatusCode;
use serde_json::{Value, json};

/// Builds an error response with the body `{"error": {"code", "message"}}`.
pub(crate) fn error(status: u16, code: &str, message: &str) -> Response {
    error_with(status, code, message, &[])
}

/// Builds an error response with further fields next to `error`.
pub(crate) fn error_with(
    status: u16,
    code: &str,
    message: &str,
    fields: &[(&str, u64)],
) -> Response {
    let status = StatusCode::from_u16(status).expect("callers pass constant valid codes");
    let mut body = json!({"error": {"code": code, "message": message}});
    for (name, value) in fields {
        body[*name] = Value::from(*value);
    }
    (status, Json(body)).into_response()
}

/// Returns the wall time in milliseconds since the Unix epoch.
pub(crate) fn wall_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since_epoch.as_millis() as u64
}
