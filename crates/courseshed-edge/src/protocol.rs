//! Messages between the nodes of a fleet.

use std::net::{Ipv4Addr, SocketAddr};

use courseshed_consensus::{Message, ReplicaId};
use courseshed_pool::{CallDemand, CallEndReport, DecisionInputs, RunningCall, Verdict};
use courseshed_quota::{QuotaAnswer, QuotaReport};
use courseshed_records::{
    AttemptReceipt, AttemptUpdate, ChainError, ChainPart, ExportCursor, ExportPage, PartitionId,
    Record, RecordMember, Reserved, StreamAttempt, Turn,
};
use courseshed_registry::{
    ActiveRouting, Command, FleetUpdate, FollowerRevisions, LoadReport, Outcome, RoutingProof,
    SuspectReport, SuspectVerdict,
};
use courseshed_transport::{Protocol, TrafficClass};
use courseshed_types::{CachedPrompt, NodeId};
use courseshed_warmup::{WarmupAnswer, WarmupReport};
use serde::{Deserialize, Serialize};

/// The port on which a role listens for peers, as an offset from the first peer port.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerPort {
    /// Controllers.
    Controller = 0,
    /// Record stores.
    Store = 1,
    /// Gateways.
    Gateway = 2,
}

/// Maps nodes to addresses: a node id is an IPv4 address, and all machines use the same ports.
#[derive(Clone, Copy, Debug)]
pub struct PeerAddresses {
    /// The first peer port.
    pub first_port: u16,
}

impl PeerAddresses {
    /// The address on which a role of a node listens.
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

/// The id of the controller log's replica on a node.
#[must_use]
pub fn replica_of(node: NodeId) -> ReplicaId {
    ReplicaId(u64::from(node.0))
}

/// The node of a replica of the controller log.
#[must_use]
pub fn node_of(replica: ReplicaId) -> NodeId {
    NodeId(u32::try_from(replica.0).unwrap_or_default())
}

/// One-way messages.
#[derive(Debug, Serialize, Deserialize)]
pub enum PeerMessage {
    /// A message of the consensus protocol.
    Consensus(Message),
    /// Servers and stores that sent heartbeats to another controller, for the leader.
    #[serde(rename = "Heard")]
    Heartbeats {
        /// Server ids.
        servers: Vec<String>,
        /// Nodes with record stores.
        nodes: Vec<NodeId>,
        /// Reports on suspect requests, for all controllers; those that don't know them ignore them.
        #[serde(default)]
        suspects: Vec<SuspectReport>,
    },
    /// Load of the gateways that follow a controller, for the other controllers.
    Load(LoadReport),
    /// Notes on a gateway's calls, for the scheduler of their pool.
    PoolNotes {
        /// The service that the pool serves.
        service: String,
        /// Notes on calls that ended.
        notes: Vec<CallEndReport>,
    },
    /// All calls of a gateway that are running on engines of a pool, for its scheduler.
    PoolCalls {
        /// The service that the pool serves.
        service: String,
        /// The running calls.
        calls: Vec<RunningCall>,
    },
}

/// Requests.
#[derive(Debug, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Long poll for changes of the fleet's state since `known`.
    Follow {
        /// The state that the follower has.
        known: FollowerRevisions,
        /// How long to hold the request without changes, in milliseconds.
        hold_ms: u64,
        /// Whether the follower is a record store, for which the poll is a heartbeat.
        is_store: bool,
    },
    /// Commits a command; for the leader.
    Submit(Command),
    /// Linearizable read of the routing table in force.
    ReadRouting,
    /// Linearizable read of the version of the routing table in force.
    ReadRoutingVersion,
    /// A controller asks to be admitted to the group.
    Join {
        /// The incarnation of its disk.
        incarnation: u64,
    },
    /// Asks which incarnation of the sender is a member of the group.
    KnownIncarnation,
    /// A store has caught up on partitions that it joins.
    CaughtUp {
        /// The incarnation of its disk.
        incarnation: u64,
        /// The partitions.
        partitions: Vec<PartitionId>,
    },
    /// A request to a record store.
    Records(RecordRequest),
    /// Reports a gateway's load and asks for that of the other gateways.
    ShareLoad(LoadReport),
    /// Reports a gateway's use of tenants' permits; for the leader.
    Quota(QuotaReport),
    /// Reports a gateway's use of the permits of servers that are warming up; for the leader.
    Warmup(WarmupReport),
    /// Reports on requests under which servers ended, and asks whether the last one may be sent again. Only for
    /// controllers that state a [`SuspectRevision`](courseshed_registry::SuspectRevision).
    Suspects(Vec<SuspectReport>),
    /// Asks the scheduler of a pool for an engine; waits briefly if none has capacity.
    Schedule {
        /// The service that the pool serves.
        service: String,
        /// Resources needed by the call.
        demand: CallDemand,
    },
}

/// A request to a record store.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RecordRequest {
    /// The expected incarnation of the store's disk.
    pub incarnation: u64,
    /// The partition.
    pub partition: PartitionId,
    /// The epoch of the sender's view of the partition.
    pub epoch: u64,
    /// The operation.
    pub operation: RecordOperation,
    /// An operation on the software versions of streams, which takes the place of `operation`.
    /// Stores that don't know it ignore it.
    #[serde(default)]
    pub stream: Option<StreamOperation>,
    /// An operation on streams under way, which takes the place of `operation`. Stores that don't know it ignore it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub attempt: Option<Box<AttemptOperation>>,
}

impl RecordRequest {
    /// A request for an operation on a replica's disk.
    pub(crate) fn new(
        replica: &RecordMember,
        partition: PartitionId,
        epoch: u64,
        operation: RecordOperation,
    ) -> Self {
        Self {
            incarnation: replica.incarnation,
            partition,
            epoch,
            operation,
            stream: None,
            attempt: None,
        }
    }

    /// A request for an operation on what a replica holds in memory, which is to be added. A store that doesn't know
    /// that operation reads a turn that doesn't exist.
    pub(crate) fn in_memory(replica: &RecordMember, partition: PartitionId, epoch: u64) -> Self {
        let operation = RecordOperation::Chain {
            id: String::new(),
            reading: ChainReading::Whole,
        };
        Self::new(replica, partition, epoch, operation)
    }
}

/// An operation on streams under way, which are found by what is asked. Stores hold them in memory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptOperation {
    /// Records an attempt at a stream.
    Record {
        /// The stream.
        stream: String,
        /// The attempt.
        update: AttemptUpdate,
        /// How long it is kept, in milliseconds.
        keep_ms: u64,
    },
    /// Reads the attempts at a stream.
    Read {
        /// The stream.
        stream: String,
        /// The event up to which their output is read.
        through: Option<u64>,
    },
}

/// An operation on the software versions at which streams began. Stores hold them in memory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StreamOperation {
    /// Records the version at which a stream began.
    Record {
        /// The stream.
        stream: String,
        /// The software version.
        version: String,
        /// How long it is kept, in milliseconds.
        keep_ms: u64,
    },
    /// Reads the version at which a stream began.
    Read {
        /// The stream.
        stream: String,
    },
}

impl StreamOperation {
    /// The stream that the operation is about.
    #[must_use]
    pub fn stream(&self) -> &str {
        match self {
            Self::Record { stream, .. } | Self::Read { stream } => stream,
        }
    }
}

/// An operation of a record store.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum RecordOperation {
    /// Writes a record; answered once it is on disk.
    Write {
        /// The record.
        record: Record,
        /// The prompt of the program that a server has cached now, as a hint for the next call.
        cached: Option<CachedPrompt>,
    },
    /// Reads a turn with its chain.
    Chain {
        /// Id of the turn.
        id: String,
        /// What to return if the chain is incomplete. Older versions ignore it.
        #[serde(default, skip_serializing_if = "ChainReading::is_whole")]
        reading: ChainReading,
    },
    /// Reads a page of all records of the partition.
    Export {
        /// Where the page starts.
        cursor: ExportCursor,
    },
}

/// How a store replies to a request for a chain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChainReading {
    /// With the whole chain, or an error if it is incomplete.
    #[default]
    Whole,
    /// With the newest part of the chain that it stores, for a call that waits.
    Part,
    /// With the newest part of the chain that it stores, for another store that lacks it.
    Repair {
        /// Maximum number of turns.
        max_turns: u32,
    },
}

impl ChainReading {
    fn is_whole(&self) -> bool {
        *self == Self::Whole
    }
}

/// A reply of a record store.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum RecordReply {
    /// The record is on disk.
    Written {
        /// For a reservation: all reservations of the program.
        reserved: Vec<Reserved>,
        /// For a reservation: known cached prompts of the program.
        cached: Vec<CachedPrompt>,
    },
    /// The chain, oldest first.
    Chain(Vec<Turn>),
    /// The newest part of the chain that this store has. Only for requests that ask for a part.
    ChainPart(ChainPart),
    /// The chain is incomplete on this store.
    #[serde(rename = "NoChain")]
    IncompleteChain(ChainError),
    /// A page of records.
    Page(ExportPage),
    /// The sender's view is older than the store's, or names another incarnation of its disk.
    #[serde(rename = "OtherView")]
    StaleView,
    /// The disk failed or is overloaded.
    Unavailable,
    /// The store accepts no new programs; nothing was written.
    Full,
    /// The software version at which a stream began, after the operation; `None` if this store
    /// doesn't know it.
    StreamVersion(Option<String>),
    /// An attempt at a stream was recorded, or there is no room for it.
    AttemptRecorded(AttemptReceipt),
    /// The attempts at a stream.
    Attempts(Vec<StreamAttempt>),
}

impl RecordReply {
    /// Whether the reply says which turns of a chain the store has.
    pub(crate) fn tells_of_chain(&self) -> bool {
        matches!(
            self,
            Self::Chain(_) | Self::ChainPart(_) | Self::IncompleteChain(_)
        )
    }
}

/// Replies.
#[derive(Debug, Serialize, Deserialize)]
pub enum PeerReply {
    /// Changes since the follower's state.
    Update {
        /// The changes, possibly empty.
        update: Box<FleetUpdate>,
        /// All controllers, for failover.
        controllers: Vec<NodeId>,
        /// Whether this controller is up to date with recently committed entries.
        is_fresh: bool,
        /// Proof that the routing table was the newest at some time; none if unknown.
        proof: Option<RoutingProof>,
    },
    /// The command is committed.
    Committed(Outcome),
    /// The routing table in force; none before the first.
    Routing(Option<ActiveRouting>),
    /// The version of the routing table in force; none before the first.
    RoutingVersion(Option<u64>),
    /// The controller is a member of the group, or is being admitted.
    Joining,
    /// The incarnation known to the group; none if the sender is not a member.
    Incarnation(Option<u64>),
    /// Not the leader, with the presumed leader.
    NotLeader(Option<NodeId>),
    /// The outcome is unknown.
    #[serde(rename = "Unsure")]
    OutcomeUnknown,
    /// A reply of a record store.
    Records(RecordReply),
    /// Load of all other gateways.
    OthersLoad(LoadReport),
    /// The tenants' permits granted to a gateway.
    Quota(QuotaAnswer),
    /// The permits of servers that are warming up, granted to a gateway.
    Warmup(WarmupAnswer),
    /// What is known of the last reported suspect request; none if there was no report.
    Suspect(Option<SuspectVerdict>),
    /// The verdict of a pool's scheduler on a call.
    Scheduled {
        /// The incarnation of the scheduler.
        incarnation: u64,
        /// The verdict.
        verdict: Verdict,
        /// The inputs of the decision.
        inputs: DecisionInputs,
    },
    /// The routing table on this controller has no such pool.
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
                RecordOperation::Export { .. }
                | RecordOperation::Chain {
                    reading: ChainReading::Repair { .. },
                    ..
                } => TrafficClass::Bulk,
                _ => TrafficClass::Data,
            },
            PeerRequest::ReadRouting => TrafficClass::Bulk,
            PeerRequest::Schedule { .. } => TrafficClass::Data,
            _ => TrafficClass::Control,
        }
    }
}
