//! An emulated model engine: the model of `courseshed-engine-model` behind the engine protocol.
//!
//! The state stands in one table under one lock; handlers change it, and one timer per engine
//! moves it on ([`driver`]). What truly ran is kept apart in [`ran`] and survives crashes.

mod admin;
mod cache;
mod cache_log;
mod chat;
mod driver;
mod error;
mod faults;
mod handle;
mod intern;
mod options;
mod orders;
mod ran;
mod record;
mod requests;
mod state;
mod stream;

pub use faults::{EventFaults, FaultOrder};
pub use handle::{EmulatedEngine, EngineHandle};
pub use options::EngineOptions;
pub use ran::{BranchTokens, LateArrival, RanReport, RanRequest};
