//! Finds the restarts of many processes in log lines.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;

use super::lines::{Event, LogLine};

/// What counts as a restart of many processes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RestartRule {
    /// Longest time from one start to the next of the same restart, in milliseconds.
    pub(crate) gap_ms: u64,
    /// Smallest number of nodes that start.
    pub(crate) least_nodes: usize,
}

/// The nodes that started together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Restart {
    /// From the first start to the next restart, in Unix ms.
    pub(crate) span: Range<u64>,
    /// The role of each node and when it started last, in Unix ms.
    pub(crate) started: BTreeMap<String, (String, u64)>,
}

/// The number of nodes of which a rule may require half.
pub(crate) fn node_count(lines: &[LogLine]) -> usize {
    let nodes: BTreeSet<&str> = lines.iter().map(|line| line.node.as_str()).collect();
    nodes.len()
}

/// The restarts in lines that are ordered by time.
pub(crate) fn find(lines: &[LogLine], rule: RestartRule) -> Vec<Restart> {
    let mut groups: Vec<Vec<&LogLine>> = Vec::new();
    for line in lines {
        if line.event != Event::ProcessStarted {
            continue;
        }
        let previous = groups.last().and_then(|group| group.last());
        let belongs = previous.is_some_and(|start| line.at_ms - start.at_ms <= rule.gap_ms);
        match groups.last_mut() {
            Some(group) if belongs => group.push(line),
            _ => groups.push(vec![line]),
        }
    }
    let mut restarts: Vec<Restart> = groups.iter().map(|group| restart(group)).collect();
    restarts.retain(|restart| restart.started.len() >= rule.least_nodes.max(1));
    for index in 1..restarts.len() {
        restarts[index - 1].span.end = restarts[index].span.start;
    }
    restarts
}

fn restart(starts: &[&LogLine]) -> Restart {
    let began = starts.first().map_or(0, |start| start.at_ms);
    let started = starts
        .iter()
        .map(|line| (line.node.clone(), (line.role.clone(), line.at_ms)));
    Restart {
        span: began..u64::MAX,
        started: started.collect(),
    }
}
