//! Data tables of one pool, updated by the systems.

mod branches;
mod calls;
mod engines;
mod programs;
mod shards;
mod timers;

pub(crate) use branches::{BranchNode, BranchTable, Listing, NodeIndex};
pub(crate) use calls::{Assignment, CallEntry, CallPhase, CallTable, Parking, Rank};
pub(crate) use engines::{EngineEntry, EngineTable};
pub(crate) use programs::{CachedPrefix, ProgramEntry, ProgramTable};
pub(crate) use shards::{ShardTable, TermCheck};
pub(crate) use timers::{Timer, TimerTable};
