//! Clients, each with one request at a time, and what they ask and are told.

use std::time::Duration;

use super::journal::{Position, WriteId};
use crate::ReplicaId;

/// Names a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ClientId(pub(super) usize);

impl ClientId {
    /// Half of the clients only read, by the leader's lease where it has one: they go on reading from
    /// a leader that is cut off from the others, which writers soon leave.
    pub(super) fn only_reads(self) -> bool {
        self.0.is_multiple_of(2)
    }
}

/// Names a request of any client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct OperationId(pub(super) u64);

/// A request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Operation {
    pub(super) id: OperationId,
    pub(super) client: ClientId,
    pub(super) kind: OperationKind,
}

/// What is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OperationKind {
    Write(WriteId),
    Read,
}

/// What the client is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Answer {
    /// The write is committed.
    Written(Position),
    /// How many writes there are, and the last one.
    Read(Position, Option<WriteId>),
    /// It certainly didn't and won't take effect. Another replica may lead.
    Refused(Option<ReplicaId>),
}

/// One client.
#[derive(Debug)]
pub(super) struct Client {
    /// The replica it believes to lead.
    pub(super) leader: Option<ReplicaId>,
    /// The request that it waits for.
    pub(super) waiting_for: Option<OperationId>,
}

/// Time between the answer to a client and its next request, at most.
pub(super) const LONGEST_THINKING: Duration = Duration::from_millis(120);
/// How long a client waits for an answer.
pub(super) const PATIENCE: Duration = Duration::from_millis(900);
/// One request in so many goes to any replica, whoever leads.
pub(super) const STRAY_ONE_IN: u32 = 5;
