//! A timeline as text.

use super::Timeline;
use super::milestones::{Milestone, RestartTimeline};
use crate::output::{Readable, date, or_dash, table};

impl Readable for Timeline {
    fn readable(&self) -> String {
        let mut parts: Vec<String> = self.restarts.iter().map(restart).collect();
        if parts.is_empty() {
            parts.push(format!(
                "no restart: of {} nodes at most {} started together",
                self.nodes, self.most_started_together
            ));
        }
        parts.extend(self.remarks());
        parts.join("\n\n")
    }
}

impl Timeline {
    /// What lessens the trust in the figures.
    fn remarks(&self) -> Option<String> {
        let mut remarks = Vec::new();
        if self.dropped_lines > 0 {
            remarks.push(format!(
                "{} lines were dropped by the daemons; counts are too low",
                self.dropped_lines
            ));
        }
        for (node, by) in &self.steps_back_ms {
            remarks.push(format!(
                "lines of {node} are out of order by up to {by} ms, or its clock was set back"
            ));
        }
        if self.invalid_lines > 0 {
            remarks.push(format!("{} invalid lines:", self.invalid_lines));
        }
        for invalid in &self.invalid {
            let reason = &invalid.reason;
            remarks.push(format!("  {}:{}: {reason}", invalid.file, invalid.line));
        }
        if self.invalid_lines > self.invalid.len() {
            remarks.push("  ...".to_owned());
        }
        (!remarks.is_empty()).then(|| remarks.join("\n"))
    }
}

fn restart(restart: &RestartTimeline) -> String {
    let header = ["milestone", "reached", "first", "median", "last"];
    let rows = restart.milestones.iter().map(row);
    let mut text = format!(
        "restart at {}\n{}",
        date(restart.began_ms),
        table(header, rows)
    );
    match restart.usual_answers_per_s {
        Some(rate) => text.push_str(&format!("\nusual answers per second: {rate:.1}")),
        None => text.push_str("\nusual answers per second: unknown, no answers before the restart"),
    }
    if !restart.refusals.is_empty() {
        let rows = restart.refusals.iter().map(|refusals| {
            [
                refusals.second.to_string(),
                refusals.reason.clone(),
                refusals.count.to_string(),
            ]
        });
        text.push_str("\n\n");
        text.push_str(&table(["second", "refusal", "count"], rows));
    }
    for difference in &restart.clock_differences {
        text.push_str(&format!("\nclocks differ: {difference}"));
    }
    text
}

fn row(milestone: &Milestone) -> [String; 5] {
    let reached = match milestone.of {
        Some(of) => format!("{}/{of}", milestone.reached),
        None => milestone.reached.to_string(),
    };
    let seconds = |ms: Option<u64>| or_dash(ms.map(|ms| format!("{:.3}", ms as f64 / 1_000.0)));
    [
        milestone.milestone.to_owned(),
        reached,
        seconds(milestone.first_ms),
        seconds(milestone.median_ms),
        seconds(milestone.last_ms),
    ]
}
