//! Kinds of programs, as a workload file states them.

use std::{collections::BTreeMap, fs, path::Path};

use courseshed_types::{BranchPath, ModelName};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, ensure};

use super::{
    distribution::Distribution,
    error::{InvalidSnafu, ParseSnafu, ReadSnafu, WorkloadError},
};

/// Deepest nesting of sub-agents that a workload may ask for.
const MAX_DEPTH: usize = 3;

/// Sub-agents that a program starts in its pauses.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SubAgents {
    /// Their kind.
    pub kind: String,
    /// The branch that pays for them; the parent's where none is given.
    #[serde(default)]
    pub branch: Option<BranchPath>,
    /// Chance that a pause starts any.
    pub chance: f64,
    /// How many start then.
    #[serde(default = "one")]
    pub count: Distribution,
}

/// One kind of program.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProgramKind {
    /// Its name, unique in the workload.
    pub name: String,
    /// The kind in the settings tree that names aim and worth; none takes the branch's own.
    #[serde(default)]
    pub settings_kind: Option<String>,
    /// The model; none takes the branch's default.
    #[serde(default)]
    pub model: Option<ModelName>,
    /// Weight of its arrivals by the branch that pays; empty for kinds that start as sub-agents only.
    #[serde(default)]
    pub arrivals: BTreeMap<BranchPath, f64>,
    /// Programs that arrive together.
    #[serde(default = "one")]
    pub batch: Distribution,
    /// Tokens of the system prompt, the same for all programs of the kind on one branch.
    #[serde(default)]
    pub system_tokens: u64,
    /// Calls of a program.
    pub turns: Distribution,
    /// New prompt tokens of the first call, beyond the system prompt.
    pub first_tokens: Distribution,
    /// New prompt tokens of each later call.
    pub new_tokens: Distribution,
    /// Tokens each call generates.
    pub output_tokens: Distribution,
    /// Tokens a call may generate at most, as the caller asks.
    pub max_output_tokens: u64,
    /// Seconds between an answer and the next call: tools or people at work.
    pub pause_seconds: Distribution,
    /// Chance that a tool hangs in a pause, so that the program never goes on.
    #[serde(default)]
    pub hung_tool_chance: f64,
    /// Chance that a program never stops by itself.
    #[serde(default)]
    pub endless_chance: f64,
    /// Sub-agents started in its pauses.
    #[serde(default)]
    pub sub_agents: Option<SubAgents>,
}

/// A mix of kinds of programs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    /// The kinds.
    pub kinds: Vec<ProgramKind>,
}

impl Workload {
    /// Reads a workload file.
    pub fn load(path: &Path) -> Result<Workload, WorkloadError> {
        let text = fs::read_to_string(path).context(ReadSnafu { path })?;
        Workload::parse(&text, &path.display().to_string())
    }

    /// Reads a workload from its text; `origin` names it in errors.
    pub fn parse(text: &str, origin: &str) -> Result<Workload, WorkloadError> {
        let workload: Workload = toml::from_str(text)
            .map_err(Box::new)
            .context(ParseSnafu { origin })?;
        let problems = workload.problems();
        ensure!(problems.is_empty(), InvalidSnafu { origin, problems });
        Ok(workload)
    }

    /// The place of a kind in the list.
    pub fn position(&self, name: &str) -> Option<usize> {
        self.kinds.iter().position(|kind| kind.name == name)
    }

    /// The sum of all weights of arrivals.
    pub fn total_weight(&self) -> f64 {
        let weights = self.kinds.iter().flat_map(|kind| kind.arrivals.values());
        weights.sum()
    }

    /// Branches that programs or sub-agents are charged to.
    pub fn branches(&self) -> Vec<BranchPath> {
        let mut branches: Vec<BranchPath> = Vec::new();
        for kind in &self.kinds {
            branches.extend(kind.arrivals.keys().cloned());
            let of_agents = kind
                .sub_agents
                .as_ref()
                .and_then(|agents| agents.branch.clone());
            branches.extend(of_agents);
        }
        branches.sort();
        branches.dedup();
        branches
    }

    fn problems(&self) -> Vec<String> {
        let mut problems = Vec::new();
        if self.kinds.is_empty() {
            problems.push("kinds: at least one [[kinds]] is needed".to_string());
        }
        if !self.kinds.is_empty() && self.total_weight() <= 0.0 {
            problems.push("kinds: no kind has arrivals, so nothing would ever start".to_string());
        }
        for (index, kind) in self.kinds.iter().enumerate() {
            let earlier = self.position(&kind.name);
            if earlier != Some(index) {
                problems.push(format!("kind {}: the name stands twice", kind.name));
            }
            kind.add_problems(&mut problems);
            self.add_nesting_problem(kind, &mut problems);
        }
        problems
    }

    fn add_nesting_problem(&self, kind: &ProgramKind, problems: &mut Vec<String>) {
        let mut current = kind;
        for _ in 0..=MAX_DEPTH {
            let Some(agents) = &current.sub_agents else {
                return;
            };
            let Some(child) = self.position(&agents.kind) else {
                if std::ptr::eq(current, kind) {
                    let name = &kind.name;
                    problems.push(format!(
                        "kind {name}: sub_agents.kind: no kind is called {}",
                        agents.kind
                    ));
                }
                return;
            };
            current = &self.kinds[child];
        }
        let name = &kind.name;
        problems.push(format!(
            "kind {name}: sub_agents: nested deeper than {MAX_DEPTH}"
        ));
    }
}

impl ProgramKind {
    fn add_problems(&self, problems: &mut Vec<String>) {
        let name = &self.name;
        let distributions = [
            ("turns", &self.turns),
            ("first_tokens", &self.first_tokens),
            ("new_tokens", &self.new_tokens),
            ("output_tokens", &self.output_tokens),
            ("pause_seconds", &self.pause_seconds),
            ("batch", &self.batch),
        ];
        for (key, distribution) in distributions {
            if let Some(problem) = distribution.problem() {
                problems.push(format!("kind {name}: {key}: {problem}"));
            }
        }
        if self.max_output_tokens == 0 {
            problems.push(format!("kind {name}: max_output_tokens: must be above 0"));
        }
        for (branch, weight) in &self.arrivals {
            if !(weight.is_finite() && *weight >= 0.0) {
                problems.push(format!(
                    "kind {name}: arrivals.{branch}: must be a weight of at least 0"
                ));
            }
        }
        let agents_chance = self.sub_agents.as_ref().map(|agents| agents.chance);
        let chances = [
            ("hung_tool_chance", self.hung_tool_chance),
            ("endless_chance", self.endless_chance),
            ("sub_agents.chance", agents_chance.unwrap_or(0.0)),
        ];
        for (key, chance) in chances {
            if !(0.0..=1.0).contains(&chance) {
                problems.push(format!("kind {name}: {key}: must be a chance from 0 to 1"));
            }
        }
    }
}

fn one() -> Distribution {
    Distribution::Fixed(1.0)
}
