//! Handler of the generation endpoints of the model API.

use std::time::{SystemTime, UNIX_EPOCH};

use axum::{
    body::Body,
    response::{IntoResponse, Response},
};
use cuminward_core::{
    id,
    outcome::{Cause, Outcome, Refusal},
};
use futures::StreamExt;
use http::{HeaderMap, HeaderValue, header};

use crate::{
    api::{self, Kind},
    backend, failure, header as names, sse,
};

/// Largest text that is collected for a response without streaming, in bytes.
const MAX_COLLECTED_BYTES: usize = 4 * 1024 * 1024;

/// Metadata that the response and all its chunks have in common.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Metadata {
    pub(crate) kind: Kind,
    pub(crate) request: id::Request,
    pub(crate) model: id::Model,
    pub(crate) created: u64,
}

/// Runs one generation and returns the response, streamed if the caller requested that.
///
/// # Errors
///
/// The refusal of an invalid body or by the backend; without streaming also the failure of the
/// generation.
pub(crate) async fn handle<B: backend::Backend>(
    backend: &B,
    kind: Kind,
    context: backend::Context,
    body: &[u8],
) -> Result<Response, Refusal> {
    let request = api::parse(kind, body)?;
    let metadata = Metadata::new(kind, &context.request, &request.model);
    let generation = backend::Generation {
        context,
        model: request.model,
        version: request.version,
        prompt: request.prompt,
        max_tokens: request.max_tokens,
        resume_at: 0,
    };
    let tokens = backend.generate(generation).await?;
    if request.stream {
        return Ok(stream_response(tokens, metadata));
    }
    collect_response(tokens, &metadata).await
}

/// Life cycle
impl Metadata {
    fn new(kind: Kind, request: &str, model: &str) -> Metadata {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Metadata {
            kind,
            request: request.to_owned(),
            model: model.to_owned(),
            created: since_epoch.as_secs(),
        }
    }
}

/// Access
impl Metadata {
    /// Builds a chunk of a streamed response.
    pub(crate) fn chunk<'a>(&'a self, content: api::Content<'a>) -> api::Completion<'a> {
        let object = match self.kind {
            Kind::Chat => "chat.completion.chunk",
            Kind::Text => "text_completion",
        };
        self.completion(object, content)
    }

    /// Builds the body of a whole response.
    fn whole_completion<'a>(
        &'a self,
        text: &'a str,
        finish: &'a backend::Finish,
    ) -> api::Completion<'a> {
        let (object, content) = match self.kind {
            Kind::Chat => {
                let reply = api::Reply { role: "assistant", content: text };
                ("chat.completion", api::Content::Message(reply))
            }
            Kind::Text => ("text_completion", api::Content::Text(text)),
        };
        let mut completion = self.completion(object, content);
        completion.choices[0].finish_reason = Some(&finish.reason);
        completion.usage = Some(api::Usage::from(finish));
        completion
    }

    fn completion<'a>(
        &'a self,
        object: &'static str,
        content: api::Content<'a>,
    ) -> api::Completion<'a> {
        api::Completion {
            id: &self.request,
            object,
            created: self.created,
            model: &self.model,
            choices: [api::Choice { index: 0, content, finish_reason: None }],
            usage: None,
            cuminward_outcome: None,
        }
    }
}

/// Returns a response that streams the tokens as server-sent events.
fn stream_response<T>(tokens: T, metadata: Metadata) -> Response
where
    T: futures::Stream<Item = backend::Event> + Send + Unpin + 'static,
{
    let request = metadata.request.clone();
    let mut response = Response::new(Body::new(sse::Events::new(tokens, metadata)));
    let headers: &mut HeaderMap = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    headers.insert(header::TRAILER, HeaderValue::from_name(names::OUTCOME));
    failure::set_request_id(&mut response, &request);
    response
}

/// Collects the tokens and returns them in one response.
async fn collect_response<T>(mut tokens: T, metadata: &Metadata) -> Result<Response, Refusal>
where
    T: futures::Stream<Item = backend::Event> + Unpin,
{
    let mut text = String::new();
    while let Some(event) = tokens.next().await {
        match event {
            backend::Event::Token(token) => text.push_str(&token),
            backend::Event::Failed(refusal) => return Err(refusal),
            backend::Event::Finish(finish) => {
                let mut response =
                    axum::Json(metadata.whole_completion(&text, &finish)).into_response();
                failure::set_headers(&mut response, &metadata.request, Outcome::Complete);
                return Ok(response);
            }
        }
        if MAX_COLLECTED_BYTES < text.len() {
            let message = "the answer is too large without a stream";
            return Err(Refusal::unknown(Cause::TooLarge, message));
        }
    }
    Err(Refusal::unknown(Cause::UpstreamFailed, "the generation ended early"))
}
