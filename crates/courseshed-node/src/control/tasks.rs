//! The queue of what comes for the control worker: peers' messages and requests, and shards' wishes for escrow.

use courseshed_consensus::Message;
use courseshed_transport::ReplySender;
use courseshed_types::control::{ControlRequest, GrantRequest, GrantReturn};
use parking_lot::Mutex;
use tokio::sync::mpsc;

use crate::protocol::NodeProtocol;

/// Work that may wait; more is dropped, since all of it is sent again.
const CAPACITY: usize = 16_384;

/// One thing that came.
pub enum ControlTask {
    /// From another controller.
    Log(Box<Message>),
    /// From another node, or from this one.
    Request(Box<ControlRequest>, ReplySender<NodeProtocol>),
    /// A shard here wants escrow.
    RequestGrant(GrantRequest),
    /// A shard here gives escrow back.
    ReturnGrant(GrantReturn),
}

/// The queue.
pub struct ControlTasks {
    sender: mpsc::Sender<ControlTask>,
    receiver: Mutex<Option<mpsc::Receiver<ControlTask>>>,
}

impl ControlTasks {
    /// An empty queue.
    pub fn new() -> ControlTasks {
        let (sender, receiver) = mpsc::channel(CAPACITY);
        ControlTasks {
            sender,
            receiver: Mutex::new(Some(receiver)),
        }
    }

    /// A message between controllers.
    pub fn on_log(&self, message: Box<Message>) {
        self.push(ControlTask::Log(message));
    }

    /// A request to the controllers.
    pub fn on_request(&self, request: ControlRequest, reply: ReplySender<NodeProtocol>) {
        self.push(ControlTask::Request(Box::new(request), reply));
    }

    /// A shard here wants escrow.
    pub fn request_grant(&self, request: GrantRequest) {
        self.push(ControlTask::RequestGrant(request));
    }

    /// A shard here gives escrow back.
    pub fn return_grant(&self, returned: GrantReturn) {
        self.push(ControlTask::ReturnGrant(returned));
    }

    /// The end that executes; taken once.
    pub fn take_receiver(&self) -> Option<mpsc::Receiver<ControlTask>> {
        self.receiver.lock().take()
    }

    fn push(&self, task: ControlTask) {
        if self.sender.try_send(task).is_err() {
            log::warn!("the queue of control work is full; one piece is dropped");
        }
    }
}

impl Default for ControlTasks {
    fn default() -> ControlTasks {
        ControlTasks::new()
    }
}
