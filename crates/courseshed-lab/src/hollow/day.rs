//! What happens to a fleet in the course of a run: changes of settings, failures, restarts, cuts.

use std::time::Duration;

use courseshed_control::hollow::{HollowFleet, tenant_tree};
use courseshed_types::{NodeId, RegionName, SettingsVersion, control::SettingsChange};
use rand::{RngExt, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha12Rng;

const DAY: Duration = Duration::from_secs(24 * 60 * 60);
/// A restarted node is back after this time.
const RESTART_TIME: Duration = Duration::from_secs(10);
/// A failed machine is back, or replaced, after this time.
const REPAIR_TIME: Duration = Duration::from_secs(15 * 60);

/// How much happens.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DayPlan {
    /// Changes of settings in a day.
    pub changes: f64,
    /// Changes made as fast as they are answered, in the middle of the run.
    pub burst: u32,
    /// Machines that fail in a day.
    pub failures: f64,
    /// Nodes that are restarted in a day.
    pub restarts: f64,
    /// How much faster than in a day all of these come.
    pub compress: f64,
    /// How long a region is cut off from the others, starting a quarter into the run; zero for never.
    pub cut: Duration,
    /// Whether a zone is lost in the middle of the run, until three quarters of it.
    pub zone_lost: bool,
}

impl Default for DayPlan {
    fn default() -> DayPlan {
        DayPlan {
            changes: 2_800.0,
            burst: 0,
            failures: 0.0,
            restarts: 0.0,
            compress: 1.0,
            cut: Duration::ZERO,
            zone_lost: false,
        }
    }
}

/// One thing that happens.
#[derive(Debug, Clone, PartialEq)]
enum Happening {
    Change(u32),
    Crash(NodeId),
    Start(NodeId),
    Cut(RegionName),
    Heal(RegionName),
}

/// What will happen, in order.
#[derive(Debug)]
pub(super) struct Agenda {
    entries: Vec<(Duration, Happening)>,
    next: usize,
    changes_due: u32,
    changes_made: u32,
    tenants: u32,
}

impl Agenda {
    /// Everything that happens to a fleet within a time.
    pub fn new(
        plan: &DayPlan,
        fleet: &HollowFleet,
        time: Duration,
        tenants: u32,
        seed: u64,
    ) -> Agenda {
        let mut random = ChaCha12Rng::seed_from_u64(seed);
        let mut entries = Vec::new();
        add_changes(&mut entries, plan, time);
        add_crashes(&mut entries, plan, fleet, time, &mut random);
        add_large_failures(&mut entries, plan, fleet, time);
        entries.sort_by_key(|(at, _)| *at);
        Agenda {
            entries,
            next: 0,
            changes_due: 0,
            changes_made: 0,
            tenants,
        }
    }

    /// Lets happen what is due at a time since the start.
    pub fn run_until(&mut self, at: Duration, fleet: &mut HollowFleet) {
        while let Some((due, happening)) = self.entries.get(self.next).filter(|(due, _)| *due <= at)
        {
            let _ = due;
            match happening.clone() {
                Happening::Change(count) => self.changes_due += count,
                Happening::Crash(node) => fleet.crash(node),
                Happening::Start(node) => fleet.start(node),
                Happening::Cut(region) => fleet.cut_region(&region),
                Happening::Heal(region) => fleet.heal_region(&region),
            }
            self.next += 1;
        }
        self.submit_due(fleet);
    }

    /// Whether a region is still to be reached again.
    pub fn awaits_heal(&self) -> bool {
        let mut left = self.entries[self.next..].iter();
        left.any(|(_, happening)| matches!(happening, Happening::Heal(_)))
    }

    /// Whether changes wait for their turn.
    pub fn is_busy(&self, fleet: &HollowFleet) -> bool {
        self.changes_due > 0 || fleet.is_changing()
    }

    fn submit_due(&mut self, fleet: &mut HollowFleet) {
        if self.changes_due == 0 || fleet.is_changing() {
            return;
        }
        self.changes_due -= 1;
        self.changes_made += 1;
        fleet.submit(nth_change(
            self.changes_made,
            self.tenants,
            fleet.newest_version(),
        ));
    }
}

/// The change that alters the share of one tenant.
pub(super) fn nth_change(number: u32, tenants: u32, expected: SettingsVersion) -> SettingsChange {
    SettingsChange {
        expected_version: expected,
        change_id: format!("change-{number}-{expected}").into(),
        tree: tenant_tree(tenants, number),
        author: "hollow".to_owned(),
    }
}

fn add_changes(entries: &mut Vec<(Duration, Happening)>, plan: &DayPlan, time: Duration) {
    let rate = plan.changes * plan.compress;
    for number in 1..=times_within(rate, time) {
        let at = DAY.div_f64(rate) * number;
        entries.push((at.min(time), Happening::Change(1)));
    }
    if plan.burst > 0 {
        entries.push((time / 2, Happening::Change(plan.burst)));
    }
}

fn add_crashes(
    entries: &mut Vec<(Duration, Happening)>,
    plan: &DayPlan,
    fleet: &HollowFleet,
    time: Duration,
    random: &mut ChaCha12Rng,
) {
    let nodes = fleet.node_ids();
    for (rate, away) in [(plan.failures, REPAIR_TIME), (plan.restarts, RESTART_TIME)] {
        for _ in 0..times_within(rate * plan.compress, time) {
            let Some(node) = nodes.choose(random) else {
                return;
            };
            let at = time.mul_f64(random.random::<f64>());
            entries.push((at, Happening::Crash(*node)));
            entries.push((at + away, Happening::Start(*node)));
        }
    }
}

/// The last node stands in the region and zone that are lost: never the first ones, where the controllers are.
fn add_large_failures(
    entries: &mut Vec<(Duration, Happening)>,
    plan: &DayPlan,
    fleet: &HollowFleet,
    time: Duration,
) {
    let members: Vec<_> = fleet
        .node_ids()
        .into_iter()
        .filter_map(|node| fleet.member(node))
        .collect();
    let Some(last) = members.last() else {
        return;
    };
    if !plan.cut.is_zero() {
        entries.push((time / 4, Happening::Cut(last.region.clone())));
        entries.push((time / 4 + plan.cut, Happening::Heal(last.region.clone())));
    }
    if plan.zone_lost {
        for member in members.iter().filter(|member| member.zone == last.zone) {
            entries.push((time / 2, Happening::Crash(member.node)));
            entries.push((time * 3 / 4, Happening::Start(member.node)));
        }
    }
}

fn times_within(per_day: f64, time: Duration) -> u32 {
    (per_day * time.as_secs_f64() / DAY.as_secs_f64()).round() as u32
}
