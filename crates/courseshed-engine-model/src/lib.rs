//! A model of an inference engine in virtual time: continuous batching and KV blocks.
//!
//! The same model serves the emulator, which drives it by the wall clock, and the simulator,
//! which drives it by virtual time. It does no I/O and draws no random numbers: the same calls
//! give the same events. Time is a [`std::time::Duration`] since an epoch of the caller's choice
//! and must never go backwards between calls.
//!
//! The model keeps these invariants:
//! - the blocks in use never exceed [`EngineModelConfig::kv_blocks`];
//! - a block that a running request refers to is never evicted;
//! - leased blocks never exceed the configured share, and a lease that ran out holds nothing;
//! - a request is in exactly one of the waiting and running tables until it ends.

mod admission;
mod cache;
mod config;
mod event;
mod hash;
mod lease;
mod load;
mod model;
mod request;
mod sequence;
mod step;
mod transfer;
mod waste;

#[cfg(test)]
mod tests;

pub use cache::{CacheChange, CacheChangeKind};
pub use config::{ConfigError, EngineModelConfig};
pub use event::EngineEvent;
pub use hash::{BlockHash, chain_block_hash, chain_block_hashes};
pub use lease::{LeaseGrant, LeaseView};
pub use load::{EngineCounters, EngineLoad};
pub use model::EngineModel;
pub use request::{
    EngineRequest, OwnerKey, PrefixHold, ProgramKey, RequestKey, RequestProgress, SubmitError,
};
pub use transfer::{TransferKind, TransferTicket};
pub use waste::{Waste, WasteByOwner};
