//! The replicas of a node, each under its own lock.

use std::{collections::BTreeMap, sync::Arc};

use arc_swap::ArcSwap;
use courseshed_types::{
    NodeId, ShardId,
    control::ShardVoters,
    shard::{ShardReply, ShardRequest},
};
use parking_lot::Mutex;
use tokio::sync::oneshot;

use crate::{
    context::NodeContext,
    protocol::ShardLogMessage,
    shards::{
        input::{PendingReply, ReplicaStart, ShardInput},
        plan::KnownReplica,
        replica::ShardReplica,
        slot::ShardSlot,
    },
};

type Slots = BTreeMap<ShardId, Arc<ShardSlot>>;

/// The replicas of a node. Looked up without a lock; opening and closing copies the table.
#[derive(Default)]
pub struct ShardTable {
    slots: ArcSwap<Slots>,
    /// The latest generation of each shard opened by this start of the node; guards changes of `slots`.
    opened: Mutex<BTreeMap<ShardId, u32>>,
}

impl ShardTable {
    /// The shards this node keeps replicas of.
    pub fn ids(&self) -> Vec<ShardId> {
        self.slots.load().keys().copied().collect()
    }

    /// The shards this node leads.
    pub fn led(&self) -> Vec<ShardId> {
        self.shards_where(ShardReplica::leads)
    }

    /// The shards this node leads that another replica could lead instead.
    pub fn led_with_successor(&self) -> Vec<ShardId> {
        self.shards_where(ShardReplica::can_hand_over)
    }

    /// The reports that leaders here owe the controllers.
    pub fn owed_reports(&self) -> Vec<ShardVoters> {
        let slots = self.slots.load();
        let reports = slots
            .values()
            .filter_map(|slot| slot.with(ShardReplica::owed_report));
        reports.flatten().collect()
    }

    /// The leader of a shard, as far as this node's replica knows.
    pub fn leader(&self, shard: ShardId) -> Option<NodeId> {
        self.get(shard)?.with(ShardReplica::leader)?
    }

    /// Whether this node keeps a replica.
    pub fn contains(&self, shard: ShardId) -> bool {
        self.slots.load().contains_key(&shard)
    }

    /// Opens a replica and gives it the settings in force.
    pub fn open(&self, context: &NodeContext, start: ReplicaStart) {
        let shard = start.leader.shard;
        let generation = start.leader.generation;
        let replica = match ShardReplica::open(start, context.step_time()) {
            Ok(replica) => replica,
            Err(error) => {
                log::error!(shard = shard.0; "cannot open a replica: {error}");
                return;
            }
        };
        let slot = Arc::new(ShardSlot::new(replica));
        let policy = ShardInput::Policy(context.view.policy(), context.view.lease_until());
        slot.step(context, policy);
        let mut opened = self.opened.lock();
        opened.insert(shard, generation);
        self.change(|slots| slots.insert(shard, slot));
        log::info!(shard = shard.0, generation = generation; "replica opened");
    }

    /// Drops a replica; its owed answers are dropped with it.
    pub fn close(&self, shard: ShardId) {
        let opened = self.opened.lock();
        let closed = self.change(|slots| slots.remove(&shard));
        drop(opened);
        if let Some(slot) = closed {
            slot.close();
            log::info!(shard = shard.0, generation = slot.generation(); "replica closed");
        }
    }

    /// What is known of every replica that this start of the node ever opened.
    pub fn known(&self) -> BTreeMap<ShardId, KnownReplica> {
        let opened = self.opened.lock().clone();
        let known = |(shard, generation)| {
            let slot = self.get(shard);
            let open = slot.and_then(|slot| slot.with(ShardReplica::known));
            let closed = KnownReplica {
                generation,
                is_open: false,
                is_member: false,
            };
            (shard, open.unwrap_or(closed))
        };
        opened.into_iter().map(known).collect()
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
        for slot in self.slots.load().values() {
            slot.step(context, input());
        }
    }

    /// Hands on what another replica says; of another generation it means nothing here.
    pub fn on_log(&self, context: &NodeContext, log: ShardLogMessage) {
        let shard = ShardId(log.message.group.0);
        let slot = self.get(shard);
        if let Some(slot) = slot.filter(|slot| slot.generation() == log.generation) {
            slot.step(context, ShardInput::Log(log.message));
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

    /// Lets time pass for the replicas that have something due.
    pub fn tick(&self, context: &NodeContext) {
        let elapsed = context.clock.elapsed();
        for slot in self.slots.load().values() {
            slot.tick(context, elapsed);
        }
    }

    /// Runs `look` on a replica.
    pub fn with<T>(&self, shard: ShardId, look: impl FnOnce(&ShardReplica) -> T) -> Option<T> {
        self.get(shard)?.with(look)
    }

    fn shards_where(&self, holds: impl Fn(&ShardReplica) -> bool) -> Vec<ShardId> {
        let slots = self.slots.load();
        let found = slots
            .values()
            .filter(|slot| slot.with(&holds) == Some(true));
        found.map(|slot| slot.shard()).collect()
    }

    fn get(&self, shard: ShardId) -> Option<Arc<ShardSlot>> {
        self.slots.load().get(&shard).cloned()
    }

    /// Changes a copy of the table and puts it in place; `opened` must be locked.
    fn change<T>(&self, change: impl FnOnce(&mut Slots) -> T) -> T {
        let mut slots = Slots::clone(&self.slots.load());
        let result = change(&mut slots);
        self.slots.store(Arc::new(slots));
        result
    }
}
