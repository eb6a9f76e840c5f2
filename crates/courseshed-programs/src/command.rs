//! The commands of the replicated log: everything that changes a shard's state.
//!
//! A command carries all that its effect depends on besides the state itself: the time, and the limits its
//! leader read from the policy. Replicas never look at a clock or at settings, so they stay equal even while
//! they hold different versions of the settings tree.

use courseshed_types::{
    Attempt, BranchPath, CallAnswer, CallError, CallId, EngineId, ModelName, NodeId, ProgramId,
    RequestId, Timestamp, Tokens,
    chat::ChatMessage,
    control::{Grant, GrantReturn},
    program::EndReason,
};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use snafu::{ResultExt, Snafu};

use crate::digest::BodyDigest;

/// Names one proposal of one leader, so that the leader recognises its own commands when they are applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ProposalId {
    /// The node that proposed.
    pub node: NodeId,
    /// The term it led in.
    pub term: u64,
    /// Counts the proposals of that node in that term, from 1.
    pub number: u64,
}

/// One entry of a shard's replicated log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ShardCommand {
    /// The leader's time when it proposed.
    pub at: Timestamp,
    /// Who proposed.
    pub origin: ProposalId,
    /// What to do.
    pub body: CommandBody,
}

/// What a command does.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum CommandBody {
    /// Start a program.
    CreateProgram(Box<CreateProgram>),
    /// Accept a call and reserve the worst case of its first attempt.
    AcceptCall(Box<AcceptCall>),
    /// Bind the current attempt of an accepted call to an engine. Committed before anything is sent there.
    DispatchCall(DispatchCall),
    /// Settle a call with the answer of its current attempt.
    CompleteCall {
        /// The attempt that answered.
        request: RequestId,
        /// The answer.
        answer: Box<CallAnswer>,
    },
    /// End an attempt and let the call wait for another one.
    RetryCall(RetryCall),
    /// Settle a call that was not dispatched: the tombstone that makes "not run" true for ever.
    RefuseCall {
        /// The call.
        call: CallId,
        /// Why; the verdict becomes weaker if an earlier attempt may have run.
        error: CallError,
    },
    /// Settle a dispatched call without an answer.
    FailCall {
        /// The attempt.
        request: RequestId,
        /// Whether the attempt is paid for.
        charge: AttemptCharge,
        /// Why.
        error: CallError,
    },
    /// The program lives on through a long pause.
    Heartbeat(ProgramId),
    /// End a program and its sub-agents.
    EndProgram(EndProgram),
    /// Add escrow that the controller granted.
    ApplyGrant(ApplyGrant),
    /// Take unspent escrow out of a balance, to be given back to the controller.
    ReturnEscrow(BudgetPeriod),
    /// The controller has taken a return; forget it.
    ReturnTaken(GrantReturn),
    /// Shrink records of ended programs and forget the oldest.
    Retire(RetireRule),
}

impl CommandBody {
    /// The name of the command, for traces.
    pub fn name(&self) -> &'static str {
        match self {
            CommandBody::CreateProgram(_) => "CreateProgram",
            CommandBody::AcceptCall(_) => "AcceptCall",
            CommandBody::DispatchCall(_) => "DispatchCall",
            CommandBody::CompleteCall { .. } => "CompleteCall",
            CommandBody::RetryCall(_) => "RetryCall",
            CommandBody::RefuseCall { .. } => "RefuseCall",
            CommandBody::FailCall { .. } => "FailCall",
            CommandBody::Heartbeat(_) => "Heartbeat",
            CommandBody::EndProgram(_) => "EndProgram",
            CommandBody::ApplyGrant(_) => "ApplyGrant",
            CommandBody::ReturnEscrow(_) => "ReturnEscrow",
            CommandBody::ReturnTaken(_) => "ReturnTaken",
            CommandBody::Retire(_) => "Retire",
        }
    }
}

/// Starts a program.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CreateProgram {
    /// The branch that pays.
    pub branch: BranchPath,
    /// The kind of program.
    pub kind: Option<String>,
    /// Aim for its whole latency.
    pub aim: Option<std::time::Duration>,
    /// Worth when completed within the aim.
    pub worth: f64,
    /// The program whose sub-agent this is.
    pub parent: Option<ProgramId>,
    /// The caller's key.
    pub idempotency_key: Option<String>,
    /// Digest of what the caller sent.
    pub digest: BodyDigest,
    /// What the program may spend with its sub-agents; ignored for sub-agents.
    pub budget: Option<Tokens>,
    /// Deepest nesting of sub-agents.
    pub depth_limit: u32,
    /// Programs under way at once, for each branch that pays.
    pub programs_at_once: Vec<BranchLimit>,
}

/// A limit of one branch, as this shard applies it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BranchLimit {
    /// The branch.
    pub branch: BranchPath,
    /// The most this shard may have at once.
    pub limit: u32,
}

/// One period of a branch's budget.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct BudgetPeriod {
    /// The branch.
    pub branch: BranchPath,
    /// The period, counted since the epoch.
    pub period: u64,
}

/// Accepts a call.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AcceptCall {
    /// The program and the place the call takes in it.
    pub call: CallId,
    /// The caller's key.
    pub idempotency_key: Option<String>,
    /// Digest of what the caller sent, without the history.
    pub digest: BodyDigest,
    /// The model.
    pub model: ModelName,
    /// The new messages.
    pub messages: Vec<ChatMessage>,
    /// Upper bound of generated tokens.
    pub max_output: Tokens,
    /// Whether the call may run again after a failure that leaves doubt.
    pub repeatable: bool,
    /// Parameters for the engine.
    pub parameters: Map<String, Value>,
    /// The gateway that will run the stream.
    pub gateway: NodeId,
    /// Engine priority.
    pub priority: i32,
    /// When the call must be refused if it still waits.
    pub give_up_at: Timestamp,
    /// What the policy allows.
    pub limits: CallLimits,
}

/// What the policy allows a call, as its leader read it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallLimits {
    /// Calls the program may make.
    pub turns: u32,
    /// Tokens of history the program may gather.
    pub history_tokens: Tokens,
    /// Calls waiting or running at once, for each branch that pays.
    pub calls_at_once: Vec<BranchLimit>,
    /// Budgets that must cover the call: each branch that pays and has one.
    pub budgets: Vec<BudgetPeriod>,
}

/// Binds an attempt to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DispatchCall {
    /// The attempt.
    pub request: RequestId,
    /// The engine.
    pub engine: EngineId,
    /// The engine's HTTP address, `ip:port`.
    pub engine_address: String,
    /// Engine priority the dispatcher decided on.
    pub priority: i32,
    /// The gateway that gets the one order to start it.
    pub gateway: NodeId,
}

/// Ends an attempt and lets the call wait for another one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetryCall {
    /// The attempt that ended.
    pub request: RequestId,
    /// Whether it is paid for.
    pub charge: AttemptCharge,
    /// The next attempt is not enqueued before this time.
    pub not_before: Timestamp,
    /// Whether the engine is to blame, so that the next attempt avoids it.
    pub engine_fault: bool,
    /// When the call must be refused if it still waits for the next attempt.
    pub give_up_at: Timestamp,
    /// Budgets that must cover the next attempt.
    pub budgets: Vec<BudgetPeriod>,
}

/// What an attempt that ended without an answer costs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum AttemptCharge {
    /// It certainly did not run: the reservation comes back.
    Nothing,
    /// It may have run: the whole reservation stays charged.
    WorstCase,
}

/// Adds escrow.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplyGrant {
    /// What the controller granted.
    pub grant: Grant,
    /// When the period ends; its account is kept until well after.
    pub period_ends_at: Timestamp,
}

/// Ends a program.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndProgram {
    /// The program.
    pub program: ProgramId,
    /// Why.
    pub reason: EndReason,
    /// End it only if nothing happened since this time; none ends it in any case.
    pub idle_since: Option<Timestamp>,
}

/// Which records of ended programs to shrink and which to forget.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetireRule {
    /// Programs ended before this time become tombstones.
    pub shrink_before: Timestamp,
    /// Beyond so many ended programs, the oldest become tombstones earlier.
    pub keep_ended: u32,
    /// Tombstones made before this time are dropped.
    pub forget_before: Timestamp,
    /// Beyond so many tombstones, the oldest are dropped earlier.
    pub keep_tombstones: u32,
}

/// A command or snapshot that can't be read or written.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CodecError {
    /// It could not be encoded.
    #[snafu(display("can't encode {what}: {source}"))]
    Encode {
        /// What was to be encoded.
        what: &'static str,
        /// Why.
        source: rmp_serde::encode::Error,
    },
    /// It could not be decoded.
    #[snafu(display("can't decode {what}: {source}"))]
    Decode {
        /// What was to be decoded.
        what: &'static str,
        /// Why.
        source: rmp_serde::decode::Error,
    },
}

/// A command as bytes for the replicated log (MessagePack).
pub fn encode_command(command: &ShardCommand) -> Result<Vec<u8>, CodecError> {
    rmp_serde::to_vec(command).context(EncodeSnafu {
        what: "a shard command",
    })
}

/// A command from the bytes of the replicated log.
pub fn decode_command(bytes: &[u8]) -> Result<ShardCommand, CodecError> {
    rmp_serde::from_slice(bytes).context(DecodeSnafu {
        what: "a shard command",
    })
}

/// The attempt that follows one.
pub(crate) fn next_attempt(attempt: Attempt) -> Attempt {
    Attempt(attempt.0.saturating_add(1))
}
