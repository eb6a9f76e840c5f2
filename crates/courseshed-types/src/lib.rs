//! Identifiers, units, verdicts and the messages that the roles exchange.
//!
//! Every other crate depends on this one and this one depends on none of them. It holds data and the few
//! rules that must read the same everywhere (how an id is written, how tokens are estimated, what a verdict
//! allows); it holds no behaviour of any role.

pub mod admin;
pub mod branch;
pub mod call;
pub mod chat;
pub mod control;
pub mod delta;
pub mod dispatch;
pub mod engine;
pub mod errors;
pub mod ids;
pub mod model_report;
pub mod policy;
pub mod program;
pub mod prompt;
pub mod request_key;
pub mod shard;
pub mod time;
pub mod tokens;
pub mod verdict;
pub mod zones;

pub use branch::{BranchPath, BranchPathError};
pub use call::{CallAnswer, CallOutcome, CallRequest, EngineCall, FinishReason, Usage};
pub use chat::{ChatMessage, Role as ChatRole};
pub use errors::{CallError, ErrorCode};
pub use ids::{
    Attempt, CallId, ChangeId, EngineId, Incarnation, MapEpoch, ModelName, NodeId, ProgramId,
    RegionName, RequestId, Sequence, SettingsVersion, ShardId, ZoneName,
};
pub use model_report::{BrokenVariant, Counterexample, ModelReport};
pub use policy::{BranchPolicy, PolicySnapshot};
pub use prompt::{CachedPrompt, PromptPart, ServerKey};
pub use request_key::RequestKey;
pub use time::Timestamp;
pub use tokens::Tokens;
pub use verdict::Verdict;
pub use zones::{Distance, ZoneMap};
