//! The dispatcher role: one dispatcher per pool this node owns, fed by shards' leaders and by engines.

mod engines;
mod exports;
mod handover;
mod orders;
mod polling;
mod slot;
mod table;
mod ticker;

pub use engines::{EngineWorker, engine_timeouts};
pub use orders::EngineTasks;
pub use table::DispatcherTable;
pub use ticker::DispatcherTicker;
