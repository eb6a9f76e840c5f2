//! The frames nodes send each other, encoded as the daemon's transport encodes them.
//!
//! The shape is that of the daemon's protocol: a frame of the connection around a message of the node around a
//! message of control, as MessagePack with field names, behind a length prefix.

use courseshed_consensus::Message;
use courseshed_types::control::{ControlReply, ControlRequest};
use serde::{Deserialize, Serialize};

use super::traffic::Mechanism;

/// Bytes of the length prefix of a frame.
const LENGTH_BYTES: u64 = 4;
/// Bytes of the headers of Ethernet, IPv4 and TCP with time stamps on each packet.
const PACKET_HEADER_BYTES: u64 = 14 + 20 + 32;
/// Bytes of a frame that fit into one packet.
const PACKET_PAYLOAD_BYTES: u64 = 1_448;

/// What one node sends another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) enum Frame {
    Message(NodeMessage),
    Request { id: u64, request: NodeRequest },
    Reply { id: u64, reply: NodeReply },
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) enum NodeMessage {
    ControlLog(Box<Message>),
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) enum NodeRequest {
    Control(Box<ControlRequest>),
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) enum NodeReply {
    Control(Box<ControlReply>),
}

impl Frame {
    pub fn log(message: Message) -> Frame {
        Frame::Message(NodeMessage::ControlLog(Box::new(message)))
    }

    pub fn request(id: u64, request: ControlRequest) -> Frame {
        let request = NodeRequest::Control(Box::new(request));
        Frame::Request { id, request }
    }

    pub fn reply(id: u64, reply: ControlReply) -> Frame {
        let reply = NodeReply::Control(Box::new(reply));
        Frame::Reply { id, reply }
    }

    /// The bytes of the frame behind its length prefix. What can't be encoded is sent as nothing, and read as such.
    pub fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec_named(self).unwrap_or_default()
    }

    pub fn decode(bytes: &[u8]) -> Option<Frame> {
        rmp_serde::from_slice(bytes).ok()
    }
}

/// What a frame weighs on the network, with its length prefix and packet headers.
pub(super) fn weight(frame_bytes: usize) -> u64 {
    let bytes = frame_bytes as u64 + LENGTH_BYTES;
    bytes + bytes.div_ceil(PACKET_PAYLOAD_BYTES) * PACKET_HEADER_BYTES
}

/// What a request is for.
pub(super) fn mechanism_of(request: &ControlRequest) -> Mechanism {
    match request {
        ControlRequest::Heartbeat(_)
        | ControlRequest::ZoneHeartbeats(_)
        | ControlRequest::ZoneReport(_) => Mechanism::Heartbeats,
        ControlRequest::Pull(_) => Mechanism::Spread,
        ControlRequest::RequestGrant(_) | ControlRequest::ReturnGrant(_) => Mechanism::Grants,
        _ => Mechanism::Changes,
    }
}
