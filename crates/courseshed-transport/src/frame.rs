//! The frames of a connection and their encoding: a length prefix, then MessagePack.

use std::io;

use bytes::Bytes;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tokio_util::codec::LengthDelimitedCodec;

use crate::protocol::{PeerIdentity, Protocol};

/// The version of the protocol; both ends of a connection must speak the same.
pub const PROTOCOL_VERSION: u32 = 1;
/// The largest frame; a longer one closes the connection.
pub const MAX_FRAME_BYTES: usize = 256 * 1024 * 1024;
/// The largest first frame, which only names the peer. Memory for larger ones is not given to strangers.
pub(crate) const MAX_HELLO_BYTES: usize = 1024;
/// Bytes of the length prefix.
pub(crate) const LENGTH_BYTES: usize = 4;

/// The first frame in each direction.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct Hello {
    pub version: u32,
    pub identity: PeerIdentity,
}

/// A frame from the end that opened the connection.
#[derive(Serialize, Deserialize)]
#[serde(bound = "")]
pub(crate) enum ForwardFrame<P: Protocol> {
    Message(P::Message),
    Request { id: u64, request: P::Request },
    Ping,
}

/// A frame from the end that accepted the connection.
#[derive(Serialize, Deserialize)]
#[serde(bound = "")]
pub(crate) enum BackwardFrame<P: Protocol> {
    Reply {
        id: u64,
        reply: P::Reply,
    },
    /// The request was dropped without an answer.
    NoReply {
        id: u64,
    },
    Pong,
}

pub(crate) fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .length_field_length(LENGTH_BYTES)
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

pub(crate) fn encode<T: Serialize>(value: &T) -> io::Result<Bytes> {
    let bytes = rmp_serde::to_vec_named(value).map_err(io::Error::other)?;
    Ok(Bytes::from(bytes))
}

pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> io::Result<T> {
    rmp_serde::from_slice(bytes).map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))
}
