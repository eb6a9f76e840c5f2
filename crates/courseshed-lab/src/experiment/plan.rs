//! From an experiment file to scenarios.

use std::{
    fs,
    path::{Path, PathBuf},
    sync::Arc,
    time::Duration,
};

use courseshed_dispatch::{DispatcherConfig, PolicyKind};
use courseshed_engine_model::EngineModelConfig;
use courseshed_settings::tree::compile_text;
use courseshed_types::{EngineId, PolicySnapshot, SettingsVersion};
use snafu::ResultExt;

use super::file::{
    EngineGroup, ExperimentError, ExperimentFile, FaultEntry, PolicyName, ReadSnafu, TreeSnafu,
    WorkloadSnafu,
};
use crate::{
    simulation::{Delays, EngineFault, EngineSpec, Scenario, policy_name},
    workload::{ArrivalPlan, Workload},
};

/// One run of an experiment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RunKey {
    /// The policy.
    pub policy: PolicyName,
    /// Load as a part of capacity.
    pub load: f64,
    /// The seed.
    pub seed: u64,
    /// Whether the surges of the file take place.
    pub with_surges: bool,
}

/// An experiment with all it refers to.
#[derive(Debug, Clone)]
pub struct Experiment {
    /// The file.
    pub file: ExperimentFile,
    /// Where it stands.
    pub path: PathBuf,
    workload: Arc<Workload>,
    policy: Arc<PolicySnapshot>,
    engines: Vec<EngineSpec>,
}

impl Experiment {
    /// Reads an experiment file, its workload and its tree.
    pub fn load(path: &Path) -> Result<Experiment, ExperimentError> {
        let file = ExperimentFile::load(path)?;
        let folder = path.parent().unwrap_or(Path::new(""));
        let workload = Workload::load(&folder.join(&file.workload)).context(WorkloadSnafu)?;
        let policy = read_tree(&folder.join(&file.tree))?;
        let engines = file.engines.iter().flat_map(engines_of).collect();
        Ok(Experiment {
            workload: Arc::new(workload),
            policy: Arc::new(policy),
            engines,
            path: path.to_path_buf(),
            file,
        })
    }

    /// All runs: each policy at each load on each seed, with and without surges if there are any.
    pub fn runs(&self) -> Vec<RunKey> {
        let surges: &[bool] = match self.file.surges.is_empty() {
            true => &[false],
            false => &[false, true],
        };
        let mut runs = Vec::new();
        for policy in &self.file.policies {
            for load in &self.file.loads {
                for seed in &self.file.seeds {
                    for with_surges in surges {
                        runs.push(RunKey {
                            policy: *policy,
                            load: *load,
                            seed: *seed,
                            with_surges: *with_surges,
                        });
                    }
                }
            }
        }
        runs
    }

    /// The scenario of a run, given what the fleet can do.
    pub fn scenario(&self, run: &RunKey, capacity: f64) -> Scenario {
        let surges = match run.with_surges {
            true => self.file.surges.clone(),
            false => Vec::new(),
        };
        Scenario {
            workload: Arc::clone(&self.workload),
            plan: ArrivalPlan {
                programs_per_second: capacity * run.load,
                duration: self.file.duration,
                surges,
            },
            policy: Arc::clone(&self.policy),
            policy_kind: run.policy.kind(),
            dispatcher: DispatcherConfig::default(),
            engines: self.engines.clone(),
            faults: self.file.faults.iter().map(fault_of).collect(),
            delays: Delays::default(),
            warm_up: self.file.warm_up,
            drain: self.file.drain,
            seed: run.seed,
        }
    }
}

impl PolicyName {
    /// The name in files and tables.
    pub fn as_str(self) -> &'static str {
        policy_name(self.kind())
    }

    /// The dispatcher's policy of this name.
    pub fn kind(self) -> PolicyKind {
        match self {
            PolicyName::Courseshed => PolicyKind::Courseshed,
            PolicyName::FirstComeLeastLoad => PolicyKind::FirstComeLeastLoad,
            PolicyName::PrefixAffinity => PolicyKind::PrefixAffinity,
            PolicyName::PerCallFair => PolicyKind::PerCallFair,
        }
    }
}

fn read_tree(path: &Path) -> Result<PolicySnapshot, ExperimentError> {
    let text = fs::read_to_string(path).context(ReadSnafu { path })?;
    compile_text(&text, SettingsVersion(1)).map_err(|problems| {
        let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
        let problems = lines.join("\n");
        TreeSnafu { path, problems }.build()
    })
}

fn engines_of(group: &EngineGroup) -> Vec<EngineSpec> {
    let spec = |index: usize| EngineSpec {
        engine: EngineId::from(format!("{}-{}", group.model, index + 1)),
        zone: group.zones[index % group.zones.len()].clone(),
        model: group.model.clone(),
        config: config_of(group),
    };
    (0..group.count).map(spec).collect()
}

fn config_of(group: &EngineGroup) -> EngineModelConfig {
    let default = EngineModelConfig::default();
    let scaled = |number: Option<f64>, unit: f64, otherwise: Duration| {
        number.map_or(otherwise, |number| {
            Duration::from_secs_f64(number.max(0.0) * unit)
        })
    };
    EngineModelConfig {
        max_batch: group.max_batch.unwrap_or(default.max_batch),
        kv_blocks: group.kv_blocks.unwrap_or(default.kv_blocks),
        step_tokens: group.step_tokens.unwrap_or(default.step_tokens),
        step_base: scaled(group.step_base_ms, 1e-3, default.step_base),
        step_per_decode: scaled(group.step_per_decode_us, 1e-6, default.step_per_decode),
        step_per_prefill_token: scaled(
            group.step_per_prefill_token_us,
            1e-6,
            default.step_per_prefill_token,
        ),
        ..default
    }
}

fn fault_of(entry: &FaultEntry) -> EngineFault {
    EngineFault {
        engine: entry.engine.clone(),
        kind: entry.kind,
        from: Duration::from_secs_f64(entry.from_second.max(0.0)),
        until: Duration::from_secs_f64(entry.until_second.max(0.0)),
    }
}
