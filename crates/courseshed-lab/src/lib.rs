//! Simulator, load, experiments and reports.

#![forbid(unsafe_code)]

pub mod workload;
