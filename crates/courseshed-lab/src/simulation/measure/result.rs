//! The result of one run, as it is written to JSON lines.

use std::collections::BTreeMap;

use courseshed_dispatch::PolicyKind;
use courseshed_types::BranchPath;
use serde::{Deserialize, Serialize};

use super::{
    super::{program::Program, scenario::Scenario},
    KindMeasure, LatencySummary,
    latency::summary,
    occupancy::{EngineOccupancy, OccupancySample},
    shares::ShareWindow,
};

/// Calls and the tokens of those that were answered, over the whole run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Calls accepted.
    pub issued: u64,
    /// Calls answered.
    pub answered: u64,
    /// Calls refused.
    pub refused: u64,
    /// Calls open when the run ended.
    pub open: u64,
    /// Attempts that failed by their engine's fault.
    pub failed_attempts: u64,
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Prompt tokens not found in a cache.
    pub uncached_tokens: u64,
    /// Tokens generated.
    pub output_tokens: u64,
}

/// The families of one kind on one branch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KindResult {
    /// The kind.
    pub kind: String,
    /// The branch.
    pub branch: String,
    /// Families that arrived.
    pub arrived: u64,
    /// Families whose calls were all answered.
    pub completed: u64,
    /// Families of which a call was refused for good.
    pub refused: u64,
    /// Families ended by a limit of their branch: hung tools, endless loops.
    pub limited: u64,
    /// Families still under way when the run ended.
    pub unfinished: u64,
    /// Families completed within their aim.
    pub within_aim: u64,
    /// Worth of all that arrived.
    pub worth_arrived: f64,
    /// Worth of those completed within their aim.
    pub worth_within: f64,
    /// Program latency of completed families.
    pub latency: LatencySummary,
}

/// How long calls waited for an engine of one model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PoolWait {
    /// The model.
    pub model: String,
    /// The waits.
    pub wait: LatencySummary,
}

/// Prefix tokens that a branch's programs filled and nobody reused.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WasteRow {
    /// The branch.
    pub branch: String,
    /// Evicted while the program still lived.
    pub evicted: u64,
    /// Left at an engine by a program that went on at another.
    pub moved: u64,
    /// Left by programs that ended.
    pub abandoned: u64,
    /// Lost with an engine.
    pub engine_lost: u64,
}

impl WasteRow {
    /// All tokens wasted.
    pub fn total(&self) -> u64 {
        self.evicted + self.moved + self.abandoned + self.engine_lost
    }
}

/// The result of one run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunResult {
    /// The policy.
    pub policy: String,
    /// The seed.
    pub seed: u64,
    /// Load as a part of the fleet's capacity; 0 where it was not calibrated.
    pub load: f64,
    /// Whether the surges of the experiment took place.
    pub with_surges: bool,
    /// Programs that arrived per second.
    pub programs_per_second: f64,
    /// Virtual time of the whole run.
    pub virtual_seconds: f64,
    /// Calls.
    pub calls: CallCounts,
    /// Latency of all completed families.
    pub latency: LatencySummary,
    /// The same by the first segment of the branch.
    pub branches: BTreeMap<String, LatencySummary>,
    /// By kind and branch.
    pub kinds: Vec<KindResult>,
    /// From a caller's request to the first token.
    pub first_token: LatencySummary,
    /// Mean gap between the tokens of an answer, over answers.
    pub token_gap: LatencySummary,
    /// Waits for an engine.
    pub waits: Vec<PoolWait>,
    /// Wasted cache by branch.
    pub waste: Vec<WasteRow>,
    /// Tokens that measured families filled into caches.
    pub filled_tokens: u64,
    /// Part of service that went to other branches than the tree says.
    pub share_drift: f64,
    /// Service by branch over time.
    pub share_windows: Vec<ShareWindow>,
    /// Engines.
    pub engines: Vec<EngineOccupancy>,
    /// Occupancy over time.
    pub occupancy: Vec<OccupancySample>,
}

impl RunResult {
    /// Worth completed within aims as a part of the worth that arrived.
    pub fn worth_within_aim(&self) -> f64 {
        let arrived: f64 = self.kinds.iter().map(|kind| kind.worth_arrived).sum();
        let within: f64 = self.kinds.iter().map(|kind| kind.worth_within).sum();
        if arrived > 0.0 { within / arrived } else { 0.0 }
    }

    /// Families that were refused as a part of those that arrived.
    pub fn refused_part(&self) -> f64 {
        let arrived: u64 = self.kinds.iter().map(|kind| kind.arrived).sum();
        let refused: u64 = self.kinds.iter().map(|kind| kind.refused).sum();
        refused as f64 / arrived.max(1) as f64
    }

    /// Families that completed.
    pub fn completed(&self) -> u64 {
        self.kinds.iter().map(|kind| kind.completed).sum()
    }

    /// Wasted tokens of one cause for each completed family.
    pub fn waste_per_completion(&self, cause: impl Fn(&WasteRow) -> u64) -> f64 {
        let wasted: u64 = self.waste.iter().map(cause).sum();
        wasted as f64 / self.completed().max(1) as f64
    }

    /// Wasted tokens as a part of those filled.
    pub fn waste_part(&self) -> f64 {
        let wasted: u64 = self.waste.iter().map(WasteRow::total).sum();
        wasted as f64 / self.filled_tokens.max(1) as f64
    }
}

/// The name of a policy in files and tables.
pub fn policy_name(kind: PolicyKind) -> &'static str {
    match kind {
        PolicyKind::Courseshed => "courseshed",
        PolicyKind::FirstComeLeastLoad => "first-come-least-load",
        PolicyKind::PrefixAffinity => "prefix-affinity",
        PolicyKind::PerCallFair => "per-call-fair",
    }
}

/// One row for each kind and branch that families arrived for.
pub(super) fn kind_results(
    scenario: &Scenario,
    programs: &[Program],
    measures: &BTreeMap<(usize, BranchPath), KindMeasure>,
) -> Vec<KindResult> {
    let mut arrived: BTreeMap<(usize, BranchPath), (u64, f64)> = BTreeMap::new();
    let roots = programs.iter().filter(|program| program.parent.is_none());
    for root in roots.filter(|root| root.is_measured) {
        let key = (root.script.kind, root.script.branch.clone());
        let (count, worth) = arrived.entry(key).or_default();
        *count += 1;
        *worth += root.worth;
    }
    let empty = KindMeasure::new();
    let row = |(key, (arrived, worth_arrived)): (&(usize, BranchPath), &(u64, f64))| {
        let measure = measures.get(key).unwrap_or(&empty);
        let ended = measure.completed + measure.refused + measure.limited;
        KindResult {
            kind: scenario.workload.kinds[key.0].name.clone(),
            branch: key.1.to_string(),
            arrived: *arrived,
            completed: measure.completed,
            refused: measure.refused,
            limited: measure.limited,
            unfinished: arrived - ended,
            within_aim: measure.within_aim,
            worth_arrived: *worth_arrived,
            worth_within: measure.worth_within,
            latency: summary(&measure.latency),
        }
    };
    arrived.iter().map(row).collect()
}
