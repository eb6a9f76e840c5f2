//! The JSON shapes of the callers' interface.

use courseshed_types::{
    BranchPath, CallAnswer, CallId, ModelName, ProgramId, Sequence, Timestamp,
    call::Usage,
    chat::ChatMessage,
    program::{ProgramPhase, ProgramView},
};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// Body of `POST /v1/programs`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CreateProgramBody {
    /// The branch that pays; the key's own if not given.
    pub branch: Option<BranchPath>,
    /// The kind of program.
    pub kind: Option<String>,
    /// Aim for the latency of the whole program.
    pub aim_ms: Option<u64>,
    /// Worth when done within the aim.
    pub worth: Option<f64>,
    /// The program whose sub-agent this is.
    pub parent: Option<ProgramId>,
}

/// Body of a call, OpenAI's chat completion.
#[derive(Debug, Deserialize)]
pub struct ChatRequestBody {
    /// The model.
    pub model: Option<ModelName>,
    /// The messages.
    pub messages: Vec<ChatMessage>,
    /// Whether to stream.
    pub stream: Option<bool>,
    /// Options of the stream.
    pub stream_options: Option<StreamOptions>,
    /// Upper bound of generated tokens.
    pub max_tokens: Option<u64>,
    /// The same in the newer name.
    pub max_completion_tokens: Option<u64>,
    /// Choices wanted; only one can be had.
    pub n: Option<u32>,
    /// All else, handed to the engine.
    #[serde(flatten)]
    pub parameters: Map<String, Value>,
}

/// Options of a stream.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
pub struct StreamOptions {
    /// Whether to send the usage in a last chunk.
    #[serde(default)]
    pub include_usage: bool,
}

/// A program for callers.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ProgramDocument {
    /// Its id.
    pub id: ProgramId,
    /// `program`.
    pub object: &'static str,
    /// The branch that pays.
    pub branch: BranchPath,
    /// Its kind.
    pub kind: Option<String>,
    /// Its parent.
    pub parent: Option<ProgramId>,
    /// What it is doing.
    pub phase: ProgramPhase,
    /// Aim for its whole latency.
    pub aim_ms: Option<u64>,
    /// Worth when done within the aim.
    pub worth: f64,
    /// When it was created, milliseconds since the Unix epoch.
    pub created_at_ms: u64,
    /// When its first call came.
    pub first_call_at_ms: Option<u64>,
    /// When its last answer was committed.
    pub last_answer_at_ms: Option<u64>,
    /// The sequence number the next call must carry.
    pub next_sequence: Sequence,
    /// Tokens of history.
    pub history_tokens: u64,
    /// Tokens spent with its sub-agents.
    pub spent_tokens: u64,
    /// Tokens reserved by attempts under way.
    pub reserved_tokens: u64,
    /// Tokens it may spend.
    pub budget_tokens: Option<u64>,
}

impl From<ProgramView> for ProgramDocument {
    fn from(view: ProgramView) -> ProgramDocument {
        ProgramDocument {
            id: view.id,
            object: "program",
            branch: view.branch,
            kind: view.kind,
            parent: view.parent,
            phase: view.phase,
            aim_ms: view.aim.map(|aim| aim.as_millis() as u64),
            worth: view.worth,
            created_at_ms: view.created_at.as_millis(),
            first_call_at_ms: view.first_call_at.map(Timestamp::as_millis),
            last_answer_at_ms: view.last_answer_at.map(Timestamp::as_millis),
            next_sequence: view.next_sequence,
            history_tokens: view.history_tokens.0,
            spent_tokens: view.spent.0,
            reserved_tokens: view.reserved.0,
            budget_tokens: view.budget.map(|budget| budget.0),
        }
    }
}

/// The messages of a program.
#[derive(Debug, Serialize)]
pub struct HistoryDocument {
    /// The program.
    pub id: ProgramId,
    /// The messages of its settled calls, in order.
    pub messages: Vec<ChatMessage>,
}

/// A call that is not settled yet.
#[derive(Debug, Serialize)]
pub struct OpenCallDocument {
    /// The program.
    pub program: ProgramId,
    /// Its place.
    pub sequence: Sequence,
    /// `accepted` or `dispatched`.
    pub state: &'static str,
    /// The attempt under way.
    pub attempt: Option<u32>,
}

/// Tokens in OpenAI's shape.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct UsageDocument {
    prompt_tokens: u64,
    completion_tokens: u64,
    total_tokens: u64,
    prompt_tokens_details: PromptTokensDetails,
}

#[derive(Debug, Clone, Copy, Serialize)]
struct PromptTokensDetails {
    cached_tokens: u64,
}

impl From<Usage> for UsageDocument {
    fn from(usage: Usage) -> UsageDocument {
        UsageDocument {
            prompt_tokens: usage.prompt_tokens.0,
            completion_tokens: usage.completion_tokens.0,
            total_tokens: usage.total().0,
            prompt_tokens_details: PromptTokensDetails {
                cached_tokens: usage.cached_tokens.0,
            },
        }
    }
}

/// A whole answer in OpenAI's shape.
#[derive(Debug, Serialize)]
pub struct CompletionDocument<'a> {
    id: String,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: [CompletionChoice<'a>; 1],
    usage: UsageDocument,
}

#[derive(Debug, Serialize)]
struct CompletionChoice<'a> {
    index: u32,
    message: &'a ChatMessage,
    finish_reason: courseshed_types::FinishReason,
}

impl<'a> CompletionDocument<'a> {
    /// The answer of a call.
    pub fn new(call: CallId, model: &'a str, created: u64, answer: &'a CallAnswer) -> Self {
        CompletionDocument {
            id: completion_id(call),
            object: "chat.completion",
            created,
            model,
            choices: [CompletionChoice {
                index: 0,
                message: &answer.message,
                finish_reason: answer.finish_reason,
            }],
            usage: answer.usage.into(),
        }
    }
}

/// The id of a completion.
pub fn completion_id(call: CallId) -> String {
    format!("chatcmpl-{call}")
}
