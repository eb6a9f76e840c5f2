//! Scheduler of a pool of inference engines: which call runs next, on which engine, and which calls
//! wait.
//!
//! One [`PoolScheduler`] decides for the engines of one service and the calls of all gateways. It
//! does no I/O and is deterministic; the time is a parameter. Its state is soft: a new scheduler
//! learns the running calls from the gateways and rebuilds its estimates from observations.

mod admission;
mod calls;
mod cost;
mod engines;
mod health;
mod message;
mod order;
mod programs;
mod prompt_cache;
mod quantile;
mod scheduler;
mod shares;
mod speed;

pub use message::{
    CallDemand, CallEnd, CallEndReport, Decision, DecisionInputs, EngineListing, NameHash,
    ProgramContext, RunningCall, Ticket, Verdict,
};
pub use quantile::Quantile;
pub use scheduler::PoolScheduler;
