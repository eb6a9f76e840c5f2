//! The replicas of a node, each under its own lock, and what is done with what comes of them.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use courseshed_consensus::Message;
use courseshed_membership::dispatcher_for;
use courseshed_programs::{ShardOutput, ShardRole};
use courseshed_types::{
    NodeId, ShardId,
    shard::{ShardReply, ShardRequest},
};
use parking_lot::{Mutex, RwLock};
use tokio::sync::oneshot;

use crate::{
    context::NodeContext,
    protocol::NodeMessage,
    shards::{
        recovery::EngineQuestion,
        replica::{PendingReply, ReplicaStart, ShardAction, ShardInput, ShardReplica},
    },
};

/// Time between two ticks of a shard's logic; its replicated log ticks when it asks to.
const LOGIC_TICK: Duration = Duration::from_millis(100);

/// One replica under its lock.
pub struct ShardSlot {
    replica: Mutex<ShardReplica>,
    next_logic_tick: Mutex<Duration>,
}

/// The replicas of a node.
#[derive(Default)]
pub struct ShardTable {
    slots: RwLock<BTreeMap<ShardId, Arc<ShardSlot>>>,
}

impl ShardTable {
    /// The shards this node keeps replicas of.
    pub fn ids(&self) -> Vec<ShardId> {
        self.slots.read().keys().copied().collect()
    }

    /// The shards this node leads.
    pub fn led(&self) -> Vec<ShardId> {
        let slots = self.all();
        let is_led =
            |slot: &ShardSlot| matches!(slot.replica.lock().role(), ShardRole::Leader { .. });
        slots
            .into_iter()
            .filter(|(_, slot)| is_led(slot))
            .map(|(shard, _)| shard)
            .collect()
    }

    /// The leader of a shard, as far as this node's replica knows.
    pub fn leader(&self, shard: ShardId) -> Option<NodeId> {
        let slot = self.get(shard)?;
        slot.replica.lock().leader()
    }

    /// Whether this node keeps a replica.
    pub fn contains(&self, shard: ShardId) -> bool {
        self.slots.read().contains_key(&shard)
    }

    /// Opens a replica and gives it the settings in force.
    pub fn open(&self, context: &NodeContext, start: ReplicaStart) {
        let shard = start.leader.shard;
        let replica = match ShardReplica::open(start, context.step_time()) {
            Ok(replica) => replica,
            Err(error) => {
                log::error!(shard = shard.0; "cannot open a replica: {error}");
                return;
            }
        };
        let slot = ShardSlot {
            replica: Mutex::new(replica),
            next_logic_tick: Mutex::new(Duration::ZERO),
        };
        self.slots.write().insert(shard, Arc::new(slot));
        log::info!(shard = shard.0; "replica opened");
        let policy = ShardInput::Policy(context.view.policy(), context.view.lease_until());
        self.step(context, shard, policy);
    }

    /// Drops a replica; its owed answers are dropped with it.
    pub fn close(&self, shard: ShardId) {
        if self.slots.write().remove(&shard).is_some() {
            log::info!(shard = shard.0; "replica closed");
        }
    }

    /// Hands an input to a replica; false if there is none here.
    pub fn step(&self, context: &NodeContext, shard: ShardId, input: ShardInput) -> bool {
        let Some(slot) = self.get(shard) else {
            return false;
        };
        slot.step(context, input);
        true
    }

    /// Hands an input to every replica.
    pub fn step_all(&self, context: &NodeContext, input: impl Fn() -> ShardInput) {
        for slot in self.all().into_values() {
            slot.step(context, input());
        }
    }

    /// Takes a request; answers at once if there is no replica here.
    pub fn request(&self, context: &NodeContext, request: Box<ShardRequest>, reply: PendingReply) {
        let Some(slot) = self.get(request.shard) else {
            reply.send(ShardReply::NotLeader { leader: None });
            return;
        };
        slot.step(context, ShardInput::Request(request, reply));
    }

    /// A request of a gateway of this node.
    pub fn request_local(
        &self,
        context: &NodeContext,
        request: Box<ShardRequest>,
    ) -> oneshot::Receiver<ShardReply> {
        let (sender, receiver) = oneshot::channel();
        self.request(context, request, PendingReply::Local(sender));
        receiver
    }

    /// Lets time pass for all replicas.
    pub fn tick(&self, context: &NodeContext) {
        for slot in self.all().into_values() {
            slot.tick(context);
        }
    }

    /// Runs `look` on a replica.
    pub fn with<T>(&self, shard: ShardId, look: impl FnOnce(&mut ShardReplica) -> T) -> Option<T> {
        let slot = self.get(shard)?;
        let mut replica = slot.replica.lock();
        Some(look(&mut replica))
    }

    fn get(&self, shard: ShardId) -> Option<Arc<ShardSlot>> {
        self.slots.read().get(&shard).cloned()
    }

    fn all(&self) -> BTreeMap<ShardId, Arc<ShardSlot>> {
        self.slots.read().clone()
    }
}

impl ShardSlot {
    /// Steps the replica and sends what comes of it before the lock is released.
    fn step(&self, context: &NodeContext, input: ShardInput) {
        let mut actions = Vec::new();
        let mut replica = self.replica.lock();
        replica.step(context.step_time(), input, &mut actions);
        let shard = replica.id();
        for action in actions {
            execute(context, shard, action);
        }
    }

    fn tick(&self, context: &NodeContext) {
        let elapsed = context.clock.elapsed();
        let mut next_logic_tick = self.next_logic_tick.lock();
        let logic_due = elapsed >= *next_logic_tick;
        let log_due = self.replica.lock().group().next_wakeup() <= elapsed;
        if logic_due {
            *next_logic_tick = elapsed + LOGIC_TICK;
        }
        drop(next_logic_tick);
        if logic_due || log_due {
            self.step(context, ShardInput::Tick);
        }
    }
}

fn execute(context: &NodeContext, shard: ShardId, action: ShardAction) {
    match action {
        ShardAction::Log(message) => send_log(context, message),
        ShardAction::Output(ShardOutput::Dispatch(request)) => {
            let map = context.view.map();
            let Some(dispatcher) = dispatcher_for(&request.pool, &map) else {
                log::debug!(shard = shard.0; "no live dispatcher for {}", request.pool.model);
                return;
            };
            let message = NodeMessage::Dispatch(Box::new(request));
            context.tell(dispatcher, message);
        }
        ShardAction::Output(ShardOutput::QueryEngine(query)) => {
            context.engines.ask(EngineQuestion { shard, query });
        }
        ShardAction::Output(ShardOutput::RequestGrant(request)) => {
            context.control.request_grant(request);
        }
        ShardAction::Output(ShardOutput::ReturnGrant(returned)) => {
            context.control.return_grant(returned);
        }
        ShardAction::Output(ShardOutput::Propose(_) | ShardOutput::Reply { .. }) => {
            unreachable!("the replica executes these itself")
        }
    }
}

fn send_log(context: &NodeContext, message: Message) {
    let to = NodeId(message.to.0 as u32);
    context.tell(to, NodeMessage::ShardLog(Box::new(message)));
}
