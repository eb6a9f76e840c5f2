//! A node: a replica of the shard, a gateway, and the dispatcher where this node believes to be its place.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use courseshed_consensus::{Configuration, ReplicaAddress, ReplicaId};
use courseshed_dispatch::{DispatchOutput, Dispatcher, DispatcherConfig, PolicyKind, ShardLeader};
use courseshed_node::{
    shards::{
        PendingReply, ReplicaStart, ReplicaTarget, ShardAction, ShardInput, ShardReplica, StepTime,
        WantedReplica,
    },
    view::PolicyView,
};
use courseshed_programs::{LeaderConfig, ShardOutput};
use courseshed_types::{
    Incarnation, NodeId, PolicySnapshot, ShardId, Timestamp,
    dispatch::{DispatcherIdentity, EngineMember, PoolId},
    shard::{ShardReply, ShardRequest, ShardRequestBody},
};
use tokio::sync::oneshot;

use super::{
    gateway::Gateway,
    options::FleetVariant,
    wire::{AskId, EnginePoll, Envelope, Party, Payload},
};

pub const SHARD: ShardId = ShardId(1);
pub const MODEL: &str = "small";
pub const REGION: &str = "south";
pub const GENERATION: u32 = 1;
/// Virtual time begins here on the nodes' wall clocks, in microseconds: a whole number of budget periods.
pub const EPOCH_MICROS: u64 = 1_000_000 * 3_600 * 500_000;
/// Names that one life of a node may give to questions and streams.
const NUMBERS_PER_LIFE: u64 = 1 << 32;

/// What a node believes of the fleet.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct FleetView {
    /// Every node with its present start, and whether it takes part.
    pub nodes: BTreeMap<NodeId, (u64, bool)>,
    pub engines: Vec<EngineMember>,
}

impl FleetView {
    fn dispatcher(&self) -> Option<NodeId> {
        let mut live = self.nodes.iter().filter(|(_, (_, is_live))| *is_live);
        live.next().map(|(node, _)| *node)
    }
}

/// A reply that a gateway waits for.
struct Owed {
    reply: oneshot::Receiver<ShardReply>,
    ask: AskId,
    to: Party,
}

/// What runs in a node's process.
pub struct Process {
    pub replica: ShardReplica,
    pub gateway: Gateway,
    pub dispatcher: Option<Dispatcher>,
    view: FleetView,
    owed: Vec<Owed>,
    dispatchers_started: u64,
    /// What arrived while the process was frozen; none when it isn't.
    pub frozen: Option<Vec<Envelope>>,
    /// Since when it is stopping as asked.
    pub draining_since: Option<Duration>,
}

/// One node, whether its process runs or not.
pub struct Node {
    pub id: NodeId,
    pub incarnation: u64,
    pub process: Option<Process>,
    started_at: Duration,
    /// How far its wall clock is ahead.
    clock_ahead: Duration,
    policy: Arc<PolicySnapshot>,
    variant: FleetVariant,
}

impl Node {
    pub fn new(
        id: NodeId,
        clock_ahead: Duration,
        policy: Arc<PolicySnapshot>,
        variant: FleetVariant,
    ) -> Node {
        Node {
            id,
            incarnation: 0,
            process: None,
            started_at: Duration::ZERO,
            clock_ahead,
            policy,
            variant,
        }
    }

    pub fn wall(&self, now: Duration) -> Timestamp {
        Timestamp(EPOCH_MICROS) + (now + self.clock_ahead)
    }

    pub fn step_time(&self, now: Duration) -> StepTime {
        StepTime {
            now: self.wall(now),
            elapsed: now - self.started_at,
        }
    }

    pub fn address(&self) -> ReplicaAddress {
        address_of(self.id, self.incarnation)
    }

    /// Starts the process. Only a founder, and only at its first start, is told the other members.
    pub fn start(&mut self, now: Duration, founders: Configuration, view: FleetView) {
        self.incarnation += 1;
        self.started_at = now;
        let time = self.step_time(now);
        let mut leader = LeaderConfig::new(self.id, SHARD, REGION.into());
        leader.generation = GENERATION;
        let start = ReplicaStart {
            address: self.address(),
            leader,
            founders,
            election_timeout: Duration::from_millis(600),
            heartbeat: Duration::from_millis(100),
        };
        let replica = ShardReplica::open(start, time).expect("the settings make sense");
        let numbers = (u64::from(self.id.0) << 48) + self.incarnation * NUMBERS_PER_LIFE;
        let replicas: Vec<NodeId> = view.nodes.keys().copied().collect();
        self.process = Some(Process {
            replica,
            gateway: Gateway::new(self.id, replicas, numbers, self.variant),
            dispatcher: None,
            view: FleetView::default(),
            owed: Vec::new(),
            dispatchers_started: 0,
            frozen: None,
            draining_since: None,
        });
        let policy = Arc::new(PolicyView::new(self.policy.clone()));
        let mut outputs = Vec::new();
        self.input(
            now,
            ShardInput::Policy(policy, Timestamp::MAX),
            &mut outputs,
        );
        self.take_view(now, view, &mut outputs);
    }

    /// The process, unless it is down or frozen.
    pub fn awake(&mut self) -> Option<&mut Process> {
        self.process
            .as_mut()
            .filter(|process| process.frozen.is_none())
    }

    /// Lets the replica take something in.
    pub fn input(&mut self, now: Duration, input: ShardInput, outputs: &mut Vec<(Party, Payload)>) {
        let time = self.step_time(now);
        let Some(process) = self.awake() else {
            return;
        };
        let mut actions = Vec::new();
        process.replica.step(time, input, &mut actions);
        process.send_actions(actions, outputs);
    }

    /// Takes a message in.
    pub fn receive(
        &mut self,
        now: Duration,
        envelope: Envelope,
        outputs: &mut Vec<(Party, Payload)>,
    ) {
        let wall = self.wall(now);
        let from = envelope.from;
        let Some(process) = self.awake() else {
            return;
        };
        match envelope.payload {
            Payload::Log(message) => self.input(now, ShardInput::Log(Box::new(message)), outputs),
            Payload::Ask { ask, body } => self.asked(now, from, ask, body, outputs),
            Payload::Answer { ask, reply } => process.gateway.on_answer(now, wall, ask, reply),
            Payload::AskLost { ask, handed_over } => {
                process.gateway.on_ask_lost(now, ask, handed_over);
            }
            Payload::Dispatch(request) => {
                if let Some(dispatcher) = &mut process.dispatcher {
                    dispatcher.on_request(wall, request);
                }
            }
            Payload::Event(event) => {
                self.input(now, ShardInput::Dispatch(Box::new(event)), outputs);
            }
            Payload::Granted(grant) => self.input(now, ShardInput::Granted(grant), outputs),
            Payload::ReturnTaken(taken) => self.input(now, ShardInput::Returned(taken), outputs),
            Payload::Stream { stream, item } => process.gateway.on_stream(now, stream, item),
            Payload::Finding { request, finding } => {
                self.input(now, ShardInput::Finding(request, finding), outputs);
            }
            Payload::Poll(poll) => process.polled(wall, *poll),
            Payload::Unreachable(engine) => process.unreachable(wall, engine),
            Payload::Request { copy, request } => {
                if let Party::Caller(caller) = from {
                    process.gateway.on_request(now, caller, copy, request.body);
                }
            }
            _ => {}
        }
        self.collect(now, outputs);
    }

    fn asked(
        &mut self,
        now: Duration,
        to: Party,
        ask: AskId,
        body: ShardRequestBody,
        outputs: &mut Vec<(Party, Payload)>,
    ) {
        let (sender, reply) = oneshot::channel();
        if let Some(process) = self.awake() {
            process.owed.push(Owed { reply, ask, to });
        }
        let request = Box::new(ShardRequest { shard: SHARD, body });
        let input = ShardInput::Request(request, PendingReply::Local(sender));
        self.input(now, input, outputs);
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Duration, outputs: &mut Vec<(Party, Payload)>) {
        let wall = self.wall(now);
        self.input(now, ShardInput::Tick, outputs);
        let Some(process) = self.awake() else {
            return;
        };
        if let Some(dispatcher) = &mut process.dispatcher {
            dispatcher.tick(wall);
        }
        process.gateway.tick(now);
        self.collect(now, outputs);
    }

    /// Takes in who takes part in the fleet.
    pub fn take_view(
        &mut self,
        now: Duration,
        view: FleetView,
        outputs: &mut Vec<(Party, Payload)>,
    ) {
        let Some(process) = self.awake() else {
            return;
        };
        let before = std::mem::replace(&mut process.view, view.clone());
        let gone = before.nodes.iter().filter(|(node, (incarnation, _))| {
            let known = view.nodes.get(node);
            known.is_none_or(|(now, is_live)| now != incarnation || !is_live)
        });
        for node in gone.map(|(node, _)| *node).collect::<Vec<_>>() {
            if let Some(process) = self.awake() {
                process.gateway.forget_leader(node);
            }
            self.input(now, ShardInput::GatewayDown(node), outputs);
        }
        let target = Arc::new(target_of(&view));
        self.input(now, ShardInput::Target(target), outputs);
        self.host_dispatcher(now, &view);
        self.collect(now, outputs);
    }

    fn host_dispatcher(&mut self, now: Duration, view: &FleetView) {
        let wall = self.wall(now);
        let (id, incarnation) = (self.id, self.incarnation);
        let policy = self.policy.clone();
        let Some(process) = self.awake() else {
            return;
        };
        if view.dispatcher() != Some(id) {
            process.dispatcher = None;
            return;
        }
        if process.dispatcher.is_none() {
            process.dispatchers_started += 1;
            let start = incarnation * 1_000 + process.dispatchers_started;
            let mut dispatcher = new_dispatcher(id, start, wall);
            dispatcher.on_policy(wall, policy);
            let leader = |node: &NodeId| ShardLeader {
                shard: SHARD,
                leader: *node,
            };
            let leaders: Vec<ShardLeader> = view.nodes.keys().map(leader).collect();
            dispatcher.request_announcements(&leaders);
            process.dispatcher = Some(dispatcher);
        }
        if let Some(dispatcher) = &mut process.dispatcher {
            dispatcher.on_engines(wall, &view.engines);
        }
    }

    /// Collects what is to be sent.
    pub fn collect(&mut self, now: Duration, outputs: &mut Vec<(Party, Payload)>) {
        let Some(process) = self.awake() else {
            return;
        };
        process.send_decisions(outputs);
        outputs.extend(process.gateway.take_outputs());
        let owed = std::mem::take(&mut process.owed);
        for mut owed in owed {
            match owed.reply.try_recv() {
                Ok(reply) => {
                    let ask = owed.ask;
                    outputs.push((owed.to, Payload::Answer { ask, reply }));
                }
                Err(oneshot::error::TryRecvError::Empty) => process.owed.push(owed),
                Err(oneshot::error::TryRecvError::Closed) => {}
            }
        }
        let _ = now;
    }
}

impl Process {
    /// The questions that gateways wait for here.
    pub fn asked_by(&self) -> Vec<(Party, AskId)> {
        self.owed.iter().map(|owed| (owed.to, owed.ask)).collect()
    }

    fn send_actions(&mut self, actions: Vec<ShardAction>, outputs: &mut Vec<(Party, Payload)>) {
        for action in actions {
            let sent = match action {
                ShardAction::Log(message) => {
                    let to = node_of(message.to);
                    Some((Party::Node(to), Payload::Log(message)))
                }
                ShardAction::Output(output) => self.send_output(output),
            };
            outputs.extend(sent);
        }
    }

    fn send_output(&self, output: ShardOutput) -> Option<(Party, Payload)> {
        match output {
            ShardOutput::Dispatch(request) => {
                let to = self.view.dispatcher()?;
                Some((Party::Node(to), Payload::Dispatch(request)))
            }
            ShardOutput::QueryEngine(query) => {
                let to = Party::Engine(engine_place(&query.engine_address));
                Some((to, Payload::Query(query)))
            }
            ShardOutput::RequestGrant(request) => {
                Some((Party::Ledger, Payload::GrantAsked(request)))
            }
            ShardOutput::ReturnGrant(returned) => {
                Some((Party::Ledger, Payload::GrantReturned(returned)))
            }
            ShardOutput::Propose(_) | ShardOutput::Reply { .. } => None,
        }
    }

    fn send_decisions(&mut self, outputs: &mut Vec<(Party, Payload)>) {
        let Some(dispatcher) = &mut self.dispatcher else {
            return;
        };
        let engines = &self.view.engines;
        for output in dispatcher.take_outputs() {
            match output {
                DispatchOutput::Event { to, event } => {
                    outputs.push((Party::Node(to), Payload::Event(event)));
                }
                DispatchOutput::Order(order) => {
                    let known = engines.iter().find(|engine| engine.engine == order.engine);
                    if let Some(engine) = known {
                        let to = Party::Engine(engine_place(&engine.address));
                        outputs.push((to, Payload::Order(order.body)));
                    }
                }
            }
        }
    }

    fn polled(&mut self, wall: Timestamp, poll: EnginePoll) {
        let known = self.view.engines.get(poll.engine);
        let Some(engine) = known.map(|engine| engine.engine.clone()) else {
            return;
        };
        let Some(dispatcher) = &mut self.dispatcher else {
            return;
        };
        dispatcher.on_engine_load(wall, &engine, poll.load);
        for event in poll.events {
            dispatcher.on_cache_event(wall, &engine, event);
        }
        if let Some(listing) = poll.listing {
            dispatcher.on_cache_listing(wall, &engine, &listing);
        }
    }

    fn unreachable(&mut self, wall: Timestamp, engine: usize) {
        let known = self.view.engines.get(engine);
        let engine = known.map(|engine| engine.engine.clone());
        if let (Some(dispatcher), Some(engine)) = (&mut self.dispatcher, engine) {
            dispatcher.on_engine_unreachable(wall, &engine);
        }
    }
}

fn new_dispatcher(node: NodeId, start: u64, wall: Timestamp) -> Dispatcher {
    let pool = PoolId {
        region: REGION.into(),
        model: MODEL.into(),
    };
    let identity = DispatcherIdentity {
        node,
        incarnation: Incarnation(start),
    };
    let config = DispatcherConfig::default();
    Dispatcher::new(pool, identity, config, PolicyKind::Courseshed, wall)
}

fn target_of(view: &FleetView) -> ReplicaTarget {
    let wanted = |(node, (incarnation, is_live)): (&NodeId, &(u64, bool))| WantedReplica {
        address: address_of(*node, *incarnation),
        is_live: *is_live,
    };
    ReplicaTarget {
        generation: GENERATION,
        replicas: view.nodes.iter().map(wanted).collect(),
        reported: Vec::new(),
    }
}

pub fn address_of(node: NodeId, incarnation: u64) -> ReplicaAddress {
    ReplicaAddress::new(ReplicaId(u64::from(node.0)), incarnation)
}

fn node_of(replica: ReplicaId) -> NodeId {
    NodeId(replica.0 as u32)
}

/// The place of the engine with this address.
pub fn engine_place(address: &str) -> usize {
    let host = address.split(':').next().unwrap_or_default();
    let last = host.rsplit('.').next().unwrap_or_default();
    last.parse().map_or(0, |number: usize| number - 1)
}
