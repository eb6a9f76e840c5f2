//! What enters the controllers' log, and what comes of it.

use bytes::Bytes;
use courseshed_quota::OwnerBounds;
use courseshed_records::{StoreMachine, ViewChange};
use courseshed_routing::VersionedTable;
use courseshed_types::NodeId;
use serde::{Deserialize, Serialize};

use crate::Registration;

/// One entry of the controllers' log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// An operator replaces the routing table.
    ReplaceRouting {
        /// The table with its version.
        table: VersionedTable,
        /// What the operator sent, to be read back as it was.
        document: Bytes,
    },
    /// A server is new, or says something new.
    Announce(Registration),
    /// A server leaves.
    Leave {
        /// The id of a life, or the name of a server, of which the newest life is meant.
        server: String,
    },
    /// Servers were silent for too long.
    Expire {
        /// Their ids.
        servers: Vec<String>,
    },
    /// A machine with a disk for records started.
    RegisterStore {
        /// The machine.
        node: NodeId,
        /// What it says of itself.
        store: StoreMachine,
    },
    /// The replicas of some partitions of the records change. A change whose epoch isn't the next
    /// one of its partition is passed over.
    ChangeRecordViews(Vec<ViewChange>),
    /// A machine with records is to be emptied.
    Retire {
        /// Its name.
        name: String,
        /// Replicas that must remain.
        needed: usize,
    },
    /// A machine holds nothing any more that would be missed.
    CompleteRetirement {
        /// The machine.
        node: NodeId,
    },
    /// An operator wants a zone's servers to get nothing more, or takes the zone back.
    Evacuate {
        /// The zone.
        zone: String,
        /// Whether they get nothing more from now on.
        is_evacuated: bool,
    },
    /// What the owner of tenants' permits is bound by changes.
    BoundQuotas(OwnerBounds),
}

/// What came of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It is in force, or was already.
    Done,
    /// No machine of that name is known.
    UnknownMachine,
    /// Too few machines would remain.
    TooFew,
    /// These bounds of the owner of permits are in force.
    QuotasBound(OwnerBounds),
}
