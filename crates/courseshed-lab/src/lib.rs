//! Simulator, load, experiments and reports.
