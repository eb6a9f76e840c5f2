//! What a run of the hollow fleet cost, by role and mechanism.

use std::{collections::BTreeMap, time::Duration};

use courseshed_membership::relay_for;
use courseshed_types::{NodeId, Timestamp, control::MemberMap};
use serde::Serialize;

use super::{
    node::HollowNode,
    spread::SpreadTracker,
    traffic::{Mechanism, NodeRoleName, Totals},
    watch::PromiseWatch,
};

/// Percentiles of a time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct LatencySummary {
    /// Measurements.
    pub count: usize,
    /// Seconds, half of them at most.
    pub p50_seconds: f64,
    /// Seconds, 99 in 100 at most.
    pub p99_seconds: f64,
    /// The longest, seconds.
    pub max_seconds: f64,
}

impl LatencySummary {
    /// The percentiles of some times.
    pub fn of(times: impl IntoIterator<Item = Duration>) -> LatencySummary {
        let mut times: Vec<Duration> = times.into_iter().collect();
        times.sort_unstable();
        let at = |percent: usize| {
            let rank = (times.len() * percent).div_ceil(100).saturating_sub(1);
            times.get(rank).map_or(0.0, Duration::as_secs_f64)
        };
        LatencySummary {
            count: times.len(),
            p50_seconds: at(50),
            p99_seconds: at(99),
            max_seconds: at(100),
        }
    }
}

/// What one mechanism cost a node of a role on average.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct MechanismReport {
    /// The mechanism.
    pub mechanism: Mechanism,
    /// Bytes sent in a second.
    pub sent_bytes_per_second: f64,
    /// Bytes received in a second.
    pub received_bytes_per_second: f64,
    /// Messages sent and received in a second.
    pub messages_per_second: f64,
    /// Processor time, percent of a core.
    pub processor_percent: f64,
}

/// What control cost the nodes of one role.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RoleReport {
    /// The role.
    pub role: NodeRoleName,
    /// Nodes that have it at the end of the run.
    pub nodes: usize,
    /// Bytes sent and received in a second, on average over nodes.
    pub bytes_per_second: f64,
    /// The same of the node that has most.
    pub most_bytes_per_second: f64,
    /// The same of the node and minute that have most.
    pub busiest_minute_bytes_per_second: f64,
    /// Messages sent and received in a second, on average over nodes.
    pub messages_per_second: f64,
    /// Processor time, percent of a core, on average over nodes.
    pub processor_percent: f64,
    /// The same of the node that has most.
    pub most_processor_percent: f64,
    /// By mechanism, averages over nodes.
    pub mechanisms: Vec<MechanismReport>,
}

/// A run of the fleet.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct FleetReport {
    /// Nodes that run at the end.
    pub nodes: usize,
    /// Seconds counted.
    pub seconds: f64,
    /// By role.
    pub roles: Vec<RoleReport>,
    /// From accepted to in force on every node that serves and can be reached.
    pub in_force: LatencySummary,
    /// Versions accepted that are not in force everywhere at the end.
    pub unfinished: usize,
    /// From the end of a region's cut until all its nodes have what was in force then.
    pub catch_up: LatencySummary,
    /// Promises broken, as sentences.
    pub violations: Vec<String>,
}

impl FleetReport {
    pub(super) fn make<'a>(
        now: Timestamp,
        counted: Duration,
        nodes: impl Iterator<Item = &'a HollowNode>,
        spread: &SpreadTracker,
        watch: &PromiseWatch,
    ) -> FleetReport {
        let seconds = counted.as_secs_f64().max(f64::EPSILON);
        let serving: Vec<&HollowNode> = nodes.filter(|node| node.serves(now)).collect();
        let map = newest_map(&serving);
        let mut by_role: BTreeMap<NodeRoleName, Vec<&HollowNode>> = BTreeMap::new();
        for node in &serving {
            let role = role_of(node, now, map.as_ref());
            by_role.entry(role).or_default().push(node);
        }
        let took = spread.records().iter().filter_map(|record| record.took());
        let in_force = LatencySummary::of(took);
        FleetReport {
            nodes: serving.len(),
            seconds,
            roles: by_role
                .into_iter()
                .map(|(role, nodes)| role_report(role, &nodes, seconds))
                .collect(),
            in_force,
            unfinished: spread.records().len() - in_force.count,
            catch_up: LatencySummary::of(spread.catch_ups().iter().copied()),
            violations: watch.violations().iter().map(ToString::to_string).collect(),
        }
    }
}

fn newest_map(nodes: &[&HollowNode]) -> Option<MemberMap> {
    let newest = nodes.iter().map(|node| node.view.map());
    let newest = newest.max_by_key(|map| map.epoch)?;
    Some(MemberMap::clone(newest))
}

fn role_of(node: &HollowNode, now: Timestamp, map: Option<&MemberMap>) -> NodeRoleName {
    if let Some(controller) = &node.controller {
        return if controller.leads(now) {
            NodeRoleName::Leader
        } else {
            NodeRoleName::Follower
        };
    }
    let relay: Option<NodeId> = map.and_then(|map| relay_for(&node.member.zone, map));
    if relay == Some(node.id()) {
        NodeRoleName::Relay
    } else {
        NodeRoleName::Plain
    }
}

fn role_report(role: NodeRoleName, nodes: &[&HollowNode], seconds: f64) -> RoleReport {
    let count = nodes.len() as f64;
    let totals: Vec<Totals> = nodes.iter().map(|node| node.traffic.total()).collect();
    let mut sum = Totals::default();
    for total in &totals {
        sum.add(total);
    }
    let most_bytes = totals.iter().map(Totals::bytes).max().unwrap_or(0);
    let most_processor = totals.iter().map(|total| total.processor).max();
    let busiest = nodes.iter().map(|node| node.traffic.most_minute_bytes());
    let messages = sum.sent_messages + sum.received_messages;
    RoleReport {
        role,
        nodes: nodes.len(),
        bytes_per_second: sum.bytes() as f64 / count / seconds,
        most_bytes_per_second: most_bytes as f64 / seconds,
        busiest_minute_bytes_per_second: busiest.max().unwrap_or(0) as f64 / 60.0,
        messages_per_second: messages as f64 / count / seconds,
        processor_percent: percent(sum.processor, seconds) / count,
        most_processor_percent: percent(most_processor.unwrap_or_default(), seconds),
        mechanisms: mechanism_reports(nodes, seconds),
    }
}

fn mechanism_reports(nodes: &[&HollowNode], seconds: f64) -> Vec<MechanismReport> {
    let mut sums: BTreeMap<Mechanism, Totals> = BTreeMap::new();
    for node in nodes {
        for (mechanism, totals) in node.traffic.mechanisms() {
            sums.entry(mechanism).or_default().add(totals);
        }
    }
    let node_seconds = nodes.len() as f64 * seconds;
    let report = |(mechanism, totals): (Mechanism, Totals)| MechanismReport {
        mechanism,
        sent_bytes_per_second: totals.sent_bytes as f64 / node_seconds,
        received_bytes_per_second: totals.received_bytes as f64 / node_seconds,
        messages_per_second: (totals.sent_messages + totals.received_messages) as f64
            / node_seconds,
        processor_percent: percent(totals.processor, node_seconds),
    };
    sums.into_iter().map(report).collect()
}

fn percent(processor: Duration, seconds: f64) -> f64 {
    processor.as_secs_f64() / seconds * 100.0
}
