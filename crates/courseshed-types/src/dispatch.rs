//! What shard leaders and a dispatcher say to each other, and what a dispatcher hears from engines.
//!
//! The dispatcher's state is soft: a shard leader announces its waiting and dispatched calls again whenever the
//! dispatcher changes, and every message may come twice.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    branch::BranchPath,
    call::Usage,
    errors::CallError,
    ids::{
        Attempt, CallId, EngineId, Incarnation, ModelName, NodeId, ProgramId, RegionName,
        RequestId, ShardId, ZoneName,
    },
    time::Timestamp,
    tokens::Tokens,
};

/// The pool one dispatcher decides for.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PoolId {
    /// The region.
    pub region: RegionName,
    /// The model.
    pub model: ModelName,
}

/// A call that waits for an engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WaitingCall {
    /// The call.
    pub call: CallId,
    /// The attempt it would be.
    pub attempt: Attempt,
    /// The root of its family of programs, whose latency counts.
    pub root: ProgramId,
    /// The branch that pays.
    pub branch: BranchPath,
    /// The model.
    pub model: ModelName,
    /// Engine priority from policy; higher is more urgent.
    pub priority: i32,
    /// Estimated tokens of the whole prompt.
    pub prompt_tokens: Tokens,
    /// Upper bound of generated tokens.
    pub max_output: Tokens,
    /// Tokens of service the whole family has attained so far.
    pub attained: Tokens,
    /// Calls settled so far in this program.
    pub turn: u32,
    /// When the family's first call came.
    pub root_started_at: Timestamp,
    /// When the family should be done.
    pub aim_at: Option<Timestamp>,
    /// Worth when done within the aim.
    pub worth: f64,
    /// When this call was accepted.
    pub accepted_at: Timestamp,
    /// When it must be refused if still waiting.
    pub give_up_at: Timestamp,
    /// Where the program's prefix was left by the last call.
    pub last_engine: Option<EngineId>,
    /// Engines that failed this call before.
    pub avoid: Vec<EngineId>,
    /// Whether it may be sent twice.
    pub repeatable: bool,
}

/// From a shard leader to the dispatcher of a pool.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DispatchRequest {
    /// The pool.
    pub pool: PoolId,
    /// The shard that speaks.
    pub shard: ShardId,
    /// The node that leads it, where events go.
    pub leader: NodeId,
    /// The term of that leader; messages of older terms are dropped.
    pub term: u64,
    /// What is said.
    pub body: DispatchRequestBody,
}

/// What a shard leader says.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum DispatchRequestBody {
    /// A call waits.
    Enqueue(Box<WaitingCall>),
    /// A call waits no more.
    Withdraw(CallId),
    /// The assignment was committed; the attempt runs. Also announces running attempts to a new dispatcher.
    Started {
        /// The call as it was enqueued.
        call: Box<WaitingCall>,
        /// Where it runs.
        engine: EngineId,
    },
    /// An attempt ended with an answer; the program pauses or ends.
    Finished {
        /// The attempt.
        request: RequestId,
        /// What it took.
        usage: Usage,
    },
    /// An attempt ended without an answer.
    Failed {
        /// The attempt.
        request: RequestId,
        /// Whether the engine is to blame.
        engine_fault: bool,
    },
    /// A program ended; its prefix is useless now.
    ProgramEnded(ProgramId),
    /// All calls of this shard in this pool are now announced: forget others of the shard.
    AnnounceComplete,
}

/// From a dispatcher to the leader of a shard.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DispatchEvent {
    /// The shard.
    pub shard: ShardId,
    /// The pool.
    pub pool: PoolId,
    /// Which start of the dispatcher speaks; a change asks for all calls to be announced again.
    pub dispatcher: DispatcherIdentity,
    /// What is said.
    pub body: DispatchEventBody,
}

/// A dispatcher's identity.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DispatcherIdentity {
    /// The node.
    pub node: NodeId,
    /// Its start.
    pub incarnation: Incarnation,
}

/// What a dispatcher says.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum DispatchEventBody {
    /// Run this call there.
    Assigned {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: Attempt,
        /// The engine.
        engine: EngineId,
        /// Its HTTP address, `ip:port`.
        engine_address: String,
        /// The priority to send.
        priority: i32,
    },
    /// The call is refused: nothing was sent anywhere.
    Shed {
        /// The call.
        call: CallId,
        /// Why.
        error: CallError,
    },
    /// A new dispatcher asks for all waiting and running calls of the shard.
    AnnounceAll,
    /// Engine memory is held for these paused programs: say again which of them have ended.
    CheckPrograms(Vec<ProgramId>),
}

/// Whether an engine takes work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineState {
    /// Takes work.
    Live,
    /// Finishes what it has and takes nothing new.
    Leaving,
    /// Can't be reached.
    Down,
}

/// An engine as the list of engines names it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineMember {
    /// Its id.
    pub engine: EngineId,
    /// HTTP address, `ip:port`.
    pub address: String,
    /// Its region.
    pub region: RegionName,
    /// Its zone.
    pub zone: ZoneName,
    /// Models it serves.
    pub models: Vec<ModelName>,
    /// Whether it takes work.
    pub state: EngineState,
}

/// An engine's own report of its load; lags behind.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Sequences running.
    pub running: u32,
    /// Requests waiting inside the engine.
    pub waiting: u32,
    /// Largest batch.
    pub max_batch: u32,
    /// KV blocks in all.
    pub total_blocks: u32,
    /// KV blocks neither in use nor cached.
    pub free_blocks: u32,
    /// KV blocks cached and not in use.
    pub cached_blocks: u32,
    /// KV blocks held by leases.
    pub leased_blocks: u32,
    /// Tokens in one block.
    pub block_tokens: u32,
    /// Counts the engine's starts; a change means that it forgot everything.
    pub start: u64,
    /// Whether the engine says that it leaves.
    pub leaving: bool,
    /// Models loaded.
    pub models: Vec<ModelName>,
}

/// One event of an engine's prefix cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// The engine's number of the event; a jump means that events were lost.
    pub number: u64,
    /// The program whose prefix it concerns.
    pub program: ProgramId,
    /// What happened.
    pub change: CacheChange,
}

/// A change in an engine's prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// So many tokens of the program's prefix are cached now.
    Stored(Tokens),
    /// So many tokens of the program's prefix remain after an eviction.
    Evicted(Tokens),
}

/// One cached prefix in an engine's own listing, against which a dispatcher reconciles what it believes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseEntry {
    /// The program whose prefix it is.
    pub program: ProgramId,
    /// Tokens cached.
    pub tokens: Tokens,
    /// How long a lease still holds them; none where the engine may evict them.
    pub leased_for: Option<Duration>,
}

/// What a dispatcher asks of an engine besides calls.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// The engine.
    pub engine: EngineId,
    /// What is asked.
    pub body: EngineOrderBody,
}

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum EngineOrderBody {
    /// Keep a program's prefix for so long.
    RenewLease {
        /// The program.
        program: ProgramId,
        /// From now.
        time_to_live: Duration,
    },
    /// Give a program's prefix up.
    ReleaseLease {
        /// The program.
        program: ProgramId,
    },
    /// Copy a program's prefix out of the engine's memory; the engine may evict it once no lease holds it.
    Export {
        /// The program.
        program: ProgramId,
    },
    /// Bring a program's prefix that was copied out into this engine's memory.
    Import {
        /// The program.
        program: ProgramId,
    },
    /// Load a model, fenced.
    LoadModel {
        /// The model.
        model: ModelName,
        /// The controller's fence.
        fence: u64,
    },
    /// Drop a model, fenced.
    DropModel {
        /// The model.
        model: ModelName,
        /// The controller's fence.
        fence: u64,
    },
}

/// Why a call waits, for operators.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WaitExplanation {
    /// The call.
    pub call: CallId,
    /// Its place in its pool's order, from 0.
    pub position: u32,
    /// Calls waiting in the pool.
    pub pool_waiting: u32,
    /// Its branch's part of the pool by shares.
    pub entitled_share: f64,
    /// Its branch's part of the service given lately.
    pub attained_share: f64,
    /// One sentence.
    pub reason: String,
}
