//! What nodes say to each other.

use courseshed_consensus::{Message as LogMessage, MessageBody};
use courseshed_transport::{Mechanism, Protocol, TrafficClass};
use courseshed_types::{
    CallId,
    control::{ControlReply, ControlRequest},
    dispatch::{DispatchEvent, DispatchRequest, PoolId, WaitExplanation},
    shard::{ShardReply, ShardRequest},
};
use serde::{Deserialize, Serialize};

use crate::compact;

use crate::control::ControlLogState;

/// The protocol between nodes.
#[derive(Debug)]
pub enum NodeProtocol {}

/// Told without an answer. All of it may be lost or come twice.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum NodeMessage {
    /// Between the replicas of a program shard.
    ShardLog(#[serde(with = "compact")] ShardLogMessage),
    /// Between the controllers.
    ControlLog(#[serde(with = "compact")] Box<LogMessage>),
    /// From a shard's leader to a dispatcher.
    Dispatch(Box<DispatchRequest>),
    /// From a dispatcher to a shard's leader.
    DispatchEvent(Box<DispatchEvent>),
}

/// A message between the replicas of one generation of a shard.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ShardLogMessage {
    /// The generation; replicas of another one hold another log.
    pub generation: u32,
    /// The message; the number of its group is the shard's.
    pub message: Box<LogMessage>,
}

/// Asked.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum NodeRequest {
    /// Of a shard's leader.
    Shard(Box<ShardRequest>),
    /// Of the controllers' leader, or of a relay.
    Control(Box<ControlRequest>),
    /// Of a controller: what it knows of the control log.
    ControlLogState,
    /// Of a dispatcher: why a call waits.
    Explain {
        /// The pool.
        pool: PoolId,
        /// The call.
        call: CallId,
    },
}

/// Answered.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum NodeReply {
    /// By a shard's replica.
    Shard(Box<ShardReply>),
    /// By a controller, or a relay.
    Control(Box<ControlReply>),
    /// By a controller.
    ControlLogState(ControlLogState),
    /// By a dispatcher; none if the call does not wait there.
    Explanation(Option<WaitExplanation>),
}

impl Protocol for NodeProtocol {
    type Message = NodeMessage;
    type Request = NodeRequest;
    type Reply = NodeReply;

    fn message_class(message: &NodeMessage) -> TrafficClass {
        match message {
            NodeMessage::ShardLog(log) => log_class(&log.message.body),
            NodeMessage::ControlLog(_) => TrafficClass::Control,
            NodeMessage::Dispatch(_) | NodeMessage::DispatchEvent(_) => TrafficClass::Data,
        }
    }

    fn request_class(request: &NodeRequest) -> TrafficClass {
        match request {
            NodeRequest::Control(_) | NodeRequest::ControlLogState => TrafficClass::Control,
            NodeRequest::Shard(_) | NodeRequest::Explain { .. } => TrafficClass::Data,
        }
    }

    fn message_mechanism(message: &NodeMessage) -> Mechanism {
        Mechanism {
            class: Self::message_class(message),
            name: message_name(message),
        }
    }

    fn request_mechanism(request: &NodeRequest) -> Mechanism {
        Mechanism {
            class: Self::request_class(request),
            name: request_name(request),
        }
    }
}

/// The part of a message's name that says what it is part of.
fn message_name(message: &NodeMessage) -> &'static str {
    match message {
        NodeMessage::ShardLog(log) => log_name(&log.message.body, "shard_log", "shard_election"),
        NodeMessage::ControlLog(message) => {
            log_name(&message.body, "control_log", "control_election")
        }
        NodeMessage::Dispatch(_) => "dispatch_request",
        NodeMessage::DispatchEvent(_) => "dispatch_event",
    }
}

fn request_name(request: &NodeRequest) -> &'static str {
    match request {
        NodeRequest::Shard(_) => "shard_request",
        NodeRequest::Control(_) => "control_request",
        NodeRequest::ControlLogState => "control_log_state",
        NodeRequest::Explain { .. } => "explain",
    }
}

fn log_name(body: &MessageBody, replication: &'static str, election: &'static str) -> &'static str {
    match log_class(body) {
        TrafficClass::Control => election,
        TrafficClass::Data | TrafficClass::Bulk => replication,
    }
}

/// Heartbeats and elections are the cost of being a replica, entries are caused by calls.
fn log_class(body: &MessageBody) -> TrafficClass {
    match body {
        MessageBody::SnapshotChunk { .. } => TrafficClass::Bulk,
        MessageBody::Append { entries, .. } if !entries.is_empty() => TrafficClass::Data,
        _ => TrafficClass::Control,
    }
}
