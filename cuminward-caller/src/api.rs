//! Bodies of the model API: chat completions, completions, models.

use cuminward_core::outcome::{Cause, Refusal};
use serde::{Deserialize, Serialize};

use crate::backend;

/// Tokens that are generated when the caller sets no limit.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// Most tokens that a caller may ask for.
const MAX_TOKENS: u32 = 32_768;

/// Separates a model's name from a version in `model`.
const VERSION_SEPARATOR: char = '@';

/// Which of the two generating routes is used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// `/v1/chat/completions`
    Chat,
    /// `/v1/completions`
    Text,
}

/// Body of a chat completion.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Chat {
    /// The conversation so far.
    pub messages: Vec<Message>,
    /// Newer name of `max_tokens`.
    pub max_completion_tokens: Option<u32>,
    /// What both routes have.
    #[serde(flatten)]
    pub common: Common,
}

/// Body of a completion.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Text {
    /// Text to continue.
    pub prompt: String,
    /// What both routes have.
    #[serde(flatten)]
    pub common: Common,
}

/// What both generating routes have.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Common {
    /// Model, or `model@version`.
    pub model: String,
    /// Whether the answer is streamed as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Most tokens to generate.
    pub max_tokens: Option<u32>,
    /// Number of answers; only 1 is supported.
    pub n: Option<u32>,
}

/// A message of a conversation.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
pub struct Message {
    /// Who speaks.
    pub role: String,
    /// What is said.
    pub content: String,
}

/// A checked request.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// Text to continue.
    pub prompt: String,
    /// Model that is asked for.
    pub model: String,
    /// Version that is asked for.
    pub version: Option<String>,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Most tokens to generate.
    pub max_tokens: u32,
}

/// Answer of a completion, whole or one chunk of a stream.
#[derive(Debug, Serialize)]
pub struct Completion<'a> {
    /// Id of the request.
    pub id: &'a str,
    /// Kind of the object.
    pub object: &'static str,
    /// Seconds since the Unix epoch.
    pub created: u64,
    /// Model that was asked for.
    pub model: &'a str,
    /// The only choice.
    pub choices: [Choice<'a>; 1],
    /// Tokens that were used; at the end only.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
    /// Outcome; in the last chunk of a stream only.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cuminward_outcome: Option<&'static str>,
}

/// One answer.
#[derive(Debug, Serialize)]
pub struct Choice<'a> {
    /// Always 0.
    pub index: u32,
    /// Content, by route and form.
    #[serde(flatten)]
    pub content: Content<'a>,
    /// Why the generation ended.
    pub finish_reason: Option<&'a str>,
}

/// Content of a choice.
#[derive(Debug, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Content<'a> {
    /// A whole chat message.
    Message(Reply<'a>),
    /// A part of a chat message.
    Delta(Delta<'a>),
    /// Text of a completion, whole or in part.
    Text(&'a str),
}

/// A whole message of the model.
#[derive(Debug, Serialize)]
pub struct Reply<'a> {
    /// Always `assistant`.
    pub role: &'static str,
    /// The text.
    pub content: &'a str,
}

/// A part of a message of the model.
#[derive(Debug, Serialize)]
pub struct Delta<'a> {
    /// Who speaks; in the first part only.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub role: Option<&'static str>,
    /// The text; none in the last part.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub content: Option<&'a str>,
}

/// Tokens that were used.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Generated tokens.
    pub completion_tokens: u32,
    /// Both.
    pub total_tokens: u32,
    /// Where the tokens of the prompt came from.
    pub prompt_tokens_details: Details,
}

/// Where the tokens of a prompt came from.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Details {
    /// Tokens that were found in the engine's cache.
    pub cached_tokens: u32,
}

/// Answer of `/v1/models`.
#[derive(Debug, Serialize)]
pub struct Models {
    /// Always `list`.
    pub object: &'static str,
    /// The models.
    pub data: Vec<Model>,
}

/// Answer of `/v1/idempotency-keys`.
#[derive(Debug, Serialize)]
pub struct Key {
    /// Always `idempotency_key`.
    pub object: &'static str,
    /// The key; only the node that made it accepts it.
    pub key: cuminward_core::id::Key,
}

/// A model that the caller may use.
#[derive(Debug, Serialize)]
pub struct Model {
    /// Name of the model.
    pub id: String,
    /// Always `model`.
    pub object: &'static str,
    /// Who offers the model.
    pub owned_by: &'static str,
}

/// Reads and checks a body.
///
/// # Errors
///
/// A refusal that says "not run" and names what is wrong with the body.
pub fn parse(kind: Kind, body: &[u8]) -> Result<Request, Refusal> {
    match kind {
        Kind::Chat => {
            let chat: Chat = json(body)?;
            if chat.messages.is_empty() {
                return Err(invalid("`messages` must not be empty"));
            }
            let limit = chat.max_completion_tokens.or(chat.common.max_tokens);
            check(render_prompt(&chat.messages), limit, chat.common)
        }
        Kind::Text => {
            let text: Text = json(body)?;
            let limit = text.common.max_tokens;
            check(text.prompt, limit, text.common)
        }
    }
}

/// Text that a conversation is handed to engines as.
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

fn json<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, Refusal> {
    serde_json::from_slice(body).map_err(|error| invalid(format!("the body is wrong: {error}")))
}

fn check(prompt: String, limit: Option<u32>, common: Common) -> Result<Request, Refusal> {
    if common.n.is_some_and(|it| it != 1) {
        return Err(invalid("`n` must be 1"));
    }
    let max_tokens = limit.unwrap_or(DEFAULT_MAX_TOKENS);
    if !(1..=MAX_TOKENS).contains(&max_tokens) {
        return Err(invalid(format!("`max_tokens` must be from 1 to {MAX_TOKENS}")));
    }
    let (model, version) = match common.model.split_once(VERSION_SEPARATOR) {
        Some((model, version)) => (model.to_owned(), Some(version.to_owned())),
        None => (common.model, None),
    };
    Ok(Request { prompt, model, version, stream: common.stream, max_tokens })
}

fn invalid(message: impl Into<String>) -> Refusal {
    Refusal::not_run(Cause::InvalidRequest, message)
}
