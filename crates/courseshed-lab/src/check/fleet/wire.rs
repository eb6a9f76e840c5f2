//! What the parties of the simulated fleet say to each other.

use courseshed_consensus::Message;
use courseshed_programs::EngineQuery;
use courseshed_types::{
    CallError, EngineCall, NodeId, ProgramId, RequestId, Usage,
    control::{Grant, GrantRequest, GrantReturn},
    dispatch::{
        CacheEvent, DispatchEvent, DispatchRequest, EngineLoad, EngineOrderBody, LeaseEntry,
    },
    shard::{EngineFinding, ShardReply, ShardRequestBody},
};

/// Names a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallerId(pub usize);

/// Names one copy of one request of a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct CopyId(pub u64);

/// Names one question of a gateway to a shard's replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct AskId(pub u64);

/// Names one stream from an engine to a gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct StreamId(pub u64);

/// Someone who sends and receives.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Party {
    /// A node.
    Node(NodeId),
    /// An engine, by its place.
    Engine(usize),
    /// The budget ledger.
    Ledger,
    /// A caller.
    Caller(CallerId),
}

/// A message under way.
#[derive(Debug, Clone)]
pub struct Envelope {
    pub from: Party,
    pub to: Party,
    pub payload: Payload,
}

/// What a caller gets.
pub type CallerAnswer = Result<ShardReply, CallError>;

/// What is said.
#[derive(Debug, Clone)]
pub enum Payload {
    /// Between replicas of the shard.
    Log(Message),
    /// From a gateway to a replica.
    Ask { ask: AskId, body: ShardRequestBody },
    /// A replica's answer.
    Answer { ask: AskId, reply: ShardReply },
    /// The connection broke before an answer came. `handed_over` is false when none was made.
    AskLost { ask: AskId, handed_over: bool },
    /// From the shard's leader to the dispatcher.
    Dispatch(DispatchRequest),
    /// From the dispatcher to the shard's leader.
    Event(DispatchEvent),
    /// From the shard's leader to the ledger.
    GrantAsked(GrantRequest),
    /// The ledger's answer.
    Granted(Grant),
    /// From the shard's leader to the ledger.
    GrantReturned(GrantReturn),
    /// The ledger's answer.
    ReturnTaken(GrantReturn),
    /// From a gateway to an engine: run this.
    Start {
        stream: StreamId,
        call: Box<EngineCall>,
    },
    /// From a gateway to an engine: go on from here.
    Resume {
        stream: StreamId,
        request: RequestId,
        offset: u32,
    },
    /// From an engine to a gateway.
    Stream { stream: StreamId, item: StreamItem },
    /// From the shard's leader to an engine: what became of this?
    Query(EngineQuery),
    /// The engine's answer.
    Finding {
        request: RequestId,
        finding: EngineFinding,
    },
    /// From the dispatcher to an engine.
    Order(EngineOrderBody),
    /// From an engine to the dispatcher, as polled.
    Poll(Box<EnginePoll>),
    /// The dispatcher could not reach an engine.
    Unreachable(usize),
    /// From a caller to a gateway.
    Request {
        copy: CopyId,
        request: CallerRequest,
    },
    /// From a gateway to a caller; `broken` when its connection was cut before an answer came.
    Reply { copy: CopyId, reply: CallerReply },
}

/// What a caller asks of a gateway.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// What the gateway asks the shard first.
    pub body: ShardRequestBody,
}

/// What becomes of a caller's connection.
#[derive(Debug, Clone)]
pub enum CallerReply {
    /// The gateway answered.
    Answered(Box<CallerAnswer>),
    /// No connection was made.
    Refused,
    /// The connection broke.
    Broken,
}

/// A part of a stream.
#[derive(Debug, Clone)]
pub enum StreamItem {
    /// Tokens from an offset on.
    Tokens { offset: u32, tokens: Vec<String> },
    /// The end.
    Finished { usage: Usage },
    /// The engine did not take the request, and never will under this id.
    NeverStarted,
    /// The engine knows this id already; it may be resumed.
    Known,
    /// The engine knows no such request.
    Unknown,
    /// No connection was made.
    NotConnected,
    /// The connection broke.
    Broken,
}

/// What an engine says of itself.
#[derive(Debug, Clone)]
pub struct EnginePoll {
    pub engine: usize,
    pub load: EngineLoad,
    pub events: Vec<CacheEvent>,
    pub listing: Option<Vec<LeaseEntry>>,
}

/// The program a request is about, if it is about one.
pub fn program_of(body: &ShardRequestBody) -> Option<ProgramId> {
    match body {
        ShardRequestBody::SubmitCall(submit) => Some(submit.program),
        ShardRequestBody::AttachCall(call) | ShardRequestBody::GetCall(call) => Some(call.program),
        ShardRequestBody::GetHistory(program)
        | ShardRequestBody::GetProgram(program)
        | ShardRequestBody::Heartbeat(program)
        | ShardRequestBody::EndProgram { program, .. } => Some(*program),
        _ => None,
    }
}
