//! What the leader hands to its driver, and the small types of its interface.

use courseshed_types::{
    EngineId, NodeId, RequestId, Timestamp,
    control::{GrantRequest, GrantReturn},
    dispatch::DispatchRequest,
    shard::ShardReply,
};

use crate::command::ShardCommand;

/// The driver's name for one request it passed in; every token gets exactly one reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestToken(pub u64);

/// Whether this replica leads the shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShardRole {
    /// Leads in a term. Told only once all that earlier terms committed has been applied.
    Leader {
        /// The term.
        term: u64,
    },
    /// Does not lead.
    Follower {
        /// The leader, if known.
        leader: Option<NodeId>,
    },
}

/// What became of a proposal that was not applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProposalLoss {
    /// It was never put into the log, and never will be.
    NeverAppended,
    /// It may be in the log of some replica and may still commit.
    Unknown,
}

/// An action for the driver.
#[derive(Debug, Clone, PartialEq)]
pub enum ShardOutput {
    /// Put this into the replicated log.
    Propose(Box<ShardCommand>),
    /// Answer a request.
    Reply {
        /// The request.
        token: RequestToken,
        /// The answer.
        reply: Box<ShardReply>,
    },
    /// Send this to the dispatcher of its pool.
    Dispatch(DispatchRequest),
    /// Ask an engine what became of an attempt, tell it to refuse the attempt if it does not know it, and hand
    /// the finding back.
    QueryEngine(EngineQuery),
    /// Ask the controller for escrow; the answer comes back by `on_grant`.
    RequestGrant(GrantRequest),
    /// Give escrow back to the controller; its word that it has it comes back by `on_grant_returned`.
    ReturnGrant(GrantReturn),
}

/// A question to an engine about an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineQuery {
    /// The attempt.
    pub request: RequestId,
    /// The engine.
    pub engine: EngineId,
    /// The engine's HTTP address, `ip:port`.
    pub engine_address: String,
    /// When the attempt was bound to the engine. An engine that does not know the attempt and started after this
    /// time may have run it before: that is `Forgotten`, not `NeverStarted`.
    pub dispatched_at: Timestamp,
}
