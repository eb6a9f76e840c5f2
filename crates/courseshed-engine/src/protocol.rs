//! The messages of the engine protocol, shared by the client and the emulated engine.

use courseshed_types::call::{FinishReason, Usage};
use courseshed_types::dispatch::CacheEvent;
pub use courseshed_types::engine::EngineRole;
use courseshed_types::{BranchPath, ChatMessage, ModelName, ProgramId, Tokens, Verdict};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// Header with the request id; the engine runs each id at most once.
pub const HEADER_REQUEST_ID: &str = "X-Request-Id";
/// Header with the priority, a whole number; higher is more urgent.
pub const HEADER_PRIORITY: &str = "X-Priority";
/// Header with the program that a prefix belongs to.
pub const HEADER_PROGRAM_ID: &str = "X-Program-Id";
/// Header with the branch that is charged.
pub const HEADER_BRANCH: &str = "X-Branch";
/// Header with the offset after which a stream is resumed.
pub const HEADER_LAST_EVENT_ID: &str = "Last-Event-ID";
/// The data of the event that closes a stream.
pub const STREAM_DONE: &str = "[DONE]";
/// The name of the event that ends a stream with an [`ErrorBody`].
pub const STREAM_ERROR_EVENT: &str = "error";

/// Body of `POST /v1/chat/completions`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ChatBody {
    /// The model.
    pub model: ModelName,
    /// The whole prompt.
    pub messages: Vec<ChatMessage>,
    /// Upper bound of generated tokens.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<Tokens>,
    /// Whether to stream.
    #[serde(default)]
    pub stream: bool,
    /// Sampling and other parameters.
    #[serde(flatten)]
    pub parameters: Map<String, Value>,
}

/// One chunk of a streamed answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ChatChunk {
    /// One choice; none in some engines' usage chunk.
    #[serde(default)]
    pub choices: Vec<ChunkChoice>,
    /// In the last chunk.
    #[serde(default)]
    pub usage: Option<UsageBody>,
}

/// The choice of a chunk.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ChunkChoice {
    /// What is new.
    #[serde(default)]
    pub delta: ChunkDelta,
    /// In the last chunk that has a choice.
    #[serde(default)]
    pub finish_reason: Option<FinishReason>,
}

/// What is new in a chunk.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ChunkDelta {
    /// Text to append.
    #[serde(default)]
    pub content: Option<String>,
}

/// Tokens as engines report them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageBody {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens generated.
    pub completion_tokens: u64,
    /// Both.
    #[serde(default)]
    pub total_tokens: u64,
    /// Details of the prompt.
    #[serde(default)]
    pub prompt_tokens_details: PromptTokensDetails,
}

/// Details of a prompt's tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptTokensDetails {
    /// Found in the prefix cache.
    #[serde(default)]
    pub cached_tokens: u64,
}

impl From<UsageBody> for Usage {
    fn from(body: UsageBody) -> Usage {
        Usage {
            prompt_tokens: Tokens(body.prompt_tokens),
            cached_tokens: Tokens(body.prompt_tokens_details.cached_tokens),
            completion_tokens: Tokens(body.completion_tokens),
        }
    }
}

impl From<Usage> for UsageBody {
    fn from(usage: Usage) -> UsageBody {
        UsageBody {
            prompt_tokens: usage.prompt_tokens.0,
            completion_tokens: usage.completion_tokens.0,
            total_tokens: usage.total().0,
            prompt_tokens_details: PromptTokensDetails {
                cached_tokens: usage.cached_tokens.0,
            },
        }
    }
}

/// What an engine knows of a request id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestState {
    /// Nothing: it never came, or was forgotten in a restart or after the retention time.
    Unknown,
    /// It waits.
    Queued,
    /// It runs.
    Running,
    /// It ran to its end.
    Finished,
    /// It was cancelled after it had been taken in.
    Cancelled,
    /// It was refused or cancelled before it came; it will never start.
    NeverStarted,
    /// It started and failed.
    Failed,
}

/// Answer of `GET /v1/requests/{id}`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestStatus {
    /// What the engine knows.
    pub state: RequestState,
    /// The engine's start; a change means that it forgot every request.
    pub start: u64,
    /// Tokens generated so far.
    #[serde(default)]
    pub tokens: u64,
    /// The whole text, when finished.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answer: Option<String>,
    /// Why it ended, when finished.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub finish_reason: Option<FinishReason>,
    /// What it took, when finished.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<UsageBody>,
}

/// Body of an error answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The error.
    pub error: ErrorDetail,
    /// The state of the request id, when it is known already.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub state: Option<RequestState>,
}

/// An error in OpenAI's shape, with the verdict.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// A stable code.
    pub code: EngineErrorCode,
    /// One sentence for people.
    pub message: String,
    /// Whether the request may have run; engines that don't say leave doubt.
    #[serde(default = "doubt")]
    pub verdict: Verdict,
}

fn doubt() -> Verdict {
    Verdict::MayHaveRun
}

/// Codes of engines' errors.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineErrorCode {
    /// The request can't be understood.
    InvalidRequest,
    /// Prompt and output don't fit the engine's memory.
    ContextTooLong,
    /// The model is not loaded.
    ModelNotLoaded,
    /// The request id is known already.
    RequestKnown,
    /// The request id is not known.
    RequestUnknown,
    /// The engine is leaving and takes nothing new.
    Leaving,
    /// The engine's queue is full.
    Overloaded,
    /// The request was cancelled.
    Cancelled,
    /// An order came with a fence below the highest seen.
    FenceTooLow,
    /// No lease, prefix or other thing of that name.
    NotFound,
    /// The weight store could not give the model.
    WeightsUnavailable,
    /// Any other code.
    #[serde(other)]
    Other,
}

/// Body of `PUT /v1/cache/leases/{program}`: leases the context of the program's last request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseBody {
    /// Time to live in milliseconds, from now.
    pub ttl_ms: u64,
}

/// A lease, as granted or listed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseStatus {
    /// The holder.
    pub program: ProgramId,
    /// Tokens held.
    pub held_tokens: Tokens,
    /// Milliseconds left.
    pub ttl_ms: u64,
}

/// Answer of `GET /v1/cache/leases`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseList {
    /// The engine's start.
    pub start: u64,
    /// All leases in force, by program.
    pub leases: Vec<LeaseStatus>,
}

/// Answer of `GET /v1/cache/events`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEventBatch {
    /// The engine's start; numbers begin anew with each.
    pub start: u64,
    /// Events in the order they were published; numbers may jump, repeat or fall back.
    pub events: Vec<CacheEvent>,
    /// The highest number published so far, to ask after next time.
    pub last: u64,
}

/// Body of `POST /v1/cache/export`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExportBody {
    /// The program whose prefix to move out.
    pub program: ProgramId,
    /// Whether to drop it from the engine once it is out.
    #[serde(default)]
    pub drop: bool,
}

/// A prefix outside of any engine: what it takes to import it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExportedPrefix {
    /// The program.
    pub program: ProgramId,
    /// The branch that is charged for it.
    pub branch: BranchPath,
    /// The chained hashes of its blocks.
    pub blocks: Vec<u64>,
    /// Tokens in it.
    pub tokens: Tokens,
}

/// Answer of `POST /v1/cache/import`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ImportStatus {
    /// Tokens that are cached now.
    pub tokens: Tokens,
}

/// Body of `POST /v1/orders`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderBody {
    /// Must be at least the highest the engine has seen.
    pub fence: u64,
    /// What to do.
    pub order: FencedOrder,
}

/// An order that only the present holder of the fence may give.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum FencedOrder {
    /// Load a model.
    LoadModel {
        /// The model.
        model: ModelName,
        /// Its version; the newest if not given.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        version: Option<String>,
    },
    /// Drop a model.
    DropModel {
        /// The model.
        model: ModelName,
    },
    /// Load an adapter of a model.
    LoadAdapter {
        /// The model.
        model: ModelName,
        /// The adapter.
        adapter: String,
    },
    /// Drop an adapter of a model.
    DropAdapter {
        /// The model.
        model: ModelName,
        /// The adapter.
        adapter: String,
    },
    /// Change the version of a loaded model.
    SetVersion {
        /// The model.
        model: ModelName,
        /// The version.
        version: String,
    },
    /// Change the role.
    SetRole {
        /// The role.
        role: EngineRole,
    },
    /// Take nothing new, or take work again.
    SetLeaving {
        /// Whether the engine leaves.
        leaving: bool,
    },
}

/// Answer of `POST /v1/orders`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OrderStatus {
    /// The highest fence seen.
    pub fence: u64,
    /// The engine's role.
    pub role: EngineRole,
    /// Whether it leaves.
    pub leaving: bool,
    /// The models loaded.
    pub models: Vec<ModelStatus>,
}

/// A loaded model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ModelStatus {
    /// Its name.
    pub id: ModelName,
    /// Its version.
    pub version: String,
    /// Its adapters.
    pub adapters: Vec<String>,
    /// Whether it can serve now.
    pub ready: bool,
}

/// Answer of `GET /v1/models`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ModelList {
    /// The models.
    pub data: Vec<ModelStatus>,
}
