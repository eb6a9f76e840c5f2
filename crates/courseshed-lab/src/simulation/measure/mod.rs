//! What a run measures: latency of whole programs, tokens to callers, waste, shares of service, occupancy.
//!
//! Only families that arrive after the warm-up count. Service and waste are what engines counted, never what the
//! dispatcher believes.

mod latency;
mod occupancy;
mod result;
mod shares;

use std::{collections::BTreeMap, time::Duration};

use courseshed_types::{BranchPath, PolicySnapshot, Timestamp, Usage};
use hdrhistogram::Histogram;

use super::{
    engine_host::EngineHost,
    event::PoolIndex,
    program::{Ending, OpenCall, Program},
    scenario::Scenario,
};
use latency::{histogram, record, summary};
use occupancy::OccupancyLog;
use shares::ShareLog;

pub use latency::LatencySummary;
pub use occupancy::{EngineOccupancy, OccupancySample};
pub use result::{CallCounts, KindResult, PoolWait, RunResult, WasteRow, policy_name};
pub use shares::{ShareRow, ShareWindow};

/// The families of one kind on one branch.
struct KindMeasure {
    completed: u64,
    refused: u64,
    limited: u64,
    within_aim: u64,
    worth_within: f64,
    latency: Histogram<u64>,
}

impl KindMeasure {
    fn new() -> KindMeasure {
        KindMeasure {
            completed: 0,
            refused: 0,
            limited: 0,
            within_aim: 0,
            worth_within: 0.0,
            latency: histogram(),
        }
    }
}

/// The measures of a run under way.
pub(super) struct Measures {
    pub(super) calls: CallCounts,
    kinds: BTreeMap<(usize, BranchPath), KindMeasure>,
    first_token: Histogram<u64>,
    token_gap: Histogram<u64>,
    waits: Vec<Histogram<u64>>,
    waste: BTreeMap<BranchPath, WasteRow>,
    /// Waste of families that are not measured.
    other_waste: WasteRow,
    filled_tokens: u64,
    shares: ShareLog,
    occupancy: OccupancyLog,
    system_prompts: BTreeMap<(usize, BranchPath), u64>,
    decode_weight: u64,
    caller_delay: Duration,
}

impl Measures {
    /// Length of the windows in which shares of service are compared.
    pub(super) const SHARE_WINDOW: Duration = Duration::from_secs(20);

    pub(super) fn new(scenario: &Scenario, pools: usize) -> Measures {
        let measured_from = Timestamp::ZERO + scenario.warm_up;
        let measured_until = Timestamp::ZERO + scenario.plan.duration;
        Measures {
            calls: CallCounts::default(),
            kinds: BTreeMap::new(),
            first_token: histogram(),
            token_gap: histogram(),
            waits: (0..pools).map(|_| histogram()).collect(),
            waste: BTreeMap::new(),
            other_waste: WasteRow::default(),
            filled_tokens: 0,
            shares: ShareLog::new(pools, measured_from, measured_until),
            occupancy: OccupancyLog::new(pools),
            system_prompts: BTreeMap::new(),
            decode_weight: scenario.dispatcher.decode_weight,
            caller_delay: scenario.delays.engine + scenario.delays.caller,
        }
    }

    /// The number of a system prompt, the same for all programs of a kind on a branch.
    pub(super) fn system_prompt(&mut self, kind: usize, branch: &BranchPath) -> u64 {
        let next = self.system_prompts.len() as u64 + 1;
        let key = (kind, branch.clone());
        *self.system_prompts.entry(key).or_insert(next)
    }

    /// A call was given an engine after waiting.
    pub(super) fn waited(&mut self, pool: PoolIndex, is_measured: bool, wait: Duration) {
        if is_measured {
            record(&mut self.waits[pool], wait);
        }
    }

    /// A call was answered.
    pub(super) fn answered(&mut self, program: &Program, open: &OpenCall, usage: &Usage) {
        let uncached = usage.prompt_tokens.saturating_sub(usage.cached_tokens).0;
        let output = usage.completion_tokens.0;
        self.calls.prompt_tokens += usage.prompt_tokens.0;
        self.calls.uncached_tokens += uncached;
        self.calls.output_tokens += output;
        let service = uncached + self.decode_weight * output;
        self.shares
            .served(program.pool, &program.script.branch, service);
        if !program.is_measured {
            return;
        }
        self.filled_tokens += uncached + output;
        if let Some(first) = open.first_token_at {
            let waited = first.since(open.issued_at) + self.caller_delay;
            record(&mut self.first_token, waited);
        }
    }

    /// The mean gap between the tokens of an answer.
    pub(super) fn token_gap(&mut self, gap: Duration) {
        record(&mut self.token_gap, gap);
    }

    /// A root program is over.
    pub(super) fn family_ended(&mut self, root: &Program, now: Timestamp) {
        if !root.is_measured {
            return;
        }
        let key = (root.script.kind, root.script.branch.clone());
        let measure = self.kinds.entry(key).or_insert_with(KindMeasure::new);
        match root.ending {
            Some(Ending::Completed) => {
                let latency = now.since(root.started_at) + self.caller_delay;
                let within = root.aim.is_none_or(|aim| latency <= aim);
                measure.completed += 1;
                measure.within_aim += u64::from(within);
                measure.worth_within += if within { root.worth } else { 0.0 };
                record(&mut measure.latency, latency);
            }
            Some(Ending::Refused) => measure.refused += 1,
            Some(Ending::Limit) => measure.limited += 1,
            None => {}
        }
    }

    /// The account of waste that a program's blocks belong to.
    pub(super) fn waste(&mut self, program: &Program) -> &mut WasteRow {
        if !program.is_measured {
            return &mut self.other_waste;
        }
        let branch = &program.script.branch;
        self.waste
            .entry(branch.clone())
            .or_insert_with(|| WasteRow {
                branch: branch.to_string(),
                ..WasteRow::default()
            })
    }

    /// Compares what branches got in the window that ends with what the tree grants them.
    pub(super) fn end_share_window(
        &mut self,
        pool: PoolIndex,
        now: Timestamp,
        policy: &PolicySnapshot,
        backlog: &BTreeMap<BranchPath, u64>,
    ) {
        self.shares.end_window(pool, now, policy, backlog);
    }

    /// Takes a sample of all engines' batches and memory.
    pub(super) fn sample_occupancy(&mut self, now: Timestamp, engines: &[EngineHost]) {
        self.occupancy.sample(now, engines);
    }

    /// The result of the run.
    pub(super) fn into_result(
        self,
        scenario: &Scenario,
        programs: &[Program],
        engines: &[EngineHost],
        now: Timestamp,
    ) -> RunResult {
        let kinds = result::kind_results(scenario, programs, &self.kinds);
        let mut calls = self.calls;
        calls.open = programs
            .iter()
            .filter(|program| program.open.is_some())
            .count() as u64;
        let mut all = histogram();
        let mut branches: BTreeMap<String, Histogram<u64>> = BTreeMap::new();
        for ((_, branch), measure) in &self.kinds {
            all += &measure.latency;
            let top = branch.as_str().split('/').next().unwrap_or_default();
            *branches.entry(top.to_string()).or_insert_with(histogram) += &measure.latency;
        }
        let models = self.shares.models(scenario);
        RunResult {
            policy: policy_name(scenario.policy_kind).to_string(),
            seed: scenario.seed,
            load: 0.0,
            with_surges: !scenario.plan.surges.is_empty(),
            programs_per_second: scenario.plan.programs_per_second,
            virtual_seconds: now.as_millis() as f64 / 1_000.0,
            calls,
            latency: summary(&all),
            branches: branches
                .iter()
                .map(|(branch, latency)| (branch.clone(), summary(latency)))
                .collect(),
            kinds,
            first_token: summary(&self.first_token),
            token_gap: summary(&self.token_gap),
            waits: self
                .waits
                .iter()
                .zip(&models)
                .map(|(wait, model)| PoolWait {
                    model: model.clone(),
                    wait: summary(wait),
                })
                .collect(),
            waste: self.waste.into_values().collect(),
            filled_tokens: self.filled_tokens,
            share_drift: self.shares.drift(),
            share_windows: self.shares.windows(&models),
            engines: occupancy::engine_results(scenario, engines, now),
            occupancy: self.occupancy.samples(&models),
        }
    }
}
