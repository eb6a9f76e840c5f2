//! Commands in the controllers' log and their results.

use bytes::Bytes;
use courseshed_quota::OwnerBounds;
use courseshed_records::{StoreMachine, ViewChange};
use courseshed_routing::VersionedTable;
use courseshed_types::NodeId;
use serde::{Deserialize, Serialize};

use crate::Registration;

/// A command in the controllers' log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Replaces the routing table.
    ReplaceRouting {
        /// The versioned table.
        table: VersionedTable,
        /// The document submitted by the operator, returned unchanged on reads.
        document: Bytes,
    },
    /// Registers a server or updates its registration.
    Announce(Registration),
    /// Deregisters a server.
    Leave {
        /// Id of a server incarnation, or name of a server, which selects its newest incarnation.
        server: String,
    },
    /// Removes servers whose heartbeats timed out.
    Expire {
        /// Ids of the servers.
        servers: Vec<String>,
    },
    /// Registers a machine with a disk for records.
    RegisterStore {
        /// Node id of the machine.
        node: NodeId,
        /// Properties of the machine.
        store: StoreMachine,
    },
    /// Changes the replicas of partitions. A change whose epoch is not the next one of its
    /// partition is ignored.
    ChangeRecordViews(Vec<ViewChange>),
    /// Decommissions a store.
    Retire {
        /// Name of the machine.
        name: String,
        /// Minimum number of stores that must remain.
        needed: usize,
    },
    /// Marks a store as decommissioned once it hosts no needed replica.
    CompleteRetirement {
        /// Node id of the machine.
        node: NodeId,
    },
    /// Starts or ends the evacuation of a zone.
    Evacuate {
        /// The zone.
        zone: String,
        /// Whether servers in the zone receive no further calls.
        is_evacuated: bool,
        /// Whether the end of the evacuation marks the zone's servers as warming up until they
        /// report. False in commands of earlier builds, whose replay must not change.
        #[serde(default)]
        marks_unverified: bool,
    },
    /// Changes the quota bounds that the owner of tenants' permits must observe.
    #[serde(rename = "BoundQuotas")]
    SetQuotaBounds(OwnerBounds),
}

/// Result of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The command is in effect, possibly already before.
    Done,
    /// There is no machine with that name.
    UnknownMachine,
    /// Too few stores would remain.
    #[serde(rename = "TooFew")]
    TooFewStores,
    /// The given quota bounds are in effect.
    #[serde(rename = "QuotasBound")]
    QuotaBoundsSet(OwnerBounds),
}
