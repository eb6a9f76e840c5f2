//! Measures what control costs the nodes of a fleet of the size the project is designed for.
//!
//! The fleet is [`courseshed_control::hollow`]: the real code of every node over virtual links in virtual time. This
//! module adds what a core can't have: the processor's clock and the process's memory, and the day that the fleet
//! goes through.

mod cpu;
mod day;
mod limits;
mod memory;
mod run;
mod text;

pub use day::DayPlan;
pub use limits::ControlLimits;
pub use run::{FleetRun, HollowPlan, run_plan};

use serde::Serialize;

/// Runs of fleets of different sizes.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct HollowReport {
    /// What control may cost.
    pub limits: ControlLimits,
    /// One for each size, in the order asked for.
    pub runs: Vec<FleetRun>,
}

impl HollowReport {
    /// Runs a plan at several sizes, from the smallest to the largest. Every fleet is kept until the end, so that
    /// each run's memory is new to the process.
    pub fn sweep(plan: &HollowPlan, sizes: &[u32]) -> HollowReport {
        let mut runs = Vec::new();
        let mut kept = Vec::new();
        for nodes in sizes {
            let (run, fleet) = run_plan(&plan.of_nodes(*nodes));
            runs.push(run);
            kept.push(fleet);
        }
        HollowReport {
            limits: ControlLimits::default(),
            runs,
        }
    }

    /// Whether no promise was broken.
    pub fn held(&self) -> bool {
        self.runs.iter().all(|run| run.fleet.violations.is_empty())
    }
}

#[cfg(test)]
mod tests;
