//! A run of the dispatcher against modelled engines in virtual time.
//!
//! The dispatcher is the daemon's own code and the engines are the emulator's own model. What lies between them is
//! kept simple and stated: a shard that commits after a constant time, messages that take a constant time, callers
//! that follow a drawn script. Invariants: the same scenario gives the same result to the last byte, every call
//! that is issued ends exactly once or is open when the run ends, and no call runs twice at a time.

mod callers;
mod clock;
mod engine_host;
mod engines;
mod event;
mod measure;
mod pools;
mod program;
mod run;
mod scenario;
mod shard;
#[cfg(test)]
mod tests;
mod waste;

pub use measure::{
    CallCounts, EngineOccupancy, KindResult, LatencySummary, OccupancySample, PoolWait, RunResult,
    ShareRow, ShareWindow, WasteRow, policy_name,
};
pub use run::simulate;
pub use scenario::{Delays, EngineFault, EngineSpec, FaultKind, Scenario, ScenarioError};
