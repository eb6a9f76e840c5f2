//! What a caller asks of the model, and how far a request has come.

use crate::hash::BlockHash;
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::sync::Arc;
use std::time::Duration;

/// Names a request within one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestKey(pub u64);

/// Names who is charged for cache that is filled in vain, such as a branch of the settings tree.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct OwnerKey(pub u64);

/// Names a program, the holder of a cache lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ProgramKey(pub u64);

/// Asks that a request's whole context be leased when it finishes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefixHold {
    /// Who holds the lease; an older lease of the same program is replaced.
    pub program: ProgramKey,
    /// How long the lease lasts after the request has finished.
    pub time_to_live: Duration,
}

/// One generation.
#[derive(Clone, Debug)]
pub struct EngineRequest {
    /// The caller's name for it; must be free in this engine.
    pub key: RequestKey,
    /// Higher runs first, and may preempt lower.
    pub priority: i32,
    /// Who is charged for the blocks it fills.
    pub owner: OwnerKey,
    /// Hashes of the full blocks of the prompt followed by the output, from the first on.
    ///
    /// It may stop early: blocks beyond its end take memory but are never cached.
    pub blocks: Arc<[BlockHash]>,
    /// Tokens of the prompt; at least 1.
    pub prompt_tokens: u32,
    /// Tokens it will generate; at least 1. The caller decides, for the model has no weights.
    pub output_tokens: u32,
    /// Whether to lease the context at the end.
    pub hold: Option<PrefixHold>,
}

impl EngineRequest {
    /// Tokens of prompt and output together.
    pub fn total_tokens(&self) -> u64 {
        u64::from(self.prompt_tokens) + u64::from(self.output_tokens)
    }
}

/// How far a request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestProgress {
    /// It waits for room.
    Waiting {
        /// Tokens generated before it was preempted.
        produced: u32,
    },
    /// It runs.
    Running {
        /// Tokens generated so far.
        produced: u32,
    },
}

/// Why a request was not taken in; it has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum SubmitError {
    /// Prompt and output together can't fit the engine's memory.
    #[snafu(display("the request needs {needed} KV blocks and the engine has {blocks}"))]
    TooLarge {
        /// Blocks needed at the request's end.
        needed: usize,
        /// Blocks of the engine.
        blocks: usize,
    },
    /// The prompt or the output is empty.
    #[snafu(display("prompt and output must have at least one token each"))]
    Empty,
    /// A request with this key waits or runs.
    #[snafu(display("a request with this key is under way"))]
    KeyInUse,
}
