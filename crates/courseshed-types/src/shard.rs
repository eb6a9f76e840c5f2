//! What gateways and operators ask of a program shard's leader, and what it answers.
//!
//! Every request gets exactly one answer. Answers to calls may come late: they wait until the call has been
//! dispatched or settled. Asking again is always harmless.

use serde::{Deserialize, Serialize};

use crate::{
    branch::BranchPath,
    call::{CallAnswer, CallOutcome, CallRequest, EngineCall},
    chat::ChatMessage,
    errors::CallError,
    ids::{CallId, EngineId, NodeId, ProgramId, RequestId, Sequence, ShardId},
    program::{CallState, EndReason, NewProgram, ProgramView},
    time::Timestamp,
    tokens::Tokens,
};

/// A request to the leader of one shard.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ShardRequest {
    /// The shard asked.
    pub shard: ShardId,
    /// What is asked.
    pub body: ShardRequestBody,
}

/// What is asked of a shard.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ShardRequestBody {
    /// Start a program. Answer: `Program`.
    CreateProgram(NewProgram),
    /// Make a call. Answer: `Start`, `Attach` or `Outcome`, or an error.
    SubmitCall(SubmitCall),
    /// Wait for a call made before. Answer: `Attach`, `Outcome`, or an error.
    AttachCall(CallId),
    /// The state of a call, at once. Answer: `Call`.
    GetCall(CallId),
    /// A gateway reports how the attempt it was told to start ended. Answer: `Outcome` (or `Start` of the next
    /// attempt for the same caller).
    ReportAttempt(AttemptReport),
    /// A gateway still streams these attempts. Answer: `Done`.
    StreamsAlive(Vec<RequestId>),
    /// Answer: `Program`.
    GetProgram(ProgramId),
    /// Answer: `History`.
    GetHistory(ProgramId),
    /// The program lives on through a long pause. Answer: `Program`.
    Heartbeat(ProgramId),
    /// End a program and its sub-agents. Answer: `Program`.
    EndProgram {
        /// The program.
        program: ProgramId,
        /// Why.
        reason: EndReason,
    },
    /// Programs below a branch, by id. Answer: `Programs`.
    ListPrograms {
        /// The branch.
        branch: BranchPath,
        /// Only those after this one.
        after: Option<ProgramId>,
        /// At most so many.
        limit: u32,
        /// Ended ones too.
        include_ended: bool,
    },
}

/// A call as the gateway hands it to the shard.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SubmitCall {
    /// The program.
    pub program: ProgramId,
    /// The caller's sequence number; none lets the shard take the next one.
    pub sequence: Option<Sequence>,
    /// The caller's idempotency key.
    pub idempotency_key: Option<String>,
    /// What is asked.
    pub call: CallRequest,
    /// When given, `call.messages` is the caller's full list: its beginning must equal the kept history.
    pub full_history: bool,
    /// The gateway that will run the stream.
    pub gateway: NodeId,
}

/// How an attempt ended, as the gateway saw it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AttemptReport {
    /// The attempt.
    pub request: RequestId,
    /// How it ended.
    pub result: AttemptResult,
    /// The gateway that reports.
    pub gateway: NodeId,
}

/// The end of an attempt.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum AttemptResult {
    /// The whole answer.
    Answered(CallAnswer),
    /// Nothing reached the engine, or it refused before running; certain.
    NotStarted(String),
    /// The engine ended the attempt with an error after it may have started.
    Failed(String),
    /// The stream broke and could not be resumed.
    Lost(String),
}

/// The answer of a shard's leader.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ShardReply {
    /// A program.
    Program(ProgramView),
    /// Programs, in order of their ids.
    Programs(Vec<ProgramView>),
    /// All messages of a program's settled calls, in order.
    History(Vec<ChatMessage>),
    /// The state of a call.
    Call(CallState),
    /// Dispatched and committed: this gateway, and no other, sends the attempt to the engine.
    Start(Box<StartOrder>),
    /// The attempt was handed to the engine before: resume its stream.
    Attach(AttachOrder),
    /// Settled.
    Outcome(SettledCall),
    /// Done.
    Done,
    /// This node does not lead the shard.
    NotLeader {
        /// The leader, if known.
        leader: Option<NodeId>,
    },
    /// Refused.
    Error(CallError),
}

/// A call and how it ended.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SettledCall {
    /// The call.
    pub call: CallId,
    /// How it ended.
    pub outcome: CallOutcome,
}

/// The order to run an attempt.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StartOrder {
    /// The engine.
    pub engine: EngineId,
    /// The engine's HTTP address, `ip:port`.
    pub engine_address: String,
    /// What to send.
    pub call: EngineCall,
    /// After this time, by the gateway's clock, the order must not be followed any more: the gateway reports the
    /// attempt as not started, since its shard may be about to give the call another attempt.
    pub valid_until: Timestamp,
}

impl StartOrder {
    /// Whether the order may be followed at this time of the gateway's clock.
    pub fn is_valid_at(&self, now: Timestamp) -> bool {
        now < self.valid_until
    }
}

/// The order to resume a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttachOrder {
    /// The attempt.
    pub request: RequestId,
    /// The engine.
    pub engine: EngineId,
    /// The engine's HTTP address, `ip:port`.
    pub engine_address: String,
}

/// What a leader learns when it asks an engine about an attempt whose gateway is gone.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum EngineFinding {
    /// The engine does not know the request, and has been told to refuse it if it still comes.
    NeverStarted,
    /// It runs or waits there.
    Running,
    /// It ended with this answer.
    Answered(CallAnswer),
    /// It ended without an answer.
    Failed(String),
    /// The engine knew the request no more, or restarted.
    Forgotten,
    /// The engine can't be reached.
    Unreachable(String),
}

/// Escrow that a shard holds of a branch's budget in one period.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EscrowBalance {
    /// The period, counted since the epoch.
    pub period: u64,
    /// Granted so far.
    pub granted: Tokens,
    /// Spent, as engines counted.
    pub spent: Tokens,
    /// Reserved by attempts under way.
    pub reserved: Tokens,
}
