//! The queue of work for engines besides calls: orders of dispatchers, questions of shards.

use courseshed_types::dispatch::EngineOrder;
use parking_lot::Mutex;
use tokio::sync::mpsc;

use crate::shards::EngineQuestion;

/// Work that may wait; more is dropped, since dispatchers and shards ask again.
const CAPACITY: usize = 16_384;

/// One piece of work.
#[derive(Debug)]
pub enum EngineTask {
    /// Of a dispatcher.
    Order(EngineOrder),
    /// Of a shard.
    Question(EngineQuestion),
}

/// The queue.
pub struct EngineTasks {
    sender: mpsc::Sender<EngineTask>,
    receiver: Mutex<Option<mpsc::Receiver<EngineTask>>>,
}

impl EngineTasks {
    /// An empty queue.
    pub fn new() -> EngineTasks {
        let (sender, receiver) = mpsc::channel(CAPACITY);
        EngineTasks {
            sender,
            receiver: Mutex::new(Some(receiver)),
        }
    }

    /// Queues an order.
    pub fn order(&self, order: EngineOrder) {
        self.push(EngineTask::Order(order));
    }

    /// Queues a question.
    pub fn ask(&self, question: EngineQuestion) {
        self.push(EngineTask::Question(question));
    }

    /// The end that executes; taken once.
    pub fn take_receiver(&self) -> Option<mpsc::Receiver<EngineTask>> {
        self.receiver.lock().take()
    }

    fn push(&self, task: EngineTask) {
        if self.sender.try_send(task).is_err() {
            log::warn!("the queue of engine orders is full; one is dropped");
        }
    }
}

impl Default for EngineTasks {
    fn default() -> EngineTasks {
        EngineTasks::new()
    }
}
