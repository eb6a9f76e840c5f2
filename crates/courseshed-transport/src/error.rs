//! Errors of sending and asking, with what they say about the request's fate.

use std::{fmt, io};

use courseshed_types::{NodeId, Verdict};
use snafu::Snafu;

/// The transport could not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StartError {
    /// The listening socket could not be made ready.
    #[snafu(display("cannot listen for peers: {source}"))]
    Listen {
        /// What the system says.
        source: io::Error,
    },
}

/// A one-way message was not sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SendError {
    /// No address is known.
    #[snafu(display("no address of node {node} is known"))]
    UnknownPeer {
        /// The peer.
        node: NodeId,
    },
    /// The peer takes messages too slowly.
    #[snafu(display("the queue to node {node} is full"))]
    QueueFull {
        /// The peer.
        node: NodeId,
    },
}

/// A request got no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum RequestError {
    /// It never left this node and never will.
    #[snafu(display("the request to node {node} was not handed over: {reason}"))]
    NotHandedOver {
        /// The peer.
        node: NodeId,
        /// Why.
        reason: NotHandedOver,
    },
    /// It was handed over and the connection broke before the answer.
    #[snafu(display("the connection to node {node} broke before the answer"))]
    ConnectionLost {
        /// The peer.
        node: NodeId,
    },
    /// It was handed over and the answer did not come in time.
    #[snafu(display("node {node} did not answer in time"))]
    TimedOut {
        /// The peer.
        node: NodeId,
    },
}

/// Why a request was not handed over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotHandedOver {
    /// No address is known.
    UnknownPeer,
    /// The queue is full.
    QueueFull,
    /// No connection came about in time.
    NotConnected,
}

impl fmt::Display for NotHandedOver {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            NotHandedOver::UnknownPeer => "no address is known",
            NotHandedOver::QueueFull => "its queue is full",
            NotHandedOver::NotConnected => "no connection in time",
        })
    }
}

impl RequestError {
    /// Whether the peer may have acted upon the request.
    pub fn verdict(&self) -> Verdict {
        match self {
            RequestError::NotHandedOver { .. } => Verdict::NotRun,
            RequestError::ConnectionLost { .. } | RequestError::TimedOut { .. } => {
                Verdict::MayHaveRun
            }
        }
    }
}
