//! Simulator, load, experiments and reports.
//!
//! Each command of `courseshed-lab` has a module in [`commands`]; what it runs has a module beside it.

pub mod bench;
pub mod check;
pub mod commands;
pub mod experiment;
pub mod hollow;
pub mod live;
pub mod quickstart;
pub mod report;
pub mod simulation;
pub mod workload;
