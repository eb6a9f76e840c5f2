//! A call: what a caller asks, what an engine is asked, and how it ended.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::{
    branch::BranchPath,
    chat::ChatMessage,
    errors::CallError,
    ids::{Attempt, EngineId, ModelName, ProgramId, RequestId},
    tokens::Tokens,
};

/// What a caller asks of one call: only the messages that are new since the previous call.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CallRequest {
    /// The model, or none for the branch's default.
    pub model: Option<ModelName>,
    /// The new messages, in order.
    pub messages: Vec<ChatMessage>,
    /// Upper bound of generated tokens, or none for the branch's limit.
    pub max_tokens: Option<Tokens>,
    /// Whether the call may run again after a failure that leaves doubt.
    pub repeatable: bool,
    /// Sampling and other parameters, handed to the engine unchanged.
    pub parameters: Map<String, Value>,
}

/// What an engine is asked: one attempt of a call with its whole prompt.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineCall {
    /// The id under which the engine keeps this attempt.
    pub request: RequestId,
    /// The model to run.
    pub model: ModelName,
    /// The whole prompt: history, then the new messages.
    pub messages: Vec<ChatMessage>,
    /// Upper bound of generated tokens.
    pub max_tokens: Tokens,
    /// Engine priority; higher is more urgent.
    pub priority: i32,
    /// The branch that pays.
    pub branch: BranchPath,
    /// Sampling and other parameters, unchanged.
    pub parameters: Map<String, Value>,
}

impl EngineCall {
    /// The program the attempt belongs to.
    pub fn program(&self) -> ProgramId {
        self.request.call.program
    }
}

/// Why generation stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The model ended its answer.
    Stop,
    /// The token limit was reached.
    Length,
    /// The model asks for tools.
    ToolCalls,
    /// The engine withheld the answer.
    ContentFilter,
}

/// Tokens one attempt took, as the engine counted them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: Tokens,
    /// Tokens of the prompt found in the prefix cache.
    pub cached_tokens: Tokens,
    /// Tokens generated.
    pub completion_tokens: Tokens,
}

impl Usage {
    /// What the attempt costs a budget.
    pub fn total(&self) -> Tokens {
        self.prompt_tokens.saturating_add(self.completion_tokens)
    }
}

/// A whole answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CallAnswer {
    /// The assistant's message.
    pub message: ChatMessage,
    /// Why it ended.
    pub finish_reason: FinishReason,
    /// What it took.
    pub usage: Usage,
    /// The attempt that gave it.
    pub attempt: Attempt,
    /// The engine that gave it.
    pub engine: EngineId,
}

/// How a call ended, as committed by its shard; never changes afterwards.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum CallOutcome {
    /// It ran and this is the answer.
    Answered(CallAnswer),
    /// It ended without an answer; the error carries the verdict.
    Failed(CallError),
}
