//! One replica of a shard: replicated log, shard logic, and the answers still owed.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use courseshed_consensus::{
    Configuration, GroupError, GroupId, Message, PeerConfig, ReplicaAddress, ReplicaId,
    ReplicatedGroup, VolatileLog,
};
use courseshed_programs::{
    LeaderConfig, ProposalLoss, RequestToken, Shard, ShardOutput, ShardRole, encode_command,
};
use courseshed_transport::ReplySender;
use courseshed_types::{
    NodeId, RequestId, ShardId, Timestamp,
    control::{Grant, GrantReturn},
    dispatch::DispatchEvent,
    shard::{EngineFinding, ShardReply, ShardRequest},
};
use tokio::sync::oneshot;

use crate::{
    protocol::{NodeProtocol, NodeReply},
    shards::machine::ShardMachine,
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

    fn is_gone(&self) -> bool {
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
    /// Hand leadership over if it is held here.
    HandOver(NodeId),
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

/// One replica of a shard.
pub struct ShardReplica {
    group: ReplicatedGroup<VolatileLog, ShardMachine>,
    node: NodeId,
    pending: BTreeMap<RequestToken, PendingReply>,
    next_token: u64,
    role: ShardRole,
}

impl ShardReplica {
    /// Opens a replica.
    ///
    /// # Errors
    /// When its settings can't work.
    pub fn open(start: ReplicaStart, time: StepTime) -> Result<ShardReplica, GroupError> {
        let node = start.leader.node;
        let group_id = GroupId(start.leader.shard.0);
        let mut config = PeerConfig::new(group_id, start.address, start.founders);
        config.election_timeout = start.election_timeout;
        config.heartbeat_interval = start.heartbeat;
        config.seed = config.seed.wrapping_add(u64::from(start.leader.shard.0));
        let machine = ShardMachine {
            shard: Shard::new(start.leader),
            now: time.now,
        };
        Ok(ShardReplica {
            group: ReplicatedGroup::new(config, VolatileLog, machine, time.elapsed)?,
            node,
            pending: BTreeMap::new(),
            next_token: 0,
            role: ShardRole::Follower { leader: None },
        })
    }

    /// The replicated log, for reading.
    pub fn group(&self) -> &ReplicatedGroup<VolatileLog, ShardMachine> {
        &self.group
    }

    /// The replicated log, for changes of its members.
    pub fn group_mut(&mut self) -> &mut ReplicatedGroup<VolatileLog, ShardMachine> {
        &mut self.group
    }

    /// The shard, for reading.
    pub fn shard(&self) -> &Shard {
        &self.group.machine().shard
    }

    /// The shard's id.
    pub fn id(&self) -> ShardId {
        self.shard().state().shard()
    }

    /// Whether this replica leads.
    pub fn role(&self) -> ShardRole {
        self.role
    }

    /// The node that leads, as far as known.
    pub fn leader(&self) -> Option<NodeId> {
        match self.role {
            ShardRole::Leader { .. } => Some(self.node),
            ShardRole::Follower { leader } => leader,
        }
    }

    /// Takes an input in and runs until nothing more comes of it.
    pub fn step(&mut self, time: StepTime, input: ShardInput, actions: &mut Vec<ShardAction>) {
        self.group.machine_mut().now = time.now;
        self.take(time, input);
        self.settle(time, actions);
    }

    fn take(&mut self, time: StepTime, input: ShardInput) {
        let now = time.now;
        match input {
            ShardInput::Log(message) => self.group.handle(time.elapsed, *message),
            ShardInput::Request(request, reply) => self.take_request(now, *request, reply),
            ShardInput::Tick => {
                self.group.tick(time.elapsed);
                self.forget_gone_requests();
                self.shard_mut().tick(now);
            }
            ShardInput::Dispatch(event) => self.shard_mut().on_dispatch_event(now, *event),
            ShardInput::Finding(request, found) => {
                self.shard_mut().on_engine_finding(now, request, found);
            }
            ShardInput::Granted(grant) => self.shard_mut().on_grant(now, grant),
            ShardInput::Returned(taken) => self.shard_mut().on_grant_returned(now, taken),
            ShardInput::GatewayDown(gateway) => self.shard_mut().on_gateway_down(now, gateway),
            ShardInput::Policy(policy, lease_until) => {
                let snapshot = policy.snapshot.clone();
                self.shard_mut().on_policy(snapshot, lease_until);
            }
            ShardInput::HandOver(to) => {
                let to = ReplicaId(u64::from(to.0));
                if let Err(error) = self.group.transfer_leadership(time.elapsed, to) {
                    log::debug!(shard = self.id().0; "no handover: {error}");
                }
            }
        }
    }

    fn shard_mut(&mut self) -> &mut Shard {
        &mut self.group.machine_mut().shard
    }

    fn take_request(&mut self, now: Timestamp, request: ShardRequest, reply: PendingReply) {
        self.next_token += 1;
        let token = RequestToken(self.next_token);
        self.pending.insert(token, reply);
        self.shard_mut().on_request(now, token, request);
    }

    fn forget_gone_requests(&mut self) {
        let gone: Vec<RequestToken> = self
            .pending
            .iter()
            .filter(|(_, reply)| reply.is_gone())
            .map(|(token, _)| *token)
            .collect();
        for token in gone {
            self.pending.remove(&token);
            self.shard_mut().on_request_gone(token);
        }
    }

    fn settle(&mut self, time: StepTime, actions: &mut Vec<ShardAction>) {
        loop {
            let outputs = self.group.take_outputs();
            actions.extend(outputs.messages.into_iter().map(ShardAction::Log));
            self.follow_role(time.now);
            let shard_outputs = self.shard_mut().take_outputs();
            if shard_outputs.is_empty() {
                return;
            }
            for output in shard_outputs {
                self.execute(time, output, actions);
            }
        }
    }

    /// Tells the shard's logic of its role; that it leads only once all committed before is applied.
    fn follow_role(&mut self, now: Timestamp) {
        let role = if self.group.is_established() {
            ShardRole::Leader {
                term: self.group.term().0,
            }
        } else if self.group.is_leader()
            && matches!(self.role, ShardRole::Leader { term } if term == self.group.term().0)
        {
            // Leads on; newer entries are merely not applied yet.
            self.role
        } else {
            let leader = self.group.leader().map(|id| NodeId(id.0 as u32));
            ShardRole::Follower {
                leader: leader.filter(|leader| *leader != self.node),
            }
        };
        if role != self.role {
            log::info!(shard = self.id().0, role:? = role; "shard role changed");
            self.role = role;
            self.shard_mut().on_role_change(now, role);
        }
    }

    fn execute(&mut self, time: StepTime, output: ShardOutput, actions: &mut Vec<ShardAction>) {
        match output {
            ShardOutput::Propose(command) => {
                let encoded = encode_command(&command);
                let proposed = encoded.map(|data| self.group.propose(time.elapsed, data));
                if !matches!(proposed, Ok(Ok(_))) {
                    let loss = ProposalLoss::NeverAppended;
                    let origin = command.origin;
                    self.shard_mut().on_proposal_dropped(time.now, origin, loss);
                }
            }
            ShardOutput::Reply { token, reply } => {
                if let Some(pending) = self.pending.remove(&token) {
                    pending.send(*reply);
                }
            }
            other => actions.push(ShardAction::Output(other)),
        }
    }
}
