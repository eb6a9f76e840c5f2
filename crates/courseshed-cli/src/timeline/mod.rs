//! When a fleet was back after a restart, from the log lines of its daemons.
//!
//! Times of different nodes are compared by their own clocks. Lines may be cut short, out of order
//! or of several starts of a node.

mod lines;
mod milestones;
mod report;
mod restart;

use std::collections::BTreeMap;

use serde::Serialize;

use lines::{LogLine, Parsed};
use milestones::RestartTimeline;
pub(crate) use restart::RestartRule;

/// Number of invalid lines that are named.
const NAMED_LINES: usize = 10;

/// The lines of all files.
#[derive(Debug, Default)]
pub(crate) struct LogLines {
    lines: Vec<LogLine>,
    dropped: u64,
    invalid: Vec<InvalidLine>,
    invalid_count: usize,
    /// The largest step back between two lines of a node in a file, in milliseconds.
    steps_back: BTreeMap<String, u64>,
}

/// A line that is no log line.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct InvalidLine {
    file: String,
    line: usize,
    reason: String,
}

/// What the lines tell.
#[derive(Debug, Serialize)]
pub(crate) struct Timeline {
    restarts: Vec<RestartTimeline>,
    /// Nodes that wrote lines.
    nodes: usize,
    /// The largest number of nodes that started together.
    most_started_together: usize,
    invalid_lines: usize,
    /// The first invalid lines.
    invalid: Vec<InvalidLine>,
    /// Lines that the daemons dropped, by their own count.
    dropped_lines: u64,
    /// Nodes with lines that are older than the line before, and by how many milliseconds.
    steps_back_ms: BTreeMap<String, u64>,
}

impl LogLines {
    /// Adds the text of a file. The last line may lack its end.
    pub(crate) fn add(&mut self, file: &str, text: &[u8]) {
        let mut latest: BTreeMap<String, u64> = BTreeMap::new();
        for (number, line) in (1..).zip(text.split(|byte| *byte == b'\n')) {
            match lines::parse(&String::from_utf8_lossy(line)) {
                Ok(Parsed::Line(line)) => {
                    self.note_step_back(&mut latest, &line);
                    self.lines.push(line);
                }
                Ok(Parsed::Dropped { count }) => self.dropped += count,
                Ok(Parsed::Ignored) => {}
                Err(reason) => self.note_invalid(file, number, reason),
            }
        }
    }

    fn note_step_back(&mut self, latest: &mut BTreeMap<String, u64>, line: &LogLine) {
        let Some(latest) = latest.get_mut(&line.node) else {
            latest.insert(line.node.clone(), line.at_ms);
            return;
        };
        if line.at_ms < *latest {
            let by = *latest - line.at_ms;
            let most = self.steps_back.entry(line.node.clone()).or_default();
            *most = by.max(*most);
        }
        *latest = line.at_ms.max(*latest);
    }

    fn note_invalid(&mut self, file: &str, line: usize, reason: String) {
        self.invalid_count += 1;
        if self.invalid.len() < NAMED_LINES {
            self.invalid.push(InvalidLine {
                file: file.to_owned(),
                line,
                reason,
            });
        }
    }

    /// The timeline of each restart of many processes. By default these are those of at least half
    /// of the nodes.
    pub(crate) fn timeline(mut self, gap_ms: u64, least_nodes: Option<usize>) -> Timeline {
        self.lines.sort_by_key(|line| line.at_ms);
        let nodes = restart::node_count(&self.lines);
        let least_nodes = least_nodes.unwrap_or(nodes.div_ceil(2));
        let any = RestartRule {
            gap_ms,
            least_nodes: 1,
        };
        let groups = restart::find(&self.lines, any);
        let most = groups.iter().map(|group| group.started.len()).max();
        let rule = RestartRule {
            gap_ms,
            least_nodes,
        };
        let restarts = restart::find(&self.lines, rule);
        let restarts = restarts.iter();
        Timeline {
            restarts: restarts
                .map(|restart| milestones::timeline(&self.lines, restart))
                .collect(),
            nodes,
            most_started_together: most.unwrap_or(0),
            invalid_lines: self.invalid_count,
            invalid: self.invalid,
            dropped_lines: self.dropped,
            steps_back_ms: self.steps_back,
        }
    }
}
