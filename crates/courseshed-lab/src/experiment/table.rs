//! Tables of results: means over seeds, with their spread.

use std::fmt;

use comfy_table::{Table, presets};

use crate::simulation::{KindResult, RunResult};

/// A mean over seeds and the sample's standard deviation.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Spread {
    /// The mean.
    pub mean: f64,
    /// The standard deviation; 0 for one value.
    pub deviation: f64,
}

impl Spread {
    /// Of some values.
    pub fn of(values: &[f64]) -> Spread {
        let count = values.len() as f64;
        let mean = values.iter().sum::<f64>() / count.max(1.0);
        let squares: f64 = values.iter().map(|value| (value - mean).powi(2)).sum();
        let deviation = (squares / (count - 1.0).max(1.0)).sqrt();
        Spread { mean, deviation }
    }

    fn scaled(self, factor: f64) -> Spread {
        Spread {
            mean: self.mean * factor,
            deviation: self.deviation * factor,
        }
    }
}

impl fmt::Display for Spread {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let digits = match self.mean.abs() {
            mean if mean >= 100.0 => 0,
            mean if mean >= 10.0 => 1,
            _ => 2,
        };
        write!(
            formatter,
            "{:.digits$} ±{:.digits$}",
            self.mean, self.deviation
        )
    }
}

/// The runs of one policy at one load, over all seeds.
pub(crate) struct Group<'r> {
    pub(crate) policy: &'r str,
    pub(crate) load: f64,
    pub(crate) runs: Vec<&'r RunResult>,
}

impl Group<'_> {
    fn spread(&self, measure: impl Fn(&RunResult) -> f64) -> Spread {
        let values: Vec<f64> = self.runs.iter().map(|run| measure(run)).collect();
        Spread::of(&values)
    }
}

/// Groups runs by load and policy, in the order of the runs; surges count as runs of their own.
pub(crate) fn groups(results: &[RunResult], with_surges: bool) -> Vec<Group<'_>> {
    let mut groups: Vec<Group<'_>> = Vec::new();
    for run in results.iter().filter(|run| run.with_surges == with_surges) {
        let found = groups
            .iter_mut()
            .find(|group| group.policy == run.policy && group.load == run.load);
        match found {
            Some(group) => group.runs.push(run),
            None => groups.push(Group {
                policy: &run.policy,
                load: run.load,
                runs: vec![run],
            }),
        }
    }
    groups.sort_by(|left, right| left.load.total_cmp(&right.load));
    groups
}

/// Policy by load: both users' measures.
pub fn policy_table(results: &[RunResult], with_surges: bool) -> Table {
    let mut table = new_table(&[
        "load",
        "policy",
        "worth within aim %",
        "p50 s",
        "p95 s",
        "p99 s",
        "wasted cache %",
        "wasted tokens/program",
        "of it evicted+moved",
        "share drift %",
        "refused %",
        "first token p95 s",
    ]);
    for group in groups(results, with_surges) {
        table.add_row(vec![
            format!("{:.0}%", group.load * 100.0),
            group.policy.to_string(),
            group
                .spread(RunResult::worth_within_aim)
                .scaled(100.0)
                .to_string(),
            group.spread(|run| run.latency.p50).to_string(),
            group.spread(|run| run.latency.p95).to_string(),
            group.spread(|run| run.latency.p99).to_string(),
            group
                .spread(RunResult::waste_part)
                .scaled(100.0)
                .to_string(),
            group
                .spread(|run| run.waste_per_completion(|row| row.total()))
                .to_string(),
            group
                .spread(|run| run.waste_per_completion(|row| row.evicted + row.moved))
                .to_string(),
            group
                .spread(|run| run.share_drift)
                .scaled(100.0)
                .to_string(),
            group
                .spread(RunResult::refused_part)
                .scaled(100.0)
                .to_string(),
            group.spread(|run| run.first_token.p95).to_string(),
        ]);
    }
    table
}

/// Policy by load and kind of program.
pub fn kind_table(results: &[RunResult]) -> Table {
    let mut table = new_table(&[
        "load",
        "policy",
        "kind",
        "within aim %",
        "p50 s",
        "p95 s",
        "p99 s",
    ]);
    for group in groups(results, false) {
        for kind in kinds_of(&group) {
            let rows = |run: &RunResult| -> Vec<KindResult> {
                let of_kind = run.kinds.iter().filter(|row| row.kind == kind);
                of_kind.cloned().collect()
            };
            let within = group.spread(|run| {
                let rows = rows(run);
                let within: u64 = rows.iter().map(|row| row.within_aim).sum();
                let arrived: u64 = rows.iter().map(|row| row.arrived).sum();
                within as f64 / arrived.max(1) as f64
            });
            let latency = |pick: fn(&KindResult) -> f64| {
                group.spread(|run| {
                    let rows = rows(run);
                    let weight: u64 = rows.iter().map(|row| row.latency.count).sum();
                    let sum: f64 = rows
                        .iter()
                        .map(|row| pick(row) * row.latency.count as f64)
                        .sum();
                    sum / weight.max(1) as f64
                })
            };
            table.add_row(vec![
                format!("{:.0}%", group.load * 100.0),
                group.policy.to_string(),
                kind.clone(),
                within.scaled(100.0).to_string(),
                latency(|row| row.latency.p50).to_string(),
                latency(|row| row.latency.p95).to_string(),
                latency(|row| row.latency.p99).to_string(),
            ]);
        }
    }
    table
}

/// What a surge does to each top branch: p95 program latency with it over that without it, seed by seed.
pub fn surge_table(results: &[RunResult]) -> Table {
    let mut table = new_table(&[
        "load",
        "policy",
        "branch",
        "p95 s without",
        "p95 s with",
        "ratio",
    ]);
    let surged = groups(results, true);
    for (calm, busy) in groups(results, false).iter().zip(&surged) {
        let branches = calm.runs.first().map(|run| run.branches.keys());
        for branch in branches.into_iter().flatten() {
            let p95 = |run: &RunResult| run.branches.get(branch).map_or(0.0, |latency| latency.p95);
            let pairs = calm.runs.iter().zip(&busy.runs);
            let ratios: Vec<f64> = pairs.map(|(calm, busy)| p95(busy) / p95(calm)).collect();
            table.add_row(vec![
                format!("{:.0}%", calm.load * 100.0),
                calm.policy.to_string(),
                branch.clone(),
                calm.spread(p95).to_string(),
                busy.spread(p95).to_string(),
                Spread::of(&ratios).to_string(),
            ]);
        }
    }
    table
}

fn kinds_of(group: &Group<'_>) -> Vec<String> {
    let mut kinds: Vec<String> = Vec::new();
    for row in group.runs.iter().flat_map(|run| &run.kinds) {
        if !kinds.contains(&row.kind) {
            kinds.push(row.kind.clone());
        }
    }
    kinds
}

fn new_table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_style(presets::ASCII_MARKDOWN);
    table.set_header(header.to_vec());
    table
}
