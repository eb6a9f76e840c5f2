//! What the nodes of a fleet say to each other.

use std::net::{Ipv4Addr, SocketAddr};

use courseshed_consensus::{Message, ReplicaId};
use courseshed_pool::{CallDemand, CallNote, DecisionInputs, RunningCall, Verdict};
use courseshed_quota::{QuotaAnswer, QuotaReport};
use courseshed_records::{
    ChainError, ExportCursor, ExportPage, PartitionId, Record, Reserved, Turn,
};
use courseshed_registry::{
    Command, FleetUpdate, Known, LoadReport, Outcome, RoutingInForce, RoutingProof,
};
use courseshed_transport::{Protocol, TrafficClass};
use courseshed_types::{CachedPrompt, NodeId};
use serde::{Deserialize, Serialize};

/// Which of a machine's ports a role listens on for its peers, counted from the first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerPort {
    /// Controllers.
    Controller = 0,
    /// Record stores.
    Store = 1,
    /// Gateways.
    Gateway = 2,
}

/// Turns machines into addresses: a node is named by its IPv4 address, and ports are alike everywhere.
#[derive(Clone, Copy, Debug)]
pub struct PeerAddresses {
    /// The first of the ports that are left to the fleet on every machine.
    pub first_port: u16,
}

impl PeerAddresses {
    /// Where a role of a machine listens.
    #[must_use]
    pub fn of(self, node: NodeId, port: PeerPort) -> SocketAddr {
        let address = Ipv4Addr::from_bits(node.0);
        SocketAddr::from((address, self.first_port + port as u16))
    }
}

/// The node at an address.
#[must_use]
pub fn node_at(address: Ipv4Addr) -> NodeId {
    NodeId(address.to_bits())
}

/// The replica of the controllers' log on a node.
#[must_use]
pub fn replica_of(node: NodeId) -> ReplicaId {
    ReplicaId(u64::from(node.0))
}

/// The node of a replica of the controllers' log.
#[must_use]
pub fn node_of(replica: ReplicaId) -> NodeId {
    NodeId(u32::try_from(replica.0).unwrap_or_default())
}

/// Told without an answer.
#[derive(Debug, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Of the controllers' replicated log.
    Consensus(Message),
    /// Who was heard lately by a controller that doesn't lead.
    Heard {
        /// Ids of servers.
        servers: Vec<String>,
        /// Machines.
        nodes: Vec<NodeId>,
    },
    /// The calls of the gateways that follow a controller, for the other controllers.
    Load(LoadReport),
    /// What became of a gateway's calls, for the scheduler of their pool.
    PoolNotes {
        /// The service that the pool serves.
        service: String,
        /// The calls that are over.
        notes: Vec<CallNote>,
    },
    /// All calls that a gateway has at the engines of a pool, for its scheduler.
    PoolCalls {
        /// The service that the pool serves.
        service: String,
        /// The calls.
        calls: Vec<RunningCall>,
    },
}

/// Asked.
#[derive(Debug, Serialize, Deserialize)]
pub enum PeerRequest {
    /// What a follower of the fleet's state lacks; held until there is something or the time is over.
    Follow {
        /// What it has.
        known: Known,
        /// How long to hold the request, in milliseconds.
        hold_ms: u64,
        /// A store that follows says who it is, so that it is heard.
        is_store: bool,
    },
    /// A command for the leader to commit.
    Submit(Command),
    /// The routing table in force, confirmed by a quorum.
    ReadRouting,
    /// The version of the routing table in force, confirmed by a quorum.
    ReadRoutingVersion,
    /// A controller wants to take part.
    Join {
        /// Its incarnation.
        incarnation: u64,
    },
    /// Which incarnation of the asker is known.
    KnownIncarnation,
    /// A store with records has read from enough others.
    CaughtUp {
        /// The life of its disk.
        incarnation: u64,
        /// What it has read enough of.
        partitions: Vec<PartitionId>,
    },
    /// Something for a store.
    Records(RecordRequest),
    /// A gateway's calls at servers, and what the others have there.
    ShareLoad(LoadReport),
    /// A gateway's use of tenants' permits, for the leader.
    Quota(QuotaReport),
    /// A call wants an engine of a pool; held for a while if none has room.
    Schedule {
        /// The service that the pool serves.
        service: String,
        /// What it needs.
        demand: CallDemand,
    },
}

/// A request to a store with records.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RecordRequest {
    /// The life of the disk that the asker means.
    pub incarnation: u64,
    /// The partition that it is about.
    pub partition: PartitionId,
    /// The epoch of the asker's view of that partition.
    pub epoch: u64,
    /// What is asked.
    pub operation: RecordOperation,
}

/// What a store with records can do.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum RecordOperation {
    /// Write a record down; answered when it is on disk.
    Write {
        /// The record.
        record: Record,
        /// What a server holds of the program's prompt now, to be remembered for its next call.
        cached: Option<CachedPrompt>,
    },
    /// Read a turn with its chain.
    Chain {
        /// The turn.
        id: String,
    },
    /// Read a piece of everything.
    Export {
        /// Where to go on.
        cursor: ExportCursor,
    },
}

/// A store's answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum RecordReply {
    /// The record is on disk.
    Written {
        /// For a reservation: all of the program's.
        reserved: Vec<Reserved>,
        /// For a reservation: what servers hold of the program's prompts, as far as is remembered.
        cached: Vec<CachedPrompt>,
    },
    /// The chain, oldest first.
    Chain(Vec<Turn>),
    /// The chain isn't whole here.
    NoChain(ChainError),
    /// A piece of everything.
    Page(ExportPage),
    /// The asker's view is older than the store's, or means another life of its disk.
    OtherView,
    /// The disk doesn't take it.
    Unavailable,
    /// There is no room for more programs; nothing was written.
    Full,
}

/// Answered.
#[derive(Debug, Serialize, Deserialize)]
pub enum PeerReply {
    /// What the follower lacked.
    Update {
        /// The news, which may be empty.
        update: Box<FleetUpdate>,
        /// The controllers, to ask others when this one falls silent.
        controllers: Vec<NodeId>,
        /// Whether this controller has all that was committed until lately.
        is_fresh: bool,
        /// When the routing table was surely the newest; none if that isn't known.
        proof: Option<RoutingProof>,
    },
    /// The command is committed.
    Committed(Outcome),
    /// The routing table in force; none before the first.
    Routing(Option<RoutingInForce>),
    /// The version of the routing table in force; none before the first.
    RoutingVersion(Option<u64>),
    /// The controller takes part, or will.
    Joining,
    /// The known incarnation; none if the asker is unknown.
    Incarnation(Option<u64>),
    /// Not the leader; who may be.
    NotLeader(Option<NodeId>),
    /// Whether it was done is not certain.
    Unsure,
    /// Of a store.
    Records(RecordReply),
    /// The calls of all other gateways at servers.
    OthersLoad(LoadReport),
    /// What a gateway may use of tenants' permits.
    Quota(QuotaAnswer),
    /// What the scheduler of a pool says to a call.
    Scheduled {
        /// The life of the scheduler.
        incarnation: u64,
        /// What it says.
        verdict: Verdict,
        /// What decided it.
        inputs: DecisionInputs,
    },
    /// The routing table in force here has no such pool.
    UnknownPool,
}

/// The protocol of the fleet's transport.
#[derive(Debug)]
pub struct FleetProtocol;

impl Protocol for FleetProtocol {
    type Message = PeerMessage;
    type Request = PeerRequest;
    type Reply = PeerReply;

    fn message_class(message: &PeerMessage) -> TrafficClass {
        match message {
            PeerMessage::PoolNotes { .. } | PeerMessage::PoolCalls { .. } => TrafficClass::Data,
            _ => TrafficClass::Control,
        }
    }

    fn request_class(request: &PeerRequest) -> TrafficClass {
        match request {
            PeerRequest::Records(request) => match request.operation {
                RecordOperation::Export { .. } => TrafficClass::Bulk,
                _ => TrafficClass::Data,
            },
            PeerRequest::ReadRouting => TrafficClass::Bulk,
            PeerRequest::Schedule { .. } => TrafficClass::Data,
            _ => TrafficClass::Control,
        }
    }
}
