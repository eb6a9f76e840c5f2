//! Durable records of programs (token reservations and stored turns), replicated to a quorum of
//! disks.
//!
//! Updates commute: a reservation is added and later only lowered to the tokens used, and a turn is
//! immutable. No leader is needed: a writer sends to every replica and proceeds once a quorum has
//! the record on disk. The replica set is a [`RecordView`] committed by the controllers; each write
//! carries the epoch of its view, and a replica rejects epochs older than its own. Programs are
//! hashed to partitions ([`PartitionMap`]), each with its own view. See `docs/design/records.md`.
//!
//! Invariants:
//! - Any two quorums of the same view, or of consecutive views, share a replica that has the
//!   record, as long as no more disks are lost than the view tolerates.
//! - A replica with an empty disk does not count towards quorums until it has caught up from
//!   enough other replicas.
//! - The tokens reserved for a program plus the tokens it has used never exceed its budget.

mod chain;
pub mod chain_simulation;
mod gaps;
mod partition;
mod plan;
mod prompt_hints;
mod record;
mod regional;
mod replica;
mod segments;
pub mod simulation;
mod store;
mod stream_attempts;
mod stream_versions;
mod tally;
mod turn_cache;
mod view;

pub use chain::{ChainAssembly, ChainOutcome, ChainPart, ChainRest};
pub use gaps::{GAP_REPAIR_DELAY_MS, MissingTurn};
pub use partition::{
    PARTITION_COUNT, PartitionId, PartitionMap, PartitionRecord, PartitionTables, ViewChange,
};
pub use plan::{
    CaughtUp, HomeRegion, MapPlan, PlacementPolicy, StoreMachine, ViewPlan, plan_map, plan_view,
};
pub use prompt_hints::PromptHints;
pub use record::{ExportCursor, ExportPage, Record, Reserved, Turn};
pub use regional::REGIONAL_PARTITIONS;
pub use replica::{
    ChainError, EntryKey, EntryPage, Location, RecordReplica, SegmentNumber, StoredEntry,
};
pub use segments::JournalError;
pub use store::{ReadError, RecordStore, StoreLimits, StoreStats};
pub use stream_attempts::{
    AttemptReceipt, AttemptUpdate, EventMark, OutputPiece, ResumedAttempt, StreamAttempt,
    StreamAttempts, resumed_attempt,
};
pub use stream_versions::StreamVersions;
pub use tally::{MissTally, ReservationDecision, ReservationTally, WriteTally};
pub use view::{RecordMember, RecordView};
