//! What each figure of the page shows, drawn from results.

use crate::{
    experiment::{Group, Spread, groups},
    simulation::{RunResult, WasteRow},
};

use super::plots::{Bar, BarGroup, BarPlot, Line, LinePlot, PlotError, draw_bars, draw_lines};

/// A figure with what its colours mean.
#[derive(Debug, Clone)]
pub(super) struct Figure {
    pub(super) title: String,
    pub(super) svg: String,
    /// Names in the order of the palette.
    pub(super) legend: Vec<String>,
    pub(super) note: &'static str,
}

/// A cause of waste and where it stands in a row.
type Cause = (&'static str, fn(&WasteRow) -> u64);

/// Causes of waste.
const CAUSES: [Cause; 4] = [
    ("evicted while the program lived", |row| row.evicted),
    ("left behind by a move", |row| row.moved),
    ("left by ended programs", |row| row.abandoned),
    ("lost with an engine", |row| row.engine_lost),
];
/// Most branches drawn in one figure.
const MAX_BRANCHES: usize = 8;

/// All figures.
pub(super) fn figures(results: &[RunResult]) -> Result<Vec<Figure>, PlotError> {
    let calm = groups(results, false);
    let policies = policies_of(&calm);
    let mut figures = vec![completions(&calm, &policies)?, waste_by_cause(&calm)?];
    for load in loads_of(&calm) {
        let at_load: Vec<&Group<'_>> = calm.iter().filter(|group| group.load == load).collect();
        figures.push(latency(&at_load, &policies, load)?);
    }
    let highest = loads_of(&calm).last().copied().unwrap_or(1.0);
    let full: Vec<&Group<'_>> = calm.iter().filter(|group| group.load == highest).collect();
    figures.push(waste_by_branch(&full, highest)?);
    let surged = groups(results, true);
    let shown = if surged.is_empty() { &calm } else { &surged };
    for group in shown.iter().filter(|group| group.load == highest) {
        figures.push(shares(group)?);
    }
    for model in models_of(&full) {
        figures.push(occupancy(&full, &policies, &model, highest)?);
    }
    Ok(figures)
}

fn completions(groups: &[Group<'_>], policies: &[String]) -> Result<Figure, PlotError> {
    let bars = by_load(groups, |group| {
        let spread = spread_of(group, RunResult::worth_within_aim);
        vec![Bar {
            colour: place(policies, group.policy),
            value: spread.mean * 100.0,
            deviation: spread.deviation * 100.0,
        }]
    });
    Ok(Figure {
        title: "Completions within their aim, weighted by worth".to_string(),
        svg: draw_bars(&BarPlot {
            y_label: "% of the worth that arrived",
            groups: bars,
        })?,
        legend: policies.to_vec(),
        note: "Bars: mean over seeds; whiskers: standard deviation.",
    })
}

fn waste_by_cause(groups: &[Group<'_>]) -> Result<Figure, PlotError> {
    let bars = by_load(groups, |group| {
        let causes = CAUSES.iter().enumerate().map(|(colour, (_, cause))| Bar {
            colour,
            value: spread_of(group, |run| run.waste_per_completion(cause)).mean,
            deviation: 0.0,
        });
        causes.collect()
    });
    let names = CAUSES.iter().map(|(name, _)| name.to_string());
    Ok(Figure {
        title: "Wasted cache by cause".to_string(),
        svg: draw_bars(&BarPlot {
            y_label: "tokens per completed program",
            groups: bars,
        })?,
        legend: names.collect(),
        note: "In each group the policies stand in the order of the table. Tokens filled and never reused.",
    })
}

fn waste_by_branch(groups: &[&Group<'_>], load: f64) -> Result<Figure, PlotError> {
    let all = branches_of(groups, |run| {
        run.waste.iter().map(|row| row.branch.clone()).collect()
    });
    let tops = distinct(all.iter().map(|branch| first_segment(branch)));
    let branches = distinct(all.iter().map(|branch| top_of(branch, &tops)));
    let bars = groups.iter().map(|group| {
        let pieces = branches.iter().enumerate().map(|(colour, branch)| {
            let of_branch = |row: &WasteRow| match top_of(&row.branch, &tops) == *branch {
                true => row.total(),
                false => 0,
            };
            Bar {
                colour,
                value: spread_of(group, |run| run.waste_per_completion(of_branch)).mean,
                deviation: 0.0,
            }
        });
        BarGroup {
            label: group.policy.to_string(),
            stacks: vec![pieces.collect()],
        }
    });
    Ok(Figure {
        title: format!("Wasted cache by branch at {:.0} % load", load * 100.0),
        svg: draw_bars(&BarPlot {
            y_label: "tokens per completed program",
            groups: bars.collect(),
        })?,
        legend: branches,
        note: "Charged to the branch whose program filled the memory.",
    })
}

fn latency(groups: &[&Group<'_>], policies: &[String], load: f64) -> Result<Figure, PlotError> {
    let lines = groups.iter().map(|group| Line {
        colour: place(policies, group.policy),
        is_dashed: false,
        points: mean_curve(group),
    });
    Ok(Figure {
        title: format!("Program latency at {:.0} % load", load * 100.0),
        svg: draw_lines(&LinePlot {
            x_label: "seconds from first call to last answer",
            y_label: "part of programs",
            has_log_x: true,
            most_y: 1.0,
            lines: lines.collect(),
        })?,
        legend: policies.to_vec(),
        note: "Completed programs of all kinds; quantiles averaged over seeds.",
    })
}

fn shares(group: &Group<'_>) -> Result<Figure, PlotError> {
    let run = group.runs[0];
    let model = run.share_windows.first().map(|window| window.model.clone());
    let windows: Vec<_> = run
        .share_windows
        .iter()
        .filter(|window| Some(&window.model) == model.as_ref())
        .collect();
    let mut branches: Vec<String> = Vec::new();
    for row in windows.iter().flat_map(|window| &window.rows) {
        let top = top_of(&row.branch, &windows_tops(&windows));
        if !branches.contains(&top) {
            branches.push(top);
        }
    }
    branches.sort();
    branches.truncate(MAX_BRANCHES);
    let mut lines = Vec::new();
    for (colour, branch) in branches.iter().enumerate() {
        for is_dashed in [false, true] {
            let points = windows.iter().map(|window| {
                let total: u64 = window.rows.iter().map(|row| row.served).sum();
                let within = window.rows.iter().filter(|row| {
                    row.branch == *branch || row.branch.starts_with(&format!("{branch}/"))
                });
                let units: f64 = within
                    .map(|row| {
                        if is_dashed {
                            row.fair
                        } else {
                            row.served as f64
                        }
                    })
                    .sum();
                (window.second as f64, 100.0 * units / total.max(1) as f64)
            });
            lines.push(Line {
                colour,
                is_dashed,
                points: points.collect(),
            });
        }
    }
    let most = lines
        .iter()
        .flat_map(|line| &line.points)
        .map(|point| point.1);
    let most_y = most.fold(10.0, f64::max).min(100.0);
    Ok(Figure {
        title: format!(
            "Service over time under {} at {:.0} % load",
            group.policy,
            group.load * 100.0
        ),
        svg: draw_lines(&LinePlot {
            x_label: "second of the run",
            y_label: "% of the pool's service",
            has_log_x: false,
            most_y,
            lines,
        })?,
        legend: branches,
        note: "Solid: what a branch got; dashed: what the tree grants of it. First seed, first model.",
    })
}

fn occupancy(
    groups: &[&Group<'_>],
    policies: &[String],
    model: &str,
    load: f64,
) -> Result<Figure, PlotError> {
    let lines = groups.iter().map(|group| {
        let samples = group.runs[0]
            .occupancy
            .iter()
            .filter(|sample| sample.model == model);
        Line {
            colour: place(policies, group.policy),
            is_dashed: false,
            points: samples
                .map(|sample| (sample.second as f64, sample.batch * 100.0))
                .collect(),
        }
    });
    Ok(Figure {
        title: format!("Batches in use, {model}, at {:.0} % load", load * 100.0),
        svg: draw_lines(&LinePlot {
            x_label: "second of the run",
            y_label: "% of slots",
            has_log_x: false,
            most_y: 100.0,
            lines: lines.collect(),
        })?,
        legend: policies.to_vec(),
        note: "First seed; arrivals stop before the end.",
    })
}

fn by_load(groups: &[Group<'_>], bars: impl Fn(&Group<'_>) -> Vec<Bar>) -> Vec<BarGroup> {
    let of_load = |load: f64| BarGroup {
        label: format!("{:.0} % load", load * 100.0),
        stacks: groups
            .iter()
            .filter(|group| group.load == load)
            .map(&bars)
            .collect(),
    };
    loads_of(groups).into_iter().map(of_load).collect()
}

fn mean_curve(group: &Group<'_>) -> Vec<(f64, f64)> {
    let curves: Vec<&Vec<f64>> = group
        .runs
        .iter()
        .map(|run| &run.latency.curve)
        .filter(|curve| !curve.is_empty())
        .collect();
    let points = curves.iter().map(|curve| curve.len()).min().unwrap_or(0);
    let at = |index: usize| {
        let sum: f64 = curves.iter().map(|curve| curve[index]).sum();
        let quantile = index as f64 / (points - 1).max(1) as f64;
        (sum / curves.len() as f64, quantile)
    };
    (0..points).map(at).collect()
}

fn spread_of(group: &Group<'_>, measure: impl Fn(&RunResult) -> f64) -> Spread {
    let values: Vec<f64> = group.runs.iter().map(|run| measure(run)).collect();
    Spread::of(&values)
}

fn place(names: &[String], name: &str) -> usize {
    names.iter().position(|other| other == name).unwrap_or(0)
}

fn policies_of(groups: &[Group<'_>]) -> Vec<String> {
    distinct(groups.iter().map(|group| group.policy.to_string()))
}

fn models_of(groups: &[&Group<'_>]) -> Vec<String> {
    let runs = groups.iter().flat_map(|group| &group.runs);
    distinct(runs.flat_map(|run| run.engines.iter().map(|engine| engine.model.clone())))
}

fn branches_of(groups: &[&Group<'_>], names: impl Fn(&RunResult) -> Vec<String>) -> Vec<String> {
    let runs = groups.iter().flat_map(|group| &group.runs);
    let mut branches = distinct(runs.flat_map(|run| names(run)));
    branches.sort();
    branches
}

fn loads_of(groups: &[Group<'_>]) -> Vec<f64> {
    let mut loads: Vec<f64> = groups.iter().map(|group| group.load).collect();
    loads.dedup();
    loads
}

fn distinct(names: impl Iterator<Item = String>) -> Vec<String> {
    let mut found: Vec<String> = Vec::new();
    for name in names {
        if !found.contains(&name) {
            found.push(name);
        }
    }
    found
}

/// The first segments of all branches.
fn windows_tops(windows: &[&crate::simulation::ShareWindow]) -> Vec<String> {
    let rows = windows.iter().flat_map(|window| &window.rows);
    distinct(rows.map(|row| first_segment(&row.branch)))
}

/// The branch a line is drawn for: its first segment, or all of it where there is only one first segment.
fn top_of(branch: &str, tops: &[String]) -> String {
    match tops.len() {
        0 | 1 => branch.to_string(),
        _ => first_segment(branch),
    }
}

fn first_segment(branch: &str) -> String {
    branch.split('/').next().unwrap_or_default().to_string()
}
