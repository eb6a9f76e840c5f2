//! Synthetic agent programs: their kinds, read from TOML, and seeded draws of whole programs and arrivals.
//!
//! The simulator, the load generator and the quickstart draw from the same kinds, so what is measured in virtual
//! time has the shape of what runs against real daemons. Invariant: a draw depends only on the workload, the seed
//! and the program's place in its stream, never on how a policy treated earlier programs.

mod arrivals;
mod bundled;
mod distribution;
mod error;
mod kind;
mod script;
#[cfg(test)]
mod tests;

pub use arrivals::{Arrival, ArrivalPlan, Surge};
pub use bundled::BundledWorkload;
pub use distribution::Distribution;
pub use error::WorkloadError;
pub use kind::{ProgramKind, SubAgents, Workload};
pub use script::{Pause, ProgramScript, ScriptSource, TurnScript};
