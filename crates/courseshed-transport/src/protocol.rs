//! What a node says over the transport, left to the crate that uses it.

use courseshed_types::{Incarnation, NodeId};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tokio::sync::oneshot;

/// What a message is for; counted apart, and bulk travels on a connection of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum TrafficClass {
    /// Membership, settings, elections and heartbeats: the fixed cost of being a node.
    Control,
    /// What calls cause.
    Data,
    /// Snapshots and other large transfers.
    Bulk,
}

impl TrafficClass {
    /// All classes.
    pub const ALL: [TrafficClass; 3] = [
        TrafficClass::Control,
        TrafficClass::Data,
        TrafficClass::Bulk,
    ];

    /// The name used in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            TrafficClass::Control => "control",
            TrafficClass::Data => "data",
            TrafficClass::Bulk => "bulk",
        }
    }
}

/// What a message is part of, such as elections or settings; traffic is counted by it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Mechanism {
    /// The class it counts to.
    pub class: TrafficClass,
    /// The name used in metrics.
    pub name: &'static str,
}

impl Mechanism {
    /// What the transport itself says to find out whether peers are alive.
    pub(crate) const KEEP_ALIVE: Mechanism = Mechanism {
        class: TrafficClass::Control,
        name: "keep_alive",
    };

    /// A class as a whole.
    pub fn of_class(class: TrafficClass) -> Mechanism {
        Mechanism {
            class,
            name: class.as_str(),
        }
    }
}

/// The messages of a transport.
pub trait Protocol: Sized + Send + Sync + 'static {
    /// Told without an answer.
    type Message: Serialize + DeserializeOwned + Send + 'static;
    /// Asked.
    type Request: Serialize + DeserializeOwned + Send + 'static;
    /// Answered.
    type Reply: Serialize + DeserializeOwned + Send + 'static;

    /// What a message is for.
    fn message_class(message: &Self::Message) -> TrafficClass;
    /// What a request is for; its answer belongs to the same class.
    fn request_class(request: &Self::Request) -> TrafficClass;

    /// What a message is part of.
    fn message_mechanism(message: &Self::Message) -> Mechanism {
        Mechanism::of_class(Self::message_class(message))
    }

    /// What a request is part of; its answer belongs to the same.
    fn request_mechanism(request: &Self::Request) -> Mechanism {
        Mechanism::of_class(Self::request_class(request))
    }
}

/// Who speaks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PeerIdentity {
    /// The node.
    pub node: NodeId,
    /// Its start.
    pub incarnation: Incarnation,
}

/// Takes what peers say. Called on the transport's own threads: must not block.
pub trait Handler<P: Protocol>: Send + Sync + 'static {
    /// A one-way message.
    fn on_message(&self, from: PeerIdentity, message: P::Message);
    /// A request; the answer goes through `reply`, now or later. Dropping it fails the request.
    fn on_request(&self, from: PeerIdentity, request: P::Request, reply: ReplySender<P>);
}

/// Sends the one answer of a request.
#[derive(Debug)]
pub struct ReplySender<P: Protocol>(pub(crate) oneshot::Sender<P::Reply>);

impl<P: Protocol> ReplySender<P> {
    /// A sender whose answer comes out of the receiver, for requests that no peer sent.
    pub fn channel() -> (ReplySender<P>, oneshot::Receiver<P::Reply>) {
        let (sender, receiver) = oneshot::channel();
        (ReplySender(sender), receiver)
    }

    /// Answers. Nothing happens if the asker is gone.
    pub fn send(self, reply: P::Reply) {
        let _ = self.0.send(reply);
    }

    /// Whether the asker has given up waiting.
    pub fn is_closed(&self) -> bool {
        self.0.is_closed()
    }
}
