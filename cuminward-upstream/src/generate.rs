//! Generation requests and their streams of tokens.

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

/// A generation request, as the engine takes it.
#[record]
pub struct Request {
    /// Id of the request.
    pub request: id::Request,
    /// Group that is to run the request.
    pub group: id::Group,
    /// Formation of the group.
    pub generation: id::Generation,
    /// Version of the model.
    pub version: id::Version,
    /// Prompt.
    pub prompt: String,
    /// Largest number of tokens to generate.
    pub max_tokens: u64,
    /// Priority; larger ones go first.
    pub priority: i64,
    /// Index of the first token to send.
    pub resume_at: u64,
    /// Fingerprint of the prompt, in hexadecimal.
    pub fingerprint: String,
}

/// A part of a reply.
#[record]
pub enum Chunk {
    /// The next token.
    Token(Token),
    /// The end of the reply.
    Finish(Finish),
}

/// A token.
#[record]
pub struct Token {
    /// Index of the token within the whole reply.
    pub index: u64,
    /// Text of the token.
    pub text: String,
}

/// The end of a reply.
#[record]
pub struct Finish {
    /// Why the reply ends.
    pub reason: Reason,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the prompt that came from the cache.
    pub cached_tokens: u64,
    /// Tokens of the reply, as the engine counts them.
    pub tokens: u64,
}

/// Why a reply ends.
#[value]
#[serde(rename_all = "lowercase")]
pub enum Reason {
    /// The model ended the reply.
    Stop,
    /// The reply has as many tokens as were asked for.
    Length,
}

/// A stream of chunks. It ends after [`Chunk::Finish`] or after an error; when it is dropped before
/// its end, the request is cancelled at the engine.
pub struct Chunks {
    /// Taken once the last chunk has arrived.
    body: Option<Body<Full<Bytes>>>,
    splitter: Splitter,
    max_line_bytes: usize,
    /// Index that the next token must have.
    next: u64,
    tokens: u64,
    /// Cancels the request; taken once the stream has ended.
    cancel: Option<engine::Cancel>,
    ended: bool,
}

/// A line of the stream.
#[derive(Debug, Deserialize)]
struct Wire {
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
        cancel: Option<engine::Cancel>,
    ) -> Chunks {
        Chunks {
            body: Some(body),
            splitter: Splitter::default(),
            max_line_bytes,
            next: resume_at,
            tokens: 0,
            cancel,
            ended: false,
        }
    }
}

/// Access
impl Chunks {
    /// Tokens that have arrived in this stream.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Index of the next token: where to resume after an error.
    pub fn resume_at(&self) -> u64 {
        self.next
    }
}

/// Mutation
impl Chunks {
    /// Changes the bound on the time between bytes.
    pub fn set_read_timeout(&mut self, read_timeout: Duration) {
        if let Some(body) = &mut self.body {
            body.set_read_timeout(read_timeout);
        }
    }

    fn read(&mut self, line: &[u8]) -> Result<Chunk, Error> {
        let wire: Wire =
            serde_json::from_slice(line).map_err(|it| self.malformed(it.to_string()))?;
        if let Some(detail) = wire.error {
            return Err(Error::Answer(error::Answer {
                code: detail.code,
                message: detail.message,
                tokens: self.tokens,
                ..error::Answer::default()
            }));
        }
        if let Some(reason) = wire.finish {
            let Wire { prompt_tokens, cached_tokens, tokens, .. } = wire;
            return Ok(Chunk::Finish(Finish { reason, prompt_tokens, cached_tokens, tokens }));
        }
        let index = wire.token.ok_or_else(|| self.malformed("neither token nor finish"))?;
        if index != self.next {
            return Err(self.malformed(format!("token {index} in place of {}", self.next)));
        }
        self.next += 1;
        self.tokens += 1;
        Ok(Chunk::Token(Token { index, text: wire.text.unwrap_or_default() }))
    }

    fn malformed(&self, message: impl Into<String>) -> Error {
        Error::Malformed { tokens: self.tokens, message: message.into() }
    }

    /// Adds the number of tokens to a failure of the body.
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
                Ok(Some(line)) => return Poll::Ready(self.read(&line)),
                Ok(None) => {}
                Err(_) => return Poll::Ready(Err(self.malformed("a line is too long"))),
            }
            let Some(body) = &mut self.body else {
                return Poll::Ready(Err(self.malformed("a chunk after the finish")));
            };
            match ready!(Pin::new(body).poll_frame(cx)) {
                Some(Ok(frame)) => {
                    if let Some(part) = frame.data_ref() {
                        self.splitter.push(part);
                    }
                }
                Some(Err(error)) => return Poll::Ready(Err(self.with_tokens(error))),
                None => {
                    let message = String::from("the stream ended without a finish");
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
                cancel.start();
            }
        }
        Poll::Ready(Some(chunk))
    }
}

impl Drop for Chunks {
    fn drop(&mut self) {
        if let Some(cancel) = self.cancel.take() {
            cancel.start();
        }
    }
}
