//! Experiment files are checked, and a small experiment runs end to end.

use std::{fs, path::Path};

use tempfile::TempDir;
use yare::parameterized;

use super::{
    Experiment, ExperimentFile, Spread, calibrate, kind_table, policy_table, run_all, surge_table,
    write_lines,
};
use crate::{report::read_lines, simulation::RunResult, workload::BundledWorkload};

const EXPERIMENT: &str = r#"
workload = "guild.toml"
tree = "tree.toml"
policies = ["courseshed", "prefix-affinity"]
loads = [0.8]
seeds = [11, 12]
calibration_seeds = [1]
duration = "30s"
warm_up = "5s"
drain = "60s"

[[engines]]
model = "quote-8b"
count = 2
zones = ["hobart"]

[[engines]]
model = "finance-70b"
count = 1
zones = ["hobart"]

[[surges]]
branch = "guild/lookups"
factor = 4.0
from_second = 5
until_second = 25
"#;

fn write_experiment(folder: &Path, text: &str) -> std::path::PathBuf {
    let tree = include_str!("../../../../deployments/guild/tree.toml");
    fs::write(folder.join("tree.toml"), tree).expect("written");
    fs::write(folder.join("guild.toml"), BundledWorkload::Guild.text()).expect("written");
    let path = folder.join("experiment.toml");
    fs::write(&path, text).expect("written");
    path
}

#[test]
fn a_small_experiment_runs_end_to_end() {
    let folder = TempDir::new().expect("a folder");
    let path = write_experiment(folder.path(), EXPERIMENT);
    let experiment = Experiment::load(&path).expect("an experiment");
    let calibration = calibrate(&experiment, 2).expect("a capacity");
    assert!(calibration.measured && calibration.programs_per_second > 0.5);
    let results = run_all(&experiment, calibration.programs_per_second, 2, || {}).expect("results");
    assert_eq!(results.len(), 2 * 2 * 2);
    assert!(results.iter().all(|result| result.completed() > 0));
    let tables = [
        policy_table(&results, false),
        policy_table(&results, true),
        kind_table(&results),
        surge_table(&results),
    ];
    for table in tables {
        let text = table.to_string();
        assert!(
            text.contains("courseshed") && text.contains("prefix-affinity"),
            "{text}"
        );
    }
    let lines = folder.path().join("results.jsonl");
    write_lines(&lines, &results).expect("written");
    let read = read_lines(&lines).expect("read");
    let key = |result: &RunResult| {
        (
            result.policy.clone(),
            result.seed,
            result.with_surges,
            result.calls,
        )
    };
    let keys = |results: &[RunResult]| results.iter().map(key).collect::<Vec<_>>();
    assert_eq!(keys(&read), keys(&results));
}

#[test]
fn threads_do_not_change_results() {
    let folder = TempDir::new().expect("a folder");
    let path = write_experiment(folder.path(), EXPERIMENT);
    let experiment = Experiment::load(&path).expect("an experiment");
    let one = run_all(&experiment, 4.0, 1, || {}).expect("results");
    let four = run_all(&experiment, 4.0, 4, || {}).expect("results");
    assert!(one == four, "results depend on threads");
}

#[parameterized(
    unknown_key = { "loads =", "load =", "unknown field `load`" },
    no_policy = { "\"courseshed\"", "\"best\"", "unknown variant `best`" },
    reported_calibration = { "calibration_seeds = [1]", "calibration_seeds = [11]", "seeds: a seed of calibration" },
    bad_load = { "loads = [0.8]", "loads = [-1.0]", "loads: must be parts of capacity" },
    bad_duration = { "\"30s\"", "\"30 parsecs\"", "is not a duration" },
    warm_up = { "warm_up = \"5s\"", "warm_up = \"5m\"", "warm_up: must be shorter than duration" },
    no_engines = { "count = 2", "count = 0", "engines: each group needs a count" },
)]
fn mistakes_are_named(from: &str, to: &str, expected: &str) {
    let folder = TempDir::new().expect("a folder");
    let path = write_experiment(folder.path(), &EXPERIMENT.replacen(from, to, 1));
    let error = ExperimentFile::load(&path)
        .expect_err("a mistake")
        .to_string();
    assert!(error.contains(expected), "{error}");
    assert!(error.contains("experiment.toml"), "{error}");
}

#[test]
fn a_missing_tree_is_named() {
    let folder = TempDir::new().expect("a folder");
    let path = write_experiment(
        folder.path(),
        &EXPERIMENT.replace("tree.toml", "other.toml"),
    );
    let error = Experiment::load(&path).expect_err("a mistake").to_string();
    assert!(error.contains("other.toml: can't be read"), "{error}");
}

#[parameterized(
    guild = { "guild.toml" },
    hokkaido = { "hokkaido.toml" },
    busy_season = { "busy-season.toml" },
    long_tail = { "long-tail.toml" },
)]
fn the_experiments_of_the_repository_load(name: &str) {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../experiments");
    let experiment = Experiment::load(&folder.join(name)).expect("an experiment");
    let run = experiment.runs()[0];
    experiment
        .scenario(&run, 1.0)
        .check()
        .expect("all fits together");
}

#[test]
fn a_spread_is_the_mean_and_the_deviation_of_the_sample() {
    let spread = Spread::of(&[1.0, 2.0, 3.0]);
    assert_eq!((spread.mean, spread.deviation), (2.0, 1.0));
    assert_eq!(Spread::of(&[4.0]).deviation, 0.0);
}
