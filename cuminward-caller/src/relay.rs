//! Handler of generations that other nodes relay. Responds in the format of the engines' streams.

use axum::{
    body::Body,
    response::{IntoResponse, Response},
};
use bytes::Bytes;
use cuminward_core::outcome::{Cause, Refusal};
use cuminward_upstream::relay;
use futures::{Stream, StreamExt};
use http::{HeaderValue, header};
use serde_json::json;

use crate::backend;

/// Path of the route; see [`relay::PATH`].
pub(crate) const PATH: &str = relay::PATH;

/// Runs one relayed generation and returns a response that streams its events.
///
/// # Errors
///
/// A refusal if the request doesn't come from a node or is malformed, or the refusal of the backend.
pub(crate) async fn handle<B: backend::Backend>(
    backend: &B,
    mut context: backend::Context,
    body: &[u8],
) -> Result<Response, Refusal> {
    if context.relay.is_none() {
        return Err(Refusal::not_run(Cause::Forbidden, "only nodes may use this route"));
    }
    let request: relay::Request = serde_json::from_slice(body)
        .map_err(|it| Refusal::not_run(Cause::InvalidRequest, it.to_string()))?;
    context.deadline = Some(request.wait);
    let first = request.resume_at;
    let generation = backend::Generation {
        context,
        model: request.model,
        version: request.version,
        prompt: request.prompt,
        max_tokens: request.max_tokens,
        resume_at: request.resume_at,
    };
    let tokens = backend.generate(generation).await?;
    let mut response = Body::from_stream(lines(tokens, first)).into_response();
    let content_type = HeaderValue::from_static("application/x-ndjson");
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    Ok(response)
}

/// Encodes the events as lines of JSON; `first` is the index of the first token.
fn lines<T>(tokens: T, first: u64) -> impl Stream<Item = Result<Bytes, std::convert::Infallible>>
where
    T: Stream<Item = backend::Event>,
{
    let mut next = first;
    tokens.map(move |event| {
        let line = match event {
            backend::Event::Token(text) => {
                next += 1;
                json!({"token": next - 1, "text": text})
            }
            backend::Event::Finish(it) => json!({
                "finish": it.reason,
                "prompt_tokens": it.prompt_tokens,
                "cached_tokens": it.cached_tokens,
                "tokens": it.tokens,
            }),
            backend::Event::Failed(it) => {
                json!({"error": {"code": it.cause.as_str(), "message": it.message}})
            }
        };
        Ok(Bytes::from(format!("{line}\n")))
    })
}
