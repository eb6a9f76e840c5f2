//! The scheduler of a pool of engines: whose next call runs, on which engine, and who waits.
//!
//! One [`PoolScheduler`] decides for the engines of one service, for the calls of all gateways. It is free of I/O and
//! deterministic: times are passed in. Its state is soft: a scheduler that starts learns the calls under way from
//! the gateways that have them, and the rest from what it sees.

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
    CallDemand, CallEnd, CallNote, Decision, DecisionInputs, EngineListing, NameKey,
    ProgramStanding, RunningCall, Ticket, Verdict,
};
pub use quantile::Quantile;
pub use scheduler::PoolScheduler;
