//! One replica of a shard: replicated log, shard logic, and the answers still owed.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use courseshed_consensus::{
    GroupError, GroupId, PeerConfig, ReadReady, ReplicaId, ReplicatedGroup, VolatileLog,
};
use courseshed_programs::{
    ProposalLoss, RequestToken, Shard, ShardOutput, ShardRole, encode_command,
};
use courseshed_types::{
    NodeId, ShardId, Timestamp,
    control::ShardVoters,
    shard::{ShardReply, ShardRequest},
};

use crate::shards::{
    held::{HeldRequest, HeldRequests},
    input::{PendingReply, ReplicaStart, ShardAction, ShardInput, StepTime},
    machine::ShardMachine,
    members::{self, LeaderStep},
    plan::{KnownReplica, ReplicaTarget},
};

/// Time between two ticks of the logic of a leader with calls under way.
const BUSY_TICK: Duration = Duration::from_millis(100);
/// Time between two ticks of the logic of a leader without.
const IDLE_TICK: Duration = Duration::from_secs(1);
/// Time between two looks at whether the replicas are those wanted.
const MEMBERS_INTERVAL: Duration = Duration::from_millis(200);
/// A leader leads at least so long before it hands over to a replica that is merely preferred.
const SETTLE_TIME: Duration = Duration::from_secs(5);

/// One replica of a shard.
pub struct ShardReplica {
    group: ReplicatedGroup<VolatileLog, ShardMachine>,
    node: NodeId,
    generation: u32,
    pending: BTreeMap<RequestToken, PendingReply>,
    held: HeldRequests,
    next_token: u64,
    role: ShardRole,
    target: Arc<ReplicaTarget>,
    /// When this replica began to lead, if it does.
    leads_since: Duration,
    next_logic_tick: Duration,
    next_members_look: Duration,
}

impl ShardReplica {
    /// Opens a replica.
    ///
    /// # Errors
    /// When its settings can't work.
    pub fn open(start: ReplicaStart, time: StepTime) -> Result<ShardReplica, GroupError> {
        let node = start.leader.node;
        let generation = start.leader.generation;
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
            generation,
            pending: BTreeMap::new(),
            held: HeldRequests::default(),
            next_token: 0,
            role: ShardRole::Follower { leader: None },
            target: Arc::default(),
            leads_since: time.elapsed,
            next_logic_tick: time.elapsed,
            next_members_look: time.elapsed,
        })
    }

    /// The replicated log, for reading.
    pub fn group(&self) -> &ReplicatedGroup<VolatileLog, ShardMachine> {
        &self.group
    }

    /// The generation of the shard.
    pub fn generation(&self) -> u32 {
        self.generation
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

    /// Whether this replica leads and knows all that is committed.
    pub fn leads(&self) -> bool {
        matches!(self.role, ShardRole::Leader { .. })
    }

    /// What a plan for the node's replicas needs to know of this one.
    pub fn known(&self) -> KnownReplica {
        let peer = self.group.peer();
        KnownReplica {
            generation: self.generation,
            is_open: true,
            is_member: peer.configuration().contains(peer.address()),
        }
    }

    /// When time must pass for this replica next, on the node's clock.
    pub fn next_wakeup(&self) -> Duration {
        let log = self.group.next_wakeup();
        match self.leads() {
            true => log.min(self.next_logic_tick),
            false => log,
        }
    }

    /// The report owed to the controllers: this replica leads, and its voters are not those they know.
    pub fn owed_report(&self) -> Option<ShardVoters> {
        if !self.leads() || self.target.generation != self.generation {
            return None;
        }
        let voters = members::voters_of(self.group.peer().committed_configuration()?);
        let report = ShardVoters {
            shard: self.id(),
            generation: self.generation,
            voters,
        };
        (report.voters != self.target.reported).then_some(report)
    }

    /// Whether another replica could lead in place of this one, which does.
    pub fn can_hand_over(&self) -> bool {
        self.leads() && members::successor(&self.group, &self.target).is_some()
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
            ShardInput::Request(request, reply) => self.take_request(time, *request, reply),
            ShardInput::Tick => self.tick(time),
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
            ShardInput::Target(target) => self.target = target,
            ShardInput::HandOver => {
                if let Some(to) = members::successor(&self.group, &self.target) {
                    self.hand_over(time, to);
                }
            }
        }
    }

    fn shard_mut(&mut self) -> &mut Shard {
        &mut self.group.machine_mut().shard
    }

    fn tick(&mut self, time: StepTime) {
        self.group.tick(time.elapsed);
        if !self.leads() || time.elapsed < self.next_logic_tick {
            return;
        }
        self.forget_gone_requests();
        self.shard_mut().tick(time.now);
        self.tend_members(time);
        let is_idle = self.shard().leader().is_idle() && self.pending.is_empty();
        let pause = if is_idle { IDLE_TICK } else { BUSY_TICK };
        self.next_logic_tick = time.elapsed + pause;
    }

    /// Takes the next step towards the replicas that the map wants.
    fn tend_members(&mut self, time: StepTime) {
        let is_current = self.target.generation == self.generation;
        if !is_current || time.elapsed < self.next_members_look {
            return;
        }
        self.next_members_look = time.elapsed + MEMBERS_INTERVAL;
        let peer = self.group.peer();
        let own = peer.address().replica;
        let step = members::next_member_step(peer.configuration(), own, &self.target);
        match step {
            Some(LeaderStep::Change(change)) => {
                if let Err(error) = self.group.propose_membership(time.elapsed, change) {
                    log::debug!(shard = self.id().0; "no change of members: {error}");
                }
            }
            Some(LeaderStep::HandOver(to)) => self.hand_over(time, to),
            None => self.balance(time),
        }
    }

    /// Hands over to the replica that the map prefers, once this one has led for a while.
    fn balance(&mut self, time: StepTime) {
        if time.elapsed < self.leads_since + SETTLE_TIME {
            return;
        }
        if let Some(to) = members::preferred_leader(&self.group, &self.target) {
            self.leads_since = time.elapsed;
            self.hand_over(time, to);
        }
    }

    fn hand_over(&mut self, time: StepTime, to: ReplicaId) {
        if let Err(error) = self.group.transfer_leadership(time.elapsed, to) {
            log::debug!(shard = self.id().0; "no hand-over: {error}");
        }
    }

    /// Passes a request on while this replica certainly leads; holds it where that is not certain.
    fn take_request(&mut self, time: StepTime, request: ShardRequest, reply: PendingReply) {
        if !self.leads() || self.group.lease_valid(time.elapsed) {
            return self.pass_request(time.now, request, reply);
        }
        match self.group.read_barrier(time.elapsed) {
            Ok(barrier) => self.held.hold(barrier, HeldRequest { request, reply }),
            Err(_) => reply.send(ShardReply::NotLeader { leader: None }),
        }
    }

    fn pass_request(&mut self, now: Timestamp, request: ShardRequest, reply: PendingReply) {
        self.next_token += 1;
        let token = RequestToken(self.next_token);
        self.pending.insert(token, reply);
        self.shard_mut().on_request(now, token, request);
    }

    fn release_held(&mut self, now: Timestamp, reads: &[ReadReady]) {
        for held in self.held.release(reads) {
            self.pass_request(now, held.request, held.reply);
        }
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
            self.follow_role(time);
            self.release_held(time.now, &outputs.reads);
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
    fn follow_role(&mut self, time: StepTime) {
        let role = self.role_of_log();
        if role == self.role {
            return;
        }
        log::info!(shard = self.id().0, role:? = role; "shard role changed");
        self.role = role;
        self.leads_since = time.elapsed;
        self.next_logic_tick = time.elapsed;
        let leader = self.leader().filter(|leader| *leader != self.node);
        self.held.refuse_all(leader);
        self.shard_mut().on_role_change(time.now, role);
    }

    fn role_of_log(&self) -> ShardRole {
        let term = self.group.term().0;
        let led_this_term = matches!(self.role, ShardRole::Leader { term: led } if led == term);
        // A leader leads on while newer entries are merely not applied yet.
        if self.group.is_established() || (self.group.is_leader() && led_this_term) {
            return ShardRole::Leader { term };
        }
        let leader = self.group.leader().map(members::node_of);
        ShardRole::Follower {
            leader: leader.filter(|leader| *leader != self.node),
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
