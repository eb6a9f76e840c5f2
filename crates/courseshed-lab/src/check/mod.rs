//! The proof of the protocols: models explored exhaustively, and simulations over many seeds.

pub mod fleet;
mod models;
mod report;
mod simulations;

pub use report::CheckReport;
pub use simulations::{BrokenSimulation, SeedViolation, Simulation, SimulationSummary};
