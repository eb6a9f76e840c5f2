//! Durable records of programs: token reservations and kept turns, on a quorum of disks.
//!
//! Records are never changed in a way whose order matters: a reservation is added and later lowered
//! to what was given, a turn is added whole. So there is no leader to wait for: a writer sends to
//! every replica and goes on when a quorum has the record on disk. Who the replicas are is a
//! [`RecordView`], which the controllers commit; each write names the view's epoch, and a replica
//! that moved on refuses older ones. Programs are spread over partitions ([`PartitionMap`]), each of
//! which has a view of its own. See `docs/design/records.md`.
//!
//! Invariants:
//! - Any two quorums of one view, or of consecutive views, share a replica that has the record, as
//!   long as no more disks are lost than the view bears.
//! - A replica with an empty disk counts for nothing until it has read from enough others.
//! - The sum of what is reserved for a program and what it was given never exceeds its budget.

mod partition;
mod plan;
mod prompt_hints;
mod record;
mod replica;
mod segments;
pub mod simulation;
mod store;
mod tally;
mod turn_cache;
mod view;

pub use partition::{
    PARTITION_COUNT, PartitionId, PartitionMap, PartitionRecord, PartitionTables, ViewChange,
};
pub use plan::{
    CaughtUp, HomeRegion, MapPlan, Spread, StoreMachine, ViewPlan, plan_map, plan_view,
};
pub use prompt_hints::PromptHints;
pub use record::{ExportCursor, ExportPage, Record, Reserved, Turn};
pub use replica::{
    ChainError, EntryKey, EntryPage, KeptEntry, Location, RecordReplica, SegmentNumber,
};
pub use segments::JournalError;
pub use store::{ReadError, RecordStore, StoreFigures, StoreLimits};
pub use tally::{MissTally, ReservationDecision, ReservationTally, WriteTally};
pub use view::{RecordMember, RecordView};
