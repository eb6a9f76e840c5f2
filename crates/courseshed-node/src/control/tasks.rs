//! The queues of control: what comes for this node's controller, for its follower, and shards' wishes.
//!
//! All of it may be dropped when a queue is full, since all of it is sent again.

use courseshed_consensus::Message;
use courseshed_settings::NodeSettings;
use courseshed_transport::ReplySender;
use courseshed_types::control::{
    ControlReply, ControlRequest, GrantRequest, GrantReturn, NodeRole,
};
use parking_lot::Mutex;
use tokio::sync::mpsc;

use crate::{control::founding::ControlLogState, protocol::NodeProtocol};

/// Work that may wait in one queue.
const CAPACITY: usize = 16_384;

/// For the controller.
pub enum ControllerTask {
    /// From another controller.
    Log(Box<Message>),
    /// From another node, or from this one.
    Request(Box<ControlRequest>, ReplySender<NodeProtocol>),
}

/// For what every node runs.
pub enum FollowerTask {
    /// Another node asks this one as its relay.
    Request(Box<ControlRequest>, ReplySender<NodeProtocol>),
    /// An answer to a request of the follower, or that none came.
    Answered {
        /// The follower's number of the request.
        number: u64,
        /// The answer.
        reply: Option<Box<ControlReply>>,
    },
    /// This node's controller leads, or follows another.
    ControllerRole,
}

/// What a shard here wants of the controllers.
#[derive(Debug, Clone)]
pub enum ShardWish {
    /// Escrow.
    Grant(GrantRequest),
    /// To give escrow back.
    Return(GrantReturn),
}

/// What this node's controller says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ControllerStatus {
    /// What it knows of the log.
    pub log: ControlLogState,
    /// Whether it leads.
    pub leads: bool,
    /// Whether it counts for a quorum.
    pub votes: bool,
    /// Whether its disk failed, so that it takes part no more.
    pub failed: bool,
}

/// One queue, whose receiving end is taken once.
struct Queue<T> {
    name: &'static str,
    sender: mpsc::Sender<T>,
    receiver: Mutex<Option<mpsc::Receiver<T>>>,
}

impl<T> Queue<T> {
    fn new(name: &'static str) -> Queue<T> {
        let (sender, receiver) = mpsc::channel(CAPACITY);
        Queue {
            name,
            sender,
            receiver: Mutex::new(Some(receiver)),
        }
    }

    fn push(&self, task: T) {
        if self.sender.try_send(task).is_err() {
            log::warn!(
                "the queue of {} is full or closed; one piece is dropped",
                self.name
            );
        }
    }
}

/// The queues.
pub struct ControlTasks {
    is_controller: bool,
    controller: Queue<ControllerTask>,
    follower: Queue<FollowerTask>,
    wishes: Queue<ShardWish>,
    status: Mutex<Option<ControllerStatus>>,
}

impl ControlTasks {
    /// Empty queues of a node with these settings.
    pub fn new(settings: &NodeSettings) -> ControlTasks {
        ControlTasks {
            is_controller: settings.roles.contains(&NodeRole::Controller),
            controller: Queue::new("the controller"),
            follower: Queue::new("control traffic"),
            wishes: Queue::new("shards' requests to the controllers"),
            status: Mutex::new(None),
        }
    }

    /// A message between controllers.
    pub fn on_log(&self, message: Box<Message>) {
        if self.is_controller {
            self.controller.push(ControllerTask::Log(message));
        }
    }

    /// A request to the controllers, or to this node as a relay.
    pub fn on_request(&self, request: ControlRequest, reply: ReplySender<NodeProtocol>) {
        let request = Box::new(request);
        if self.is_controller {
            self.controller
                .push(ControllerTask::Request(request, reply));
        } else {
            self.follower.push(FollowerTask::Request(request, reply));
        }
    }

    /// This node's controller; none while it has not looked at its folder, or if there is no controller here.
    pub fn controller(&self) -> Option<ControllerStatus> {
        *self.status.lock()
    }

    /// A shard here wants escrow.
    pub fn request_grant(&self, request: GrantRequest) {
        self.wishes.push(ShardWish::Grant(request));
    }

    /// A shard here gives escrow back.
    pub fn return_grant(&self, returned: GrantReturn) {
        self.wishes.push(ShardWish::Return(returned));
    }

    pub(super) fn set_controller(&self, status: ControllerStatus) {
        *self.status.lock() = Some(status);
    }

    pub(super) fn tell_follower(&self, task: FollowerTask) {
        self.follower.push(task);
    }

    pub(super) fn take_controller(&self) -> Option<mpsc::Receiver<ControllerTask>> {
        self.controller.receiver.lock().take()
    }

    pub(super) fn take_follower(&self) -> Option<mpsc::Receiver<FollowerTask>> {
        self.follower.receiver.lock().take()
    }

    pub(super) fn take_wishes(&self) -> Option<mpsc::Receiver<ShardWish>> {
        self.wishes.receiver.lock().take()
    }
}
