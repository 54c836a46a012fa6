//! Answers the generating routes of the model API.

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

/// Largest answer that is collected for a caller who doesn't want a stream, in bytes.
const MAX_COLLECTED_BYTES: usize = 4 * 1024 * 1024;

/// What all parts of one answer share.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Head {
    pub(crate) kind: Kind,
    pub(crate) request: id::Request,
    pub(crate) model: id::Model,
    pub(crate) created: u64,
}

/// Runs one generation and answers it as the caller wants it.
///
/// # Errors
///
/// The refusal of the body or of the backend; without a stream also the failure of the generation.
pub(crate) async fn answer<B: backend::Backend>(
    backend: &B,
    kind: Kind,
    context: backend::Context,
    body: &[u8],
) -> Result<Response, Refusal> {
    let parsed = api::parse(kind, body)?;
    let head = Head::new(kind, &context.request, &parsed.model);
    let generation = backend::Generation {
        context,
        model: parsed.model,
        version: parsed.version,
        prompt: parsed.prompt,
        max_tokens: parsed.max_tokens,
    };
    let tokens = backend.generate(generation).await?;
    if parsed.stream {
        return Ok(streamed(tokens, head));
    }
    collected(tokens, &head).await
}

/// Life cycle
impl Head {
    fn new(kind: Kind, request: &str, model: &str) -> Head {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Head {
            kind,
            request: request.to_owned(),
            model: model.to_owned(),
            created: since_epoch.as_secs(),
        }
    }
}

/// Access
impl Head {
    /// Makes a chunk of a streamed answer.
    pub(crate) fn chunk<'a>(&'a self, content: api::Content<'a>) -> api::Completion<'a> {
        let object = match self.kind {
            Kind::Chat => "chat.completion.chunk",
            Kind::Text => "text_completion",
        };
        self.completion(object, content)
    }

    fn whole<'a>(&'a self, text: &'a str, finish: &'a backend::Finish) -> api::Completion<'a> {
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

fn streamed<T>(tokens: T, head: Head) -> Response
where
    T: futures::Stream<Item = backend::Event> + Send + Unpin + 'static,
{
    let request = head.request.clone();
    let mut response = Response::new(Body::new(sse::Events::new(tokens, head)));
    let headers: &mut HeaderMap = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    headers.insert(header::TRAILER, HeaderValue::from_name(names::OUTCOME));
    failure::set_request(&mut response, &request);
    response
}

async fn collected<T>(mut tokens: T, head: &Head) -> Result<Response, Refusal>
where
    T: futures::Stream<Item = backend::Event> + Unpin,
{
    let mut text = String::new();
    while let Some(event) = tokens.next().await {
        match event {
            backend::Event::Token(token) => text.push_str(&token),
            backend::Event::Failed(refusal) => return Err(refusal),
            backend::Event::Finish(finish) => {
                let mut response = axum::Json(head.whole(&text, &finish)).into_response();
                failure::stamp(&mut response, &head.request, Outcome::Complete);
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
