//! Generation requests and their token streams.

use std::{
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use cuminward_core::id;
use cuminward_derive::{record, value};
use futures::Stream;
use http_body::Body as _;
use http_body_util::Full;
use serde::Deserialize;

use crate::{
    body::Body,
    engine,
    error::{self, Error},
    line::Splitter,
};

/// A generation request to an engine.
#[record]
pub struct Request {
    /// Id of the request.
    pub request: id::Request,
    /// Group that runs the request.
    pub group: id::Group,
    /// Formation of the group.
    pub generation: id::Generation,
    /// Version of the model.
    pub version: id::Version,
    /// Prompt.
    pub prompt: String,
    /// Maximum number of tokens to generate.
    pub max_tokens: u64,
    /// Priority; requests with a larger one are scheduled first.
    pub priority: i64,
    /// Index of the first token to send.
    pub resume_at: u64,
    /// Fingerprint of the prompt, in hexadecimal.
    pub fingerprint: String,
}

/// An item of a token stream.
#[record]
pub enum Chunk {
    /// The next token.
    Token(Token),
    /// The end of the stream.
    Finish(Finish),
}

/// A generated token.
#[record]
pub struct Token {
    /// Index of the token within the whole generation.
    pub index: u64,
    /// Text of the token.
    pub text: String,
}

/// The end of a token stream, with its token counts.
#[record]
pub struct Finish {
    /// Why the generation ended.
    pub reason: Reason,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u64,
    /// Number of prompt tokens that were found in the KV cache.
    pub cached_tokens: u64,
    /// Number of generated tokens, as counted by the engine.
    pub tokens: u64,
}

/// Why a generation ended.
#[value]
#[serde(rename_all = "lowercase")]
pub enum Reason {
    /// The model ended the generation.
    Stop,
    /// The requested maximum number of tokens was generated.
    Length,
}

/// Token stream of a generation. The stream ends after [`Chunk::Finish`] or an error; if it fails
/// or is dropped earlier, the request is cancelled at the engine.
pub struct Chunks {
    /// Response body; `None` once the stream has ended.
    body: Option<Body<Full<Bytes>>>,
    splitter: Splitter,
    max_line_bytes: usize,
    /// Expected index of the next token.
    next_index: u64,
    tokens: u64,
    /// Cancels the request; `None` once the stream has ended.
    cancel: Option<engine::Cancellation>,
    ended: bool,
}

/// A JSON line of the stream.
#[derive(Debug, Deserialize)]
struct Line {
    token: Option<u64>,
    text: Option<String>,
    finish: Option<Reason>,
    #[serde(default)]
    prompt_tokens: u64,
    #[serde(default)]
    cached_tokens: u64,
    #[serde(default)]
    tokens: u64,
    error: Option<error::Detail>,
}

/// Life cycle
impl Chunks {
    pub(crate) fn new(
        body: Body<Full<Bytes>>,
        resume_at: u64,
        max_line_bytes: usize,
        cancel: Option<engine::Cancellation>,
    ) -> Chunks {
        Chunks {
            body: Some(body),
            splitter: Splitter::default(),
            max_line_bytes,
            next_index: resume_at,
            tokens: 0,
            cancel,
            ended: false,
        }
    }
}

/// Access
impl Chunks {
    /// Returns the number of tokens received in this stream.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Returns the index of the next token, from which to resume after an error.
    pub fn resume_at(&self) -> u64 {
        self.next_index
    }
}

/// Mutation
impl Chunks {
    /// Changes the maximum time between bytes and restarts the wait for the next ones.
    pub fn set_read_timeout(&mut self, read_timeout: Duration) {
        if let Some(body) = &mut self.body {
            body.set_read_timeout(read_timeout);
        }
    }

    fn parse_line(&mut self, text: &[u8]) -> Result<Chunk, Error> {
        let line: Line =
            serde_json::from_slice(text).map_err(|it| self.malformed(it.to_string()))?;
        if let Some(detail) = line.error {
            return Err(Error::Answer(error::Answer {
                code: detail.code,
                message: detail.message,
                tokens: self.tokens,
                ..error::Answer::default()
            }));
        }
        if let Some(reason) = line.finish {
            let Line { prompt_tokens, cached_tokens, tokens, .. } = line;
            return Ok(Chunk::Finish(Finish { reason, prompt_tokens, cached_tokens, tokens }));
        }
        let index =
            line.token.ok_or_else(|| self.malformed("a line has neither `token` nor `finish`"))?;
        if index != self.next_index {
            return Err(self.malformed(format!("got token {index} instead of {}", self.next_index)));
        }
        self.next_index += 1;
        self.tokens += 1;
        Ok(Chunk::Token(Token { index, text: line.text.unwrap_or_default() }))
    }

    fn malformed(&self, message: impl Into<String>) -> Error {
        Error::Malformed { tokens: self.tokens, message: message.into() }
    }

    /// Sets the number of received tokens in an error of the body.
    fn with_tokens(&self, error: Error) -> Error {
        let tokens = self.tokens;
        match error {
            Error::Timeout { limit, .. } => Error::Timeout { tokens, limit },
            Error::Truncated { message, .. } => Error::Truncated { tokens, message },
            it => it,
        }
    }

    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Result<Chunk, Error>> {
        loop {
            match self.splitter.next_line(self.max_line_bytes) {
                Ok(Some(line)) if line.trim_ascii().is_empty() => continue,
                Ok(Some(line)) => return Poll::Ready(self.parse_line(&line)),
                Ok(None) => {}
                Err(_) => {
                    return Poll::Ready(Err(self.malformed("a line is longer than the limit")));
                }
            }
            let Some(body) = &mut self.body else {
                return Poll::Ready(Err(
                    self.malformed("the stream continues after its finish chunk")
                ));
            };
            match ready!(Pin::new(body).poll_frame(cx)) {
                Some(Ok(frame)) => {
                    if let Some(part) = frame.data_ref() {
                        self.splitter.push(part);
                    }
                }
                Some(Err(error)) => return Poll::Ready(Err(self.with_tokens(error))),
                None => {
                    let message = String::from("the stream ended without a finish chunk");
                    return Poll::Ready(Err(Error::Truncated { tokens: self.tokens, message }));
                }
            }
        }
    }
}

impl Stream for Chunks {
    type Item = Result<Chunk, Error>;

    fn poll_next(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let this = self.get_mut();
        if this.ended {
            return Poll::Ready(None);
        }
        let chunk = ready!(this.poll_chunk(cx));
        if let Ok(Chunk::Finish(_)) = &chunk {
            this.ended = true;
            this.cancel = None;
            if let Some(body) = this.body.take() {
                body.drain();
            }
        } else if chunk.is_err() {
            this.ended = true;
            this.body = None;
            if let Some(cancel) = this.cancel.take() {
                cancel.spawn();
            }
        }
        Poll::Ready(Some(chunk))
    }
}

impl Drop for Chunks {
    fn drop(&mut self) {
        if let Some(cancel) = self.cancel.take() {
            cancel.spawn();
        }
    }
}
