//! When the milestones of recovery were reached after a restart.

use std::collections::BTreeMap;

use serde::Serialize;

use super::lines::{Event, LogLine};
use super::restart::Restart;

/// Part of the usual rate of answers at which service counts as restored.
const USUAL_SHARE: f64 = 0.9;
/// Width of the window whose answers are compared with the usual rate, and its step.
const RATE_WINDOW_MS: u64 = 1_000;
const RATE_STEP_MS: u64 = 100;
/// Time before the restart in which the usual rate is measured.
const USUAL_SPAN_MS: u64 = 30_000;
/// Differences in time below this are no sign of clocks that differ: a message may be sent before
/// the line about its cause is written.
const CLOCK_TOLERANCE_MS: u64 = 100;
/// Statuses that promise that the request has not run and may be sent again.
const REFUSED: [u16; 4] = [408, 421, 429, 503];
const CONTROLLER: &str = "controller";
const GATEWAY: &str = "gateway";

/// A milestone, with times in milliseconds since the first start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct Milestone {
    pub(crate) milestone: &'static str,
    /// Nodes (or partitions) that reached it.
    pub(crate) reached: usize,
    /// Nodes that started and should reach it, if known.
    pub(crate) of: Option<usize>,
    pub(crate) first_ms: Option<u64>,
    pub(crate) median_ms: Option<u64>,
    pub(crate) last_ms: Option<u64>,
}

/// Refusals of one reason in one second after the first start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct Refusals {
    pub(crate) second: u64,
    pub(crate) reason: String,
    pub(crate) count: u64,
}

/// What happened after one restart.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct RestartTimeline {
    /// The first start, in Unix ms.
    pub(crate) began_ms: u64,
    pub(crate) milestones: Vec<Milestone>,
    /// Answers per second before the restart; none if the lines don't tell.
    pub(crate) usual_answers_per_s: Option<f64>,
    pub(crate) refusals: Vec<Refusals>,
    /// Nodes whose lines precede their causes, so that their times can't be compared.
    pub(crate) clock_differences: Vec<String>,
}

/// The timeline of a restart, from lines that are ordered by time.
pub(crate) fn timeline(lines: &[LogLine], restart: &Restart) -> RestartTimeline {
    let from = lines.partition_point(|line| line.at_ms < restart.span.start);
    let to = lines.partition_point(|line| line.at_ms < restart.span.end);
    let after = After {
        restart,
        lines: &lines[from..to],
    };
    let usual = usual_rate(&lines[..from]);
    let mut milestones = after.of_processes();
    milestones.extend(after.of_service());
    milestones.push(after.usual_answers(usual));
    RestartTimeline {
        began_ms: restart.span.start,
        milestones,
        usual_answers_per_s: usual,
        refusals: after.refusals(),
        clock_differences: after.clock_differences(),
    }
}

/// The lines after a restart.
struct After<'a> {
    restart: &'a Restart,
    lines: &'a [LogLine],
}

impl After<'_> {
    fn of_processes(&self) -> Vec<Milestone> {
        let mut roles: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
        for (role, at_ms) in self.restart.started.values() {
            roles.entry(role).or_default().push(*at_ms);
        }
        let started: Vec<u64> = roles.values().flatten().copied().collect();
        let all = Some(started.len());
        let gateways = roles.get(GATEWAY).map_or(0, Vec::len);
        let controllers = roles.get(CONTROLLER).map_or(0, Vec::len);
        let stores = roles.get("store").map_or(0, Vec::len);
        vec![
            self.milestone("processes up", started, all),
            self.first_by_node("stores open", stores, |line| {
                line.event == Event::StoreOpened
            }),
            self.first_by_node("controllers open", controllers, |line| {
                line.event == Event::ReplicaOpened
            }),
            self.first("leader elected", |event| {
                matches!(event, Event::RoleChanged { leads: true, .. })
            }),
            self.first_by_node("routing table at gateways", gateways, is_table_at_gateway),
        ]
    }

    fn of_service(&self) -> Vec<Milestone> {
        let mut partitions: BTreeMap<u64, u64> = BTreeMap::new();
        for line in self.lines {
            if let Event::QuorumAnswered { partition } = line.event {
                partitions.entry(partition).or_insert(line.at_ms);
            }
        }
        let partitions = partitions.into_values().collect();
        let answers: Vec<u64> = self.answers().into_iter().take(1).collect();
        vec![
            self.first("owner of permits", |event| *event == Event::PermitsOwned),
            self.first("first grant of permits", |event| {
                *event == Event::PermitsGranted
            }),
            self.milestone("partitions with a quorum", partitions, None),
            self.first_by_node("first call sent", 0, |line| line.event == Event::CallSent),
            self.milestone("first answer", answers, None),
        ]
    }

    /// The first window whose answers are as many as usual; its begin counts.
    fn usual_answers(&self, usual: Option<f64>) -> Milestone {
        let name = "usual number of answers";
        let answers = self.answers();
        let (Some(usual), Some(last)) = (usual, answers.last()) else {
            return self.milestone(name, Vec::new(), None);
        };
        let wanted = usual * USUAL_SHARE * RATE_WINDOW_MS as f64 / 1_000.0;
        let steps = (self.restart.span.start..=*last).step_by(RATE_STEP_MS as usize);
        let reached = steps.into_iter().find(|from| {
            let count = count_within(&answers, *from, *from + RATE_WINDOW_MS);
            count as f64 >= wanted
        });
        self.milestone(name, reached.into_iter().collect(), None)
    }

    fn refusals(&self) -> Vec<Refusals> {
        let mut counts: BTreeMap<(u64, &str), u64> = BTreeMap::new();
        for line in self.lines {
            if let Event::CallOver { outcome, status } = &line.event
                && REFUSED.contains(status)
            {
                let second = (line.at_ms - self.restart.span.start) / 1_000;
                *counts.entry((second, outcome)).or_default() += 1;
            }
        }
        let refusals = counts.into_iter();
        refusals
            .map(|((second, reason), count)| Refusals {
                second,
                reason: reason.to_owned(),
                count,
            })
            .collect()
    }

    fn clock_differences(&self) -> Vec<String> {
        let mut differences = self.followers_before_leaders();
        differences.extend(self.tables_before_controllers());
        differences
    }

    /// Controllers that follow a leader before it was elected.
    fn followers_before_leaders(&self) -> Vec<String> {
        let mut leaders: BTreeMap<u64, &LogLine> = BTreeMap::new();
        for line in self.lines {
            if let Event::RoleChanged {
                leads: true, term, ..
            } = line.event
            {
                leaders.entry(term).or_insert(line);
            }
        }
        let mut differences: BTreeMap<(&str, &str), u64> = BTreeMap::new();
        for line in self.lines {
            if let Event::RoleChanged {
                leads: false,
                term,
                leader: 1..,
            } = line.event
                && let Some(elected) = leaders.get(&term)
                && line.at_ms + CLOCK_TOLERANCE_MS < elected.at_ms
            {
                let by = elected.at_ms - line.at_ms;
                let most = differences.entry((&line.node, &elected.node)).or_default();
                *most = by.max(*most);
            }
        }
        let lines = differences.into_iter();
        lines
            .map(|((follower, leader), by)| {
                format!("{follower} follows {leader} {by} ms before its election")
            })
            .collect()
    }

    /// Gateways that have a routing table before any controller is open, if all of them restarted.
    fn tables_before_controllers(&self) -> Vec<String> {
        let controllers = self.lines.iter().filter(|line| line.role == CONTROLLER);
        let mut controllers = controllers.map(|line| &line.node);
        if !controllers.all(|node| self.restart.started.contains_key(node)) {
            return Vec::new();
        }
        let opened = self.times_by_node(|line| line.event == Event::ReplicaOpened);
        let Some(opened) = opened.values().min() else {
            return Vec::new();
        };
        let tables = self.times_by_node(is_table_at_gateway);
        let early = tables
            .into_iter()
            .filter(|(_, at_ms)| at_ms + CLOCK_TOLERANCE_MS < *opened);
        early
            .map(|(node, at_ms)| {
                let by = opened - at_ms;
                format!("{node} has a routing table {by} ms before any controller is open")
            })
            .collect()
    }

    fn answers(&self) -> Vec<u64> {
        answers(self.lines)
    }

    /// When the first event of a kind came, at any node.
    fn first(&self, name: &'static str, is_it: impl Fn(&Event) -> bool) -> Milestone {
        let found = self.lines.iter().find(|line| is_it(&line.event));
        let times = found.map(|line| line.at_ms).into_iter().collect();
        self.milestone(name, times, None)
    }

    /// When the first event of a kind came at each node that started.
    fn first_by_node(
        &self,
        name: &'static str,
        of: usize,
        is_it: impl Fn(&LogLine) -> bool,
    ) -> Milestone {
        let times = self.times_by_node(is_it).into_values().collect();
        self.milestone(name, times, (of > 0).then_some(of))
    }

    /// Only what follows the last start of a node counts: an earlier process may have reached the
    /// milestone and died.
    fn times_by_node(&self, is_it: impl Fn(&LogLine) -> bool) -> BTreeMap<&str, u64> {
        let mut times = BTreeMap::new();
        for line in self.lines {
            let started = self.restart.started.get(&line.node);
            if started.is_some_and(|(_, at_ms)| *at_ms <= line.at_ms) && is_it(line) {
                times.entry(line.node.as_str()).or_insert(line.at_ms);
            }
        }
        times
    }

    fn milestone(
        &self,
        milestone: &'static str,
        mut times: Vec<u64>,
        of: Option<usize>,
    ) -> Milestone {
        times.sort_unstable();
        let since = |at_ms: &u64| at_ms - self.restart.span.start;
        Milestone {
            milestone,
            reached: times.len(),
            of,
            first_ms: times.first().map(since),
            median_ms: times.get(times.len() / 2).map(since),
            last_ms: times.last().map(since),
        }
    }
}

/// Stores and controllers follow the routing table too.
fn is_table_at_gateway(line: &LogLine) -> bool {
    line.role == GATEWAY && line.event == Event::RoutingInForce
}

/// Times of successful answers, in order.
fn answers(lines: &[LogLine]) -> Vec<u64> {
    let answers = lines.iter().filter_map(|line| match &line.event {
        Event::CallOver {
            outcome,
            status: 200..300,
        } if outcome == "answered" => Some(line.at_ms),
        _ => None,
    });
    answers.collect()
}

/// Answers per second in the time before a restart.
fn usual_rate(lines: &[LogLine]) -> Option<f64> {
    let answers = answers(lines);
    // The time without processes does not count.
    let end = *answers.last()?;
    let begin = (*answers.first()?).max(end.saturating_sub(USUAL_SPAN_MS));
    let span = end - begin;
    if span < RATE_WINDOW_MS {
        return None;
    }
    Some(count_within(&answers, begin, end) as f64 * 1_000.0 / span as f64)
}

/// How many of ordered times are in a span.
fn count_within(times: &[u64], from: u64, to: u64) -> usize {
    let before = times.partition_point(|at_ms| *at_ms < from);
    let until = times.partition_point(|at_ms| *at_ms < to);
    until - before
}
