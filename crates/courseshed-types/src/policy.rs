//! The compiled settings tree: the effective policy of every branch.
//!
//! Gateways, shards and dispatchers read this and never the tree's text. A snapshot is immutable and carries the
//! version it was compiled from.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    branch::BranchPath,
    ids::{ModelName, SettingsVersion},
    tokens::Tokens,
};

/// What a node does for a branch when its settings lease has run out.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CutOffPolicy {
    /// Start nothing new; answer "not run".
    #[default]
    Refuse,
    /// Go on with the last settings known.
    Continue,
}

/// A budget of tokens over a period.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeriodBudget {
    /// Tokens that may be spent in each period.
    pub tokens: Tokens,
    /// Length of a period; periods start at multiples of it since the epoch.
    pub period: Duration,
}

/// What a program of a certain kind is worth and by when it should be done.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct KindPolicy {
    /// Aim for the latency of the whole program.
    pub aim: Option<Duration>,
    /// Worth of a program completed within its aim.
    pub worth: f64,
    /// Added to the branch's priority.
    pub priority: i32,
}

/// Limits of a branch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BranchLimits {
    /// Calls running or waiting at once over the branch and all below it, per region.
    pub calls_at_once: u32,
    /// Programs under way at once, per region.
    pub programs_at_once: u32,
    /// Calls a program may make.
    pub turns: u32,
    /// Tokens of history a program may gather.
    pub history_tokens: Tokens,
    /// Longest time between two calls of a program before it is ended.
    pub tool_pause: Duration,
    /// Longest time a call waits for an engine.
    pub queue_wait: Duration,
    /// Most tokens one call may generate.
    pub output_tokens: Tokens,
    /// Deepest nesting of sub-agents.
    pub depth: u32,
}

/// The effective policy of one branch, everything inherited.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BranchPolicy {
    /// Weight against its siblings; above zero.
    pub share: f64,
    /// Part of the pool (0 to 1) the branch gets before shares count.
    pub floor: f64,
    /// Engine and queue priority; higher is more urgent.
    pub priority: i32,
    /// Budget of the branch and all below it; none is unlimited.
    pub budget: Option<PeriodBudget>,
    /// Budget of each program with its sub-agents; none is unlimited.
    pub program_budget: Option<Tokens>,
    /// Limits.
    pub limits: BranchLimits,
    /// Aim and worth of programs that name no kind.
    pub default_kind: KindPolicy,
    /// Aim and worth by kind of program.
    pub kinds: BTreeMap<String, KindPolicy>,
    /// Part of the engines' prefix cache (0 to 1) the branch may hold by leases.
    pub cache_share: f64,
    /// Models the branch may use; empty allows all declared at the root.
    pub models: Vec<ModelName>,
    /// The model of calls that name none.
    pub default_model: Option<ModelName>,
    /// What to do when cut off from control.
    pub when_cut_off: CutOffPolicy,
    /// SHA-256 digests (lower-case hex) of the bearer keys that belong to this very branch.
    pub key_digests: Vec<String>,
}

impl Default for BranchPolicy {
    fn default() -> BranchPolicy {
        BranchPolicy {
            share: 1.0,
            floor: 0.0,
            priority: 0,
            budget: None,
            program_budget: None,
            limits: BranchLimits::default(),
            default_kind: KindPolicy {
                aim: None,
                worth: 1.0,
                priority: 0,
            },
            kinds: BTreeMap::new(),
            cache_share: 1.0,
            models: Vec::new(),
            default_model: None,
            when_cut_off: CutOffPolicy::Refuse,
            key_digests: Vec::new(),
        }
    }
}

impl BranchPolicy {
    /// The policy of a kind of program.
    pub fn kind(&self, kind: Option<&str>) -> KindPolicy {
        kind.and_then(|name| self.kinds.get(name))
            .copied()
            .unwrap_or(self.default_kind)
    }
}

impl Default for BranchLimits {
    fn default() -> BranchLimits {
        BranchLimits {
            calls_at_once: 10_000,
            programs_at_once: 100_000,
            turns: 320,
            history_tokens: Tokens(240_000),
            tool_pause: Duration::from_secs(15 * 60),
            queue_wait: Duration::from_secs(60),
            output_tokens: Tokens(4_096),
            depth: 4,
        }
    }
}

/// The policy of every branch at one version of the settings.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct PolicySnapshot {
    /// The version of the tree.
    pub version: SettingsVersion,
    /// All branches; the root is always present.
    pub branches: BTreeMap<BranchPath, BranchPolicy>,
    /// SHA-256 digests (lower-case hex) of the operators' keys; empty allows operators without a key.
    pub operator_key_digests: Vec<String>,
    /// Models declared at the root.
    pub models: Vec<ModelName>,
}

impl PolicySnapshot {
    /// The policy of a branch that exists.
    pub fn branch(&self, path: &BranchPath) -> Option<&BranchPolicy> {
        self.branches.get(path)
    }

    /// The branches directly below `path`.
    pub fn children<'a>(
        &'a self,
        path: &'a BranchPath,
    ) -> impl Iterator<Item = (&'a BranchPath, &'a BranchPolicy)> {
        self.branches
            .iter()
            .filter(move |(branch, _)| branch.parent().as_ref() == Some(path))
    }
}
