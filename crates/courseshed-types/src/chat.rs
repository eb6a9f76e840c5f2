//! Chat messages as callers and engines exchange them (the OpenAI chat-completions shape).
//!
//! A message is kept whole: fields this crate does not know travel along unchanged.

use std::borrow::Cow;

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// Who speaks in a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Instructions.
    System,
    /// Instructions, in the newer name.
    Developer,
    /// The caller.
    User,
    /// The model.
    Assistant,
    /// A tool's result.
    Tool,
}

/// One message of a conversation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChatMessage {
    /// Who speaks.
    pub role: Role,
    /// A text, a list of parts, or null.
    #[serde(default)]
    pub content: Value,
    /// All other fields, unchanged (`name`, `tool_calls`, `tool_call_id`, …).
    #[serde(flatten)]
    pub other: Map<String, Value>,
}

impl ChatMessage {
    /// A message of plain text.
    pub fn text(role: Role, text: impl Into<String>) -> ChatMessage {
        ChatMessage {
            role,
            content: Value::String(text.into()),
            other: Map::new(),
        }
    }

    /// The text when the content is plain text, else the JSON of content and other fields: what token
    /// estimates and prefix hashes are computed over.
    pub fn canonical_text(&self) -> Cow<'_, str> {
        match &self.content {
            Value::String(text) if self.other.is_empty() => Cow::Borrowed(text),
            content => Cow::Owned(format!("{content}{}", Value::Object(self.other.clone()))),
        }
    }
}
