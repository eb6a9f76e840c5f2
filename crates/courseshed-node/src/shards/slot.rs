//! One replica under its lock, and what is done with what comes of it.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use courseshed_consensus::Message;
use courseshed_membership::dispatcher_for;
use courseshed_programs::ShardOutput;
use courseshed_types::ShardId;
use parking_lot::{Mutex, MutexGuard};

use crate::{
    context::NodeContext,
    protocol::{NodeMessage, ShardLogMessage},
    shards::{
        input::{ShardAction, ShardInput},
        members::node_of,
        recovery::EngineQuestion,
        replica::ShardReplica,
    },
};

/// One replica under its lock.
///
/// Invariant: messages of a replica leave in the order they were decided, since they are sent under the lock.
pub struct ShardSlot {
    shard: ShardId,
    generation: u32,
    replica: Mutex<Option<ShardReplica>>,
    /// When time must pass for the replica, in microseconds of the node's clock; read without the lock.
    due: AtomicU64,
}

impl ShardSlot {
    /// A slot for an open replica.
    pub fn new(replica: ShardReplica) -> ShardSlot {
        ShardSlot {
            shard: replica.id(),
            generation: replica.generation(),
            replica: Mutex::new(Some(replica)),
            due: AtomicU64::new(0),
        }
    }

    /// The shard.
    pub fn shard(&self) -> ShardId {
        self.shard
    }

    /// The generation of the shard.
    pub fn generation(&self) -> u32 {
        self.generation
    }

    /// Drops the replica; whoever still holds the slot finds it empty.
    pub fn close(&self) {
        self.replica.lock().take();
        self.due.store(u64::MAX, Ordering::Release);
    }

    /// Runs `look` on the replica, if it was not closed.
    pub fn with<T>(&self, look: impl FnOnce(&ShardReplica) -> T) -> Option<T> {
        self.replica.lock().as_ref().map(look)
    }

    /// Steps the replica and sends what comes of it before the lock is released.
    pub fn step(&self, context: &NodeContext, input: ShardInput) {
        self.step_locked(context, self.replica.lock(), input);
    }

    /// Lets time pass, if the replica has something due.
    pub fn tick(&self, context: &NodeContext, elapsed: Duration) {
        if micros(elapsed) >= self.due.load(Ordering::Acquire) {
            self.step(context, ShardInput::Tick);
        }
    }

    fn step_locked(
        &self,
        context: &NodeContext,
        mut guard: MutexGuard<'_, Option<ShardReplica>>,
        input: ShardInput,
    ) {
        let Some(replica) = guard.as_mut() else {
            return;
        };
        let mut actions = Vec::new();
        replica.step(context.step_time(), input, &mut actions);
        self.due
            .store(micros(replica.next_wakeup()), Ordering::Release);
        for action in actions {
            self.execute(context, action);
        }
    }

    fn execute(&self, context: &NodeContext, action: ShardAction) {
        let shard = self.shard;
        match action {
            ShardAction::Log(message) => self.send_log(context, message),
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

    fn send_log(&self, context: &NodeContext, message: Message) {
        let to = node_of(message.to);
        let log = ShardLogMessage {
            generation: self.generation,
            message: Box::new(message),
        };
        context.tell(to, NodeMessage::ShardLog(log));
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
