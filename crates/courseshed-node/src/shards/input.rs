//! What comes to a replica of a shard, and what it wants done.

use std::{sync::Arc, time::Duration};

use courseshed_consensus::{Configuration, Message, ReplicaAddress};
use courseshed_programs::{LeaderConfig, ShardOutput};
use courseshed_transport::ReplySender;
use courseshed_types::{
    NodeId, RequestId, Timestamp,
    control::{Grant, GrantReturn},
    dispatch::DispatchEvent,
    shard::{EngineFinding, ShardReply, ShardRequest},
};
use tokio::sync::oneshot;

use crate::{
    protocol::{NodeProtocol, NodeReply},
    shards::plan::ReplicaTarget,
    view::PolicyView,
};

/// Where the answer of a request goes.
#[derive(Debug)]
pub enum PendingReply {
    /// To a gateway of this node.
    Local(oneshot::Sender<ShardReply>),
    /// To another node.
    Remote(ReplySender<NodeProtocol>),
}

impl PendingReply {
    /// Answers.
    pub fn send(self, reply: ShardReply) {
        match self {
            PendingReply::Local(sender) => {
                let _ = sender.send(reply);
            }
            PendingReply::Remote(sender) => sender.send(NodeReply::Shard(Box::new(reply))),
        }
    }

    /// Whether nobody waits for the answer any more.
    pub fn is_gone(&self) -> bool {
        match self {
            PendingReply::Local(sender) => sender.is_closed(),
            PendingReply::Remote(sender) => sender.is_closed(),
        }
    }
}

/// The moment of a step, on both clocks.
#[derive(Debug, Clone, Copy)]
pub struct StepTime {
    /// Wall time.
    pub now: Timestamp,
    /// Time since the node's start.
    pub elapsed: Duration,
}

/// Something that came for the replica.
#[derive(Debug)]
pub enum ShardInput {
    /// From another replica.
    Log(Box<Message>),
    /// A request and where its answer goes.
    Request(Box<ShardRequest>, PendingReply),
    /// From a dispatcher.
    Dispatch(Box<DispatchEvent>),
    /// From an engine.
    Finding(RequestId, EngineFinding),
    /// Escrow came.
    Granted(Grant),
    /// Escrow was taken back.
    Returned(GrantReturn),
    /// A gateway is down.
    GatewayDown(NodeId),
    /// Newer settings or a longer lease.
    Policy(Arc<PolicyView>, Timestamp),
    /// The replicas that the member map wants.
    Target(Arc<ReplicaTarget>),
    /// Hand leadership over if it is held here.
    HandOver,
    /// Time passed.
    Tick,
}

/// What the driver must do for the replica.
#[derive(Debug)]
pub enum ShardAction {
    /// Send to another replica.
    Log(Message),
    /// Anything the shard's leader asks besides proposals and replies.
    Output(ShardOutput),
}

/// How a replica starts.
#[derive(Debug, Clone)]
pub struct ReplicaStart {
    /// This node and its start.
    pub address: ReplicaAddress,
    /// The shard's logic.
    pub leader: LeaderConfig,
    /// The members to found the group with; empty to be admitted by a leader.
    pub founders: Configuration,
    /// Least time without a leader before an election.
    pub election_timeout: Duration,
    /// Time between heartbeats.
    pub heartbeat: Duration,
}
