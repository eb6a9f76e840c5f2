//! One run of a fleet: warm it up, let its time pass, say what it cost.

use std::time::Duration;

use courseshed_control::hollow::{FleetReport, HollowFleet, HollowOptions};
use courseshed_types::control::ControlRequest;
use serde::Serialize;

use super::{
    cpu,
    day::{Agenda, DayPlan, nth_change},
    memory,
};

/// Nodes of a zone in a fleet of the size the project is designed for.
const NODES_PER_ZONE: u32 = 18;
/// Engines and shards go with the nodes that they work for.
const ENGINES_PER_100_NODES: u32 = 455;
const LARGEST_REGIONS: u32 = 6;
const LARGEST_ZONES: u32 = 19;
/// Longest time until every node has its lease and the fleet is quiet.
const WARM_UP: Duration = Duration::from_secs(120);
const QUIET: Duration = Duration::from_secs(60);
/// Time between two looks at the agenda.
const STEP: Duration = Duration::from_millis(500);
/// The same while operators change settings as fast as they can.
const BUSY_STEP: Duration = Duration::from_millis(20);
/// After the agenda: time for the last change to arrive.
const DRAIN: Duration = Duration::from_secs(30);

/// What to run.
#[derive(Debug, Clone, PartialEq)]
pub struct HollowPlan {
    /// The fleet.
    pub options: HollowOptions,
    /// Virtual time.
    pub time: Duration,
    /// What happens in it.
    pub day: DayPlan,
}

impl HollowPlan {
    /// The same plan for a fleet of another size; zones, regions, engines and shards shrink and grow with it, the
    /// settings tree stays.
    pub fn of_nodes(&self, nodes: u32) -> HollowPlan {
        let mut plan = self.clone();
        let options = &mut plan.options;
        options.nodes = nodes;
        options.zones = nodes.div_ceil(NODES_PER_ZONE).clamp(1, LARGEST_ZONES);
        options.regions = options.zones.min(LARGEST_REGIONS);
        options.engines = nodes * ENGINES_PER_100_NODES / 100;
        let shards = nodes / options.regions;
        options.leader.fleet.placement.shards_per_region = shards.max(1);
        plan
    }
}

/// What a run cost.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct FleetRun {
    /// Nodes asked for.
    pub nodes: u32,
    /// What the fleet counted.
    pub fleet: FleetReport,
    /// Changes answered for good.
    pub changes: usize,
    /// Memory the process grew by, over the number of nodes, bytes. Controllers, links and operators are in it.
    pub memory_per_node: Option<u64>,
    /// What one reading of the clock costs; every step measured is too long by this, nanoseconds.
    pub reading_nanoseconds: u64,
}

/// Runs a plan; the fleet comes with the result, since its memory counts as long as it lives.
pub fn run_plan(plan: &HollowPlan) -> (FleetRun, HollowFleet) {
    let memory_before = memory::resident_bytes();
    let mut fleet = HollowFleet::new(plan.options.clone(), Box::new(cpu::thread_time));
    warm_up(&mut fleet, plan);
    fleet.start_counting();
    pass_time(&mut fleet, plan);
    let grown = memory::resident_bytes()
        .zip(memory_before)
        .map(|(after, before)| after.saturating_sub(before));
    let run = FleetRun {
        nodes: plan.options.nodes,
        fleet: fleet.report(),
        changes: fleet.changes().len(),
        memory_per_node: grown.map(|bytes| bytes / u64::from(plan.options.nodes.max(1))),
        reading_nanoseconds: u64::try_from(cpu::reading_cost().as_nanos()).unwrap_or(u64::MAX),
    };
    (run, fleet)
}

/// Brings engines and settings in force, and waits until all is quiet.
fn warm_up(fleet: &mut HollowFleet, plan: &HollowPlan) {
    fleet.run_until(WARM_UP, |fleet| fleet.leader().is_some());
    let engines = fleet.engines();
    if let Some(leader) = fleet.leader() {
        fleet.ask(leader, ControlRequest::SetEngines(engines));
    }
    fleet.submit(nth_change(0, plan.options.tenants, fleet.newest_version()));
    fleet.run_until(WARM_UP, |fleet| {
        let mut nodes = fleet.node_ids().into_iter();
        nodes.all(|node| {
            fleet
                .view(node)
                .is_some_and(|view| view.lease_valid(fleet.now()))
        })
    });
    fleet.run_for(QUIET);
}

fn pass_time(fleet: &mut HollowFleet, plan: &HollowPlan) {
    let seed = plan.options.seed;
    let mut agenda = Agenda::new(&plan.day, fleet, plan.time, plan.options.tenants, seed);
    let start = fleet.now();
    while fleet.now().since(start) < plan.time || agenda.is_busy(fleet) || agenda.awaits_heal() {
        agenda.run_until(fleet.now().since(start), fleet);
        let step = if agenda.is_busy(fleet) {
            BUSY_STEP
        } else {
            STEP
        };
        fleet.run_for(step);
    }
    fleet.run_for(DRAIN);
}
