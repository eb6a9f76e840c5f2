//! Experiments: one file names workload, tree, fleet, policies, loads and seeds; every combination is run.
//!
//! Load is a part of the fleet's capacity, which is measured first on seeds that are not reported. All policies of
//! one seed meet the same programs at the same times.

mod calibrate;
mod file;
mod plan;
mod runs;
mod table;
#[cfg(test)]
mod tests;

pub use calibrate::{Calibration, calibrate};
pub use file::{ExperimentError, ExperimentFile, PolicyName};
pub(crate) use file::{PlotSnafu, ReadSnafu, ResultSnafu, WriteSnafu};
pub use plan::{Experiment, RunKey};
pub use runs::{run_all, run_one, write_lines};
pub(crate) use table::{Group, groups};
pub use table::{Spread, kind_table, policy_table, surge_table};
