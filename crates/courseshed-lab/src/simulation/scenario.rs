//! Everything one run depends on.

use std::{sync::Arc, time::Duration};

use courseshed_dispatch::{DispatcherConfig, PolicyKind};
use courseshed_engine_model::EngineModelConfig;
use courseshed_types::{BranchPath, EngineId, ModelName, PolicySnapshot, ZoneName};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::workload::{ArrivalPlan, ProgramKind, Workload};

/// A scenario that can't be run.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ScenarioError {
    /// A program's branch is not in the tree.
    #[snafu(display("the workload names branch {branch}, which the settings tree does not have"))]
    UnknownBranch {
        /// The branch.
        branch: BranchPath,
    },
    /// A program has no model.
    #[snafu(display("kind {kind} on {branch} names no model, and the branch has no default one"))]
    NoModel {
        /// The kind.
        kind: String,
        /// The branch.
        branch: BranchPath,
    },
    /// No engine serves a model.
    #[snafu(display("no engine serves model {model}, which kind {kind} needs"))]
    NoEngine {
        /// The model.
        model: ModelName,
        /// The kind.
        kind: String,
    },
    /// An engine's sizes make no sense.
    #[snafu(display("engine {engine}: {reason}"))]
    Engine {
        /// The engine.
        engine: EngineId,
        /// What is wrong.
        reason: String,
    },
    /// A fault names an engine that is not there.
    #[snafu(display("a fault names engine {engine}, which is not in the fleet"))]
    UnknownEngine {
        /// The engine.
        engine: EngineId,
    },
}

/// One engine.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineSpec {
    /// Its id.
    pub engine: EngineId,
    /// Its zone.
    pub zone: ZoneName,
    /// The model it serves.
    pub model: ModelName,
    /// Its sizes and costs.
    pub config: EngineModelConfig,
}

/// What goes wrong with an engine.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// The process dies with all it holds, and is back at the end.
    Crash,
    /// Steps take so many times as long until the end.
    Slow(f64),
    /// It is marked leaving and takes nothing new until the end.
    Leaving,
}

/// A fault of an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineFault {
    /// The engine.
    pub engine: EngineId,
    /// What goes wrong.
    pub kind: FaultKind,
    /// When it begins.
    pub from: Duration,
    /// When it ends.
    pub until: Duration,
}

/// Constant delays of what stands between callers, dispatchers and engines, all one way.
#[derive(Debug, Clone, PartialEq)]
pub struct Delays {
    /// Between a caller and the leader of a shard, through a gateway.
    pub caller: Duration,
    /// A commit of a shard: one round to the nearer replica.
    pub commit: Duration,
    /// Between a shard's leader and a dispatcher.
    pub message: Duration,
    /// Between a gateway and an engine.
    pub engine: Duration,
    /// Between two load reports of an engine.
    pub report_every: Duration,
    /// Age of a load report when it reaches the dispatcher.
    pub report_lag: Duration,
    /// Age of a cache event when it reaches the dispatcher.
    pub event_lag: Duration,
    /// Chance that a load report or a cache event is lost.
    pub loss: f64,
    /// Between two listings of an engine's cache.
    pub listing_every: Duration,
    /// Until dispatchers know of a change of the list of engines.
    pub directory_lag: Duration,
    /// Until a gateway knows that an engine died.
    pub failure_noticed: Duration,
    /// Times a caller asks again for a call that was refused.
    pub retries: u32,
}

impl Default for Delays {
    fn default() -> Delays {
        Delays {
            caller: Duration::from_millis(2),
            commit: Duration::from_millis(2),
            message: Duration::from_millis(1),
            engine: Duration::from_millis(1),
            report_every: Duration::from_millis(500),
            report_lag: Duration::from_millis(250),
            event_lag: Duration::from_millis(500),
            loss: 0.05,
            listing_every: Duration::from_secs(10),
            directory_lag: Duration::from_secs(1),
            failure_noticed: Duration::from_millis(200),
            retries: 2,
        }
    }
}

/// One run.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// What programs do.
    pub workload: Arc<Workload>,
    /// When they arrive.
    pub plan: ArrivalPlan,
    /// The compiled settings tree.
    pub policy: Arc<PolicySnapshot>,
    /// How the dispatchers decide.
    pub policy_kind: PolicyKind,
    /// Constants of the dispatchers.
    pub dispatcher: DispatcherConfig,
    /// The engines.
    pub engines: Vec<EngineSpec>,
    /// What goes wrong with them.
    pub faults: Vec<EngineFault>,
    /// Delays between the parts.
    pub delays: Delays,
    /// Programs that arrive before this are not measured.
    pub warm_up: Duration,
    /// How long after the last arrival programs may go on.
    pub drain: Duration,
    /// Seed of programs, arrivals and losses.
    pub seed: u64,
}

impl Scenario {
    /// Checks that workload, tree and fleet fit together.
    pub fn check(&self) -> Result<(), ScenarioError> {
        for engine in &self.engines {
            engine
                .config
                .check()
                .map_err(|error| ScenarioError::Engine {
                    engine: engine.engine.clone(),
                    reason: error.to_string(),
                })?;
        }
        for fault in &self.faults {
            if self.engine_position(&fault.engine).is_none() {
                let engine = fault.engine.clone();
                return UnknownEngineSnafu { engine }.fail();
            }
        }
        for branch in self.workload.branches() {
            if !self.policy.branches.contains_key(&branch) {
                return UnknownBranchSnafu { branch }.fail();
            }
        }
        self.workload
            .kinds
            .iter()
            .try_for_each(|kind| self.check_kind(kind))
    }

    fn check_kind(&self, kind: &ProgramKind) -> Result<(), ScenarioError> {
        for branch in kind.arrivals.keys() {
            let Some(model) = self.model_of(kind, branch) else {
                let (kind, branch) = (kind.name.clone(), branch.clone());
                return NoModelSnafu { kind, branch }.fail();
            };
            if !self.engines.iter().any(|engine| engine.model == model) {
                let kind = kind.name.clone();
                return NoEngineSnafu { model, kind }.fail();
            }
        }
        Ok(())
    }

    /// The model of a kind's calls on a branch.
    pub(super) fn model_of(&self, kind: &ProgramKind, branch: &BranchPath) -> Option<ModelName> {
        let of_branch = || self.policy.branches.get(branch)?.default_model.clone();
        kind.model.clone().or_else(of_branch)
    }

    /// The place of an engine in the list.
    pub(super) fn engine_position(&self, engine: &EngineId) -> Option<usize> {
        self.engines.iter().position(|spec| spec.engine == *engine)
    }
}
