//! Request and response bodies of the model API: chat completions, completions and models.

use cuminward_core::outcome::{Cause, Refusal};
use serde::{Deserialize, Serialize};

use crate::backend;

/// Limit of generated tokens if the request sets none.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// Largest limit of generated tokens that a request may set.
const MAX_TOKENS: u32 = 32_768;

/// Separates the name of a model from its version in the field `model`.
const VERSION_SEPARATOR: char = '@';

/// Endpoint that generates text.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// `/v1/chat/completions`
    Chat,
    /// `/v1/completions`
    Text,
}

/// Request body of a chat completion.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Chat {
    /// Messages of the conversation so far.
    pub messages: Vec<Message>,
    /// Newer name of `max_tokens`; takes precedence.
    pub max_completion_tokens: Option<u32>,
    /// Fields that both endpoints have.
    #[serde(flatten)]
    pub common: Common,
}

/// Request body of a completion.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Text {
    /// Text to continue.
    pub prompt: String,
    /// Fields that both endpoints have.
    #[serde(flatten)]
    pub common: Common,
}

/// Request fields that both generation endpoints have.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Common {
    /// Name of the model, or `model@version`.
    pub model: String,
    /// Whether the response is streamed as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Maximum number of tokens to generate.
    pub max_tokens: Option<u32>,
    /// Number of choices to generate; only 1 is supported.
    pub n: Option<u32>,
}

/// A message of a conversation.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
pub struct Message {
    /// Role of the author, for example `user`.
    pub role: String,
    /// Text of the message.
    pub content: String,
}

/// A validated generation request of either endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// Text to continue.
    pub prompt: String,
    /// Name of the requested model.
    pub model: String,
    /// Requested version of the model.
    pub version: Option<String>,
    /// Whether the response is streamed.
    pub stream: bool,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
}

/// Response body of a generation: the whole response or one chunk of a stream.
#[derive(Debug, Serialize)]
pub struct Completion<'a> {
    /// Id of the request.
    pub id: &'a str,
    /// Type of the object.
    pub object: &'static str,
    /// Time of the request, in seconds since the Unix epoch.
    pub created: u64,
    /// Name of the requested model.
    pub model: &'a str,
    /// The only choice.
    pub choices: [Choice<'a>; 1],
    /// Token counts; only in a whole response or the last chunk.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
    /// Outcome of the request; only in the last chunk of a stream.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cuminward_outcome: Option<&'static str>,
}

/// A generated choice, or a part of one.
#[derive(Debug, Serialize)]
pub struct Choice<'a> {
    /// Always 0.
    pub index: u32,
    /// Content, in the form of the endpoint.
    #[serde(flatten)]
    pub content: Content<'a>,
    /// Why the generation ended; only in a whole response or the last chunk.
    pub finish_reason: Option<&'a str>,
}

/// Content of a choice.
#[derive(Debug, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Content<'a> {
    /// Whole chat message.
    Message(Reply<'a>),
    /// Part of a chat message.
    Delta(Delta<'a>),
    /// Text of a completion, or a part of it.
    Text(&'a str),
}

/// Whole message that the model generated.
#[derive(Debug, Serialize)]
pub struct Reply<'a> {
    /// Always `assistant`.
    pub role: &'static str,
    /// Text of the message.
    pub content: &'a str,
}

/// Part of a message that the model generates.
#[derive(Debug, Serialize)]
pub struct Delta<'a> {
    /// Always `assistant`; only in the first part.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub role: Option<&'static str>,
    /// Text of the part; absent in the last part.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub content: Option<&'a str>,
}

/// Token counts of a generation.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Usage {
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Number of generated tokens.
    pub completion_tokens: u32,
    /// Sum of prompt and generated tokens.
    pub total_tokens: u32,
    /// Breakdown of the prompt tokens.
    pub prompt_tokens_details: Details,
}

/// Breakdown of the prompt tokens.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Details {
    /// Number of prompt tokens that were found in the engine's cache.
    pub cached_tokens: u32,
}

/// Response body of `/v1/models`.
#[derive(Debug, Serialize)]
pub struct Models {
    /// Always `list`.
    pub object: &'static str,
    /// Models that the caller may use.
    pub data: Vec<Model>,
}

/// Response body of `/v1/idempotency-keys`.
#[derive(Debug, Serialize)]
pub struct Key {
    /// Always `idempotency_key`.
    pub object: &'static str,
    /// The key; only the node that issued the key accepts it.
    pub key: cuminward_core::id::Key,
}

/// A model that the caller may use.
#[derive(Debug, Serialize)]
pub struct Model {
    /// Name of the model.
    pub id: String,
    /// Always `model`.
    pub object: &'static str,
    /// Always `cuminward`.
    pub owned_by: &'static str,
}

/// Parses and validates a request body.
///
/// # Errors
///
/// A refusal with the outcome "not run" whose message names what is invalid.
pub fn parse(kind: Kind, body: &[u8]) -> Result<Request, Refusal> {
    match kind {
        Kind::Chat => {
            let chat: Chat = parse_json(body)?;
            if chat.messages.is_empty() {
                return Err(invalid_request("`messages` must not be empty"));
            }
            let limit = chat.max_completion_tokens.or(chat.common.max_tokens);
            validate(render_prompt(&chat.messages), limit, chat.common)
        }
        Kind::Text => {
            let text: Text = parse_json(body)?;
            let limit = text.common.max_tokens;
            validate(text.prompt, limit, text.common)
        }
    }
}

/// Renders a conversation as the prompt that engines receive.
pub fn render_prompt(messages: &[Message]) -> String {
    messages.iter().map(|it| format!("{}: {}\n", it.role, it.content)).collect()
}

impl From<&backend::Finish> for Usage {
    fn from(finish: &backend::Finish) -> Usage {
        Usage {
            prompt_tokens: finish.prompt_tokens,
            completion_tokens: finish.tokens,
            total_tokens: finish.prompt_tokens + finish.tokens,
            prompt_tokens_details: Details { cached_tokens: finish.cached_tokens },
        }
    }
}

fn parse_json<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, Refusal> {
    serde_json::from_slice(body)
        .map_err(|error| invalid_request(format!("the body is wrong: {error}")))
}

/// Validates the fields that both endpoints have and splits the version from the model.
fn validate(prompt: String, limit: Option<u32>, common: Common) -> Result<Request, Refusal> {
    if common.n.is_some_and(|it| it != 1) {
        return Err(invalid_request("`n` must be 1"));
    }
    let max_tokens = limit.unwrap_or(DEFAULT_MAX_TOKENS);
    if !(1..=MAX_TOKENS).contains(&max_tokens) {
        return Err(invalid_request(format!("`max_tokens` must be from 1 to {MAX_TOKENS}")));
    }
    let (model, version) = match common.model.split_once(VERSION_SEPARATOR) {
        Some((model, version)) => (model.to_owned(), Some(version.to_owned())),
        None => (common.model, None),
    };
    Ok(Request { prompt, model, version, stream: common.stream, max_tokens })
}

fn invalid_request(message: impl Into<String>) -> Refusal {
    Refusal::not_run(Cause::InvalidRequest, message)
}
