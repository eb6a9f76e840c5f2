//! Runs scenarios on several threads; the results are in the order of the runs, whatever the threads did.

use std::{
    fs,
    io::Write,
    path::Path,
    sync::atomic::{AtomicUsize, Ordering},
    thread,
};

use snafu::ResultExt;

use super::{
    file::{ExperimentError, ScenarioSnafu, WriteSnafu},
    plan::{Experiment, RunKey},
};
use crate::simulation::{RunResult, simulate};

/// Runs every run of an experiment; `done` is called after each.
pub fn run_all(
    experiment: &Experiment,
    capacity: f64,
    threads: usize,
    done: impl Fn() + Sync,
) -> Result<Vec<RunResult>, ExperimentError> {
    let runs = experiment.runs();
    let results = run_parallel(&runs, threads, |run| {
        let result = run_one(experiment, run, capacity);
        done();
        result
    });
    results.into_iter().collect()
}

/// Runs one run of an experiment.
pub fn run_one(
    experiment: &Experiment,
    run: &RunKey,
    capacity: f64,
) -> Result<RunResult, ExperimentError> {
    let path = &experiment.path;
    let scenario = experiment.scenario(run, capacity);
    let mut result = simulate(&scenario).context(ScenarioSnafu { path })?;
    result.load = run.load;
    result.with_surges = run.with_surges;
    Ok(result)
}

/// Applies `work` to all runs on so many threads.
pub(super) fn run_parallel<T: Send>(
    runs: &[RunKey],
    threads: usize,
    work: impl Fn(&RunKey) -> T + Sync,
) -> Vec<T> {
    let next = AtomicUsize::new(0);
    let worker = || {
        let mut results = Vec::new();
        loop {
            let index = next.fetch_add(1, Ordering::Relaxed);
            let Some(run) = runs.get(index) else {
                return results;
            };
            results.push((index, work(run)));
        }
    };
    let mut results: Vec<(usize, T)> = thread::scope(|scope| {
        let count = threads.clamp(1, runs.len().max(1));
        let workers: Vec<_> = (0..count).map(|_| scope.spawn(worker)).collect();
        let joined = workers.into_iter().map(|worker| worker.join());
        joined
            .flat_map(|results| results.expect("a run does not panic"))
            .collect()
    });
    results.sort_by_key(|(index, _)| *index);
    results.into_iter().map(|(_, result)| result).collect()
}

/// Writes results as JSON lines.
pub fn write_lines(path: &Path, results: &[RunResult]) -> Result<(), ExperimentError> {
    let mut text = Vec::new();
    for result in results {
        serde_json::to_writer(&mut text, result).expect("results are plain data");
        text.push(b'\n');
    }
    let mut file = fs::File::create(path).context(WriteSnafu { path })?;
    file.write_all(&text).context(WriteSnafu { path })
}
