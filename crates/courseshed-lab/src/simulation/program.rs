//! Programs of a run: where each stands in its script, and its open call.

use std::time::Duration;

use courseshed_engine_model::{BlockHash, RequestKey};
use courseshed_types::{EngineId, ProgramId, Sequence, ShardId, Timestamp, dispatch::WaitingCall};

use super::event::{EngineIndex, PoolIndex, ProgramIndex};
use crate::workload::{ProgramScript, TurnScript};

/// The one shard of a run.
pub(super) const SHARD: ShardId = ShardId(1);
/// Bits of a request key that count the attempts of a program.
const ATTEMPT_BITS: u32 = 24;
/// Bits of a block hash that number the block.
const BLOCK_BITS: u32 = 24;
/// Marks blocks of a system prompt, shared by programs.
const SHARED: u64 = 1 << 63;

/// How a program ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Ending {
    /// All its calls were answered.
    Completed,
    /// A call of it, or of a sub-agent, was refused once too often.
    Refused,
    /// A limit of its branch ended it.
    Limit,
}

/// A call that was issued and is not settled.
#[derive(Debug, Clone)]
pub(super) struct OpenCall {
    /// As the dispatcher knows it.
    pub(super) waiting: WaitingCall,
    /// The current attempt at an engine.
    pub(super) key: RequestKey,
    /// The engine that was committed for it.
    pub(super) engine: Option<EngineIndex>,
    /// When the caller sent it.
    pub(super) issued_at: Timestamp,
    /// When the first token left the engine.
    pub(super) first_token_at: Option<Timestamp>,
    /// The engine's priority.
    pub(super) priority: i32,
}

/// One program.
#[derive(Debug)]
pub(super) struct Program {
    pub(super) script: ProgramScript,
    pub(super) pool: PoolIndex,
    pub(super) root: ProgramIndex,
    pub(super) parent: Option<ProgramIndex>,
    /// Whether its family arrived within the span that is measured.
    pub(super) is_measured: bool,
    /// The turn that is under way or comes next.
    pub(super) turn: usize,
    /// Sequence numbers used.
    pub(super) sequence: u64,
    /// Attempts made over all calls.
    pub(super) attempts: u64,
    /// Tokens of system prompt, prompts and answers so far.
    pub(super) history: u64,
    /// Tokens at the head that are shared with other programs, and by whom.
    pub(super) system_tokens: u64,
    pub(super) system: u64,
    /// Service the whole family attained; counted at the root.
    pub(super) attained: u64,
    pub(super) started_at: Timestamp,
    pub(super) aim: Option<Duration>,
    pub(super) worth: f64,
    pub(super) last_engine: Option<EngineId>,
    /// Engines that hold or held its blocks.
    pub(super) engines_used: Vec<EngineIndex>,
    pub(super) open: Option<OpenCall>,
    /// Refusals of the turn under way.
    pub(super) refusals: u32,
    /// What it waits for in a pause: the pause itself and sub-agents.
    pub(super) waits_for: u32,
    /// Whether a sub-agent below it was refused.
    pub(super) child_refused: bool,
    pub(super) ending: Option<Ending>,
}

impl Program {
    /// The turn under way or next.
    pub(super) fn current_turn(&self) -> &TurnScript {
        &self.script.turns[self.turn]
    }

    /// Prompt tokens of the turn under way.
    pub(super) fn prompt_tokens(&self) -> u64 {
        self.history + self.current_turn().new_tokens
    }

    /// The whole chain of full blocks of a context of so many tokens.
    pub(super) fn chain(
        &self,
        own: ProgramIndex,
        tokens: u64,
        block_tokens: u64,
    ) -> Vec<BlockHash> {
        let shared = self.system_tokens / block_tokens;
        let block = |index: u64| match index < shared {
            true => BlockHash(SHARED | self.system << BLOCK_BITS | index),
            false => BlockHash((own as u64 + 1) << BLOCK_BITS | index),
        };
        (0..tokens / block_tokens).map(block).collect()
    }
}

/// The program and place of a block; none for shared ones.
pub(super) fn owner_of_block(block: BlockHash) -> Option<(ProgramIndex, u64)> {
    if block.0 & SHARED != 0 {
        return None;
    }
    let program = (block.0 >> BLOCK_BITS) as usize - 1;
    Some((program, block.0 & ((1 << BLOCK_BITS) - 1)))
}

/// The id of a program in messages.
pub(super) fn program_id(index: ProgramIndex) -> ProgramId {
    ProgramId {
        shard: SHARD,
        number: index as u64,
    }
}

/// The program of an id.
pub(super) fn program_index(id: ProgramId) -> ProgramIndex {
    id.number as usize
}

/// The engine's name of an attempt.
pub(super) fn request_key(program: ProgramIndex, attempt: u64) -> RequestKey {
    RequestKey((program as u64) << ATTEMPT_BITS | attempt)
}

/// The program of an attempt.
pub(super) fn program_of_key(key: RequestKey) -> ProgramIndex {
    (key.0 >> ATTEMPT_BITS) as usize
}

/// The place of a program's next call.
pub(super) fn sequence(program: &Program) -> Sequence {
    Sequence(program.sequence)
}
