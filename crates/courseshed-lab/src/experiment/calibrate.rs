//! Measures what a fleet can do with a workload.
//!
//! Capacity is the highest rate of arrivals at which calls hardly wait under prefix affinity, the strongest of the
//! baselines on cache: the 95th percentile of the wait for an engine stays below one second in every pool. Beyond
//! it the queue of some pool grows for as long as programs arrive, so the edge is sharp. It is found by bisection,
//! on seeds that are never reported.

use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use super::{
    file::{ExperimentError, PolicyName, ScenarioSnafu},
    plan::{Experiment, RunKey},
    runs::run_parallel,
};
use crate::simulation::{RunResult, simulate};

/// The 95th percentile of waits at which the fleet counts as full, in seconds.
const FULL_WAIT: f64 = 1.0;
/// The first rate tried, in programs per second.
const FIRST_RATE: f64 = 2.0;
/// Most doublings of it.
const MAX_DOUBLINGS: u32 = 14;
/// Steps of bisection after the doublings.
const BISECTIONS: u32 = 6;

/// What a fleet can do.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Calibration {
    /// Programs per second.
    pub programs_per_second: f64,
    /// Whether it was measured; else the file states it.
    pub measured: bool,
}

/// The capacity that the file states, or that is measured now.
pub fn calibrate(experiment: &Experiment, threads: usize) -> Result<Calibration, ExperimentError> {
    if let Some(programs_per_second) = experiment.file.capacity {
        return Ok(Calibration {
            programs_per_second,
            measured: false,
        });
    }
    let (mut least, mut most) = (0.0, FIRST_RATE);
    let mut doublings = 0;
    while doublings < MAX_DOUBLINGS && keeps_up(experiment, most, threads)? {
        (least, most) = (most, most * 2.0);
        doublings += 1;
    }
    for _ in 0..BISECTIONS {
        let middle = (least + most) / 2.0;
        match keeps_up(experiment, middle, threads)? {
            true => least = middle,
            false => most = middle,
        }
    }
    Ok(Calibration {
        programs_per_second: least,
        measured: true,
    })
}

/// Whether calls hardly wait at a rate of arrivals, on most seeds of calibration.
fn keeps_up(experiment: &Experiment, rate: f64, threads: usize) -> Result<bool, ExperimentError> {
    let run = |seed: &u64| RunKey {
        policy: PolicyName::PrefixAffinity,
        load: 1.0,
        seed: *seed,
        with_surges: false,
    };
    let runs: Vec<RunKey> = experiment.file.calibration_seeds.iter().map(run).collect();
    let results = run_parallel(&runs, threads, |run| {
        let mut scenario = experiment.scenario(run, rate);
        scenario.faults.clear();
        simulate(&scenario)
    });
    let path = &experiment.path;
    let mut keeping_up = 0;
    for result in results {
        let result = result.context(ScenarioSnafu { path })?;
        keeping_up += usize::from(hardly_waits(&result));
    }
    Ok(2 * keeping_up > runs.len())
}

fn hardly_waits(result: &RunResult) -> bool {
    result.waits.iter().all(|pool| pool.wait.p95 < FULL_WAIT) && result.refused_part() < 0.01
}
