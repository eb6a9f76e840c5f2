//! One dispatcher under its lock, and what is done with what it decides.

use courseshed_dispatch::{DispatchOutput, Dispatcher};
use courseshed_types::{Timestamp, dispatch::PoolId};
use parking_lot::Mutex;

use crate::{context::NodeContext, protocol::NodeMessage};

/// One dispatcher under its lock.
pub struct DispatcherSlot {
    pool: PoolId,
    dispatcher: Mutex<Dispatcher>,
}

impl DispatcherSlot {
    /// Puts a dispatcher under a lock.
    pub fn new(dispatcher: Dispatcher) -> DispatcherSlot {
        DispatcherSlot {
            pool: dispatcher.pool().clone(),
            dispatcher: Mutex::new(dispatcher),
        }
    }

    /// The pool it decides for.
    pub fn pool(&self) -> &PoolId {
        &self.pool
    }

    /// Hands something to the dispatcher, lets it decide, and sends before the lock is released.
    pub fn step(&self, context: &NodeContext, input: impl FnOnce(&mut Dispatcher, Timestamp)) {
        let now = context.clock.now();
        let mut dispatcher = self.dispatcher.lock();
        input(&mut dispatcher, now);
        dispatcher.tick(now);
        for output in dispatcher.take_outputs() {
            match output {
                DispatchOutput::Event { to, event } => {
                    context.tell(to, NodeMessage::DispatchEvent(Box::new(event)));
                }
                DispatchOutput::Order(order) => context.engines.order(order),
            }
        }
    }

    /// Lets time pass if the dispatcher asked to be woken by now.
    pub fn tick(&self, context: &NodeContext) {
        let wakeup = self.dispatcher.lock().next_wakeup();
        if wakeup.is_some_and(|wakeup| wakeup <= context.clock.now()) {
            self.step(context, |_, _| {});
        }
    }

    /// Reads the dispatcher.
    pub fn read<T>(&self, look: impl FnOnce(&Dispatcher) -> T) -> T {
        look(&self.dispatcher.lock())
    }
}
