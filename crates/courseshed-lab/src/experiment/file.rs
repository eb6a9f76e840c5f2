//! The experiment file.

use std::{
    fs,
    path::{Path, PathBuf},
    str::FromStr,
    time::Duration,
};

use courseshed_types::{EngineId, ModelName, ZoneName};
use serde::{Deserialize, Deserializer, Serialize};
use snafu::{ResultExt, Snafu};

use crate::{
    simulation::{FaultKind, ScenarioError},
    workload::{Surge, WorkloadError},
};

/// An experiment that can't be run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ExperimentError {
    /// A file can't be read.
    #[snafu(display("{}: can't be read: {source}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// A file can't be written.
    #[snafu(display("{}: can't be written: {source}", path.display()))]
    Write {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The file is no experiment.
    #[snafu(display("{}: {source}", path.display()))]
    Parse {
        /// The file.
        path: PathBuf,
        /// What is wrong, with its line.
        source: Box<toml::de::Error>,
    },
    /// A value makes no sense.
    #[snafu(display("{}: {key}: {reason}", path.display()))]
    Invalid {
        /// The file.
        path: PathBuf,
        /// The key.
        key: &'static str,
        /// What is wrong and what would do.
        reason: String,
    },
    /// The workload can't be used.
    #[snafu(display("{source}"))]
    Workload {
        /// Why.
        source: WorkloadError,
    },
    /// The settings tree has faults.
    #[snafu(display("{}: {problems}", path.display()))]
    Tree {
        /// The file.
        path: PathBuf,
        /// All of them.
        problems: String,
    },
    /// Workload, tree and fleet don't fit together.
    #[snafu(display("{}: {source}", path.display()))]
    Scenario {
        /// The experiment file.
        path: PathBuf,
        /// Why.
        source: ScenarioError,
    },
    /// A file of results holds a line that is none.
    #[snafu(display("{} line {line}: {source}", path.display()))]
    Result {
        /// The file.
        path: PathBuf,
        /// The line, from 1.
        line: usize,
        /// Why.
        source: serde_json::Error,
    },
    /// A plot can't be drawn.
    #[snafu(display("can't draw {plot}: {reason}"))]
    Plot {
        /// The plot.
        plot: &'static str,
        /// Why.
        reason: String,
    },
}

/// Engines of one model.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineGroup {
    /// The model they serve.
    pub model: ModelName,
    /// How many.
    pub count: usize,
    /// Zones they stand in, in turn.
    pub zones: Vec<ZoneName>,
    /// Most requests that run at once.
    pub max_batch: Option<usize>,
    /// Blocks of KV memory.
    pub kv_blocks: Option<usize>,
    /// Most tokens computed in one step.
    pub step_tokens: Option<u32>,
    /// Milliseconds of a step that do not depend on the batch.
    pub step_base_ms: Option<f64>,
    /// Microseconds each decoding request adds to a step.
    pub step_per_decode_us: Option<f64>,
    /// Microseconds each prompt token adds to a step.
    pub step_per_prefill_token_us: Option<f64>,
}

/// A fault of one engine.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultEntry {
    /// The engine, such as `quote-8b-3`.
    pub engine: EngineId,
    /// What goes wrong: `"crash"`, `"leaving"` or `{ slow = 3.0 }`.
    pub kind: FaultKind,
    /// Second at which it begins.
    pub from_second: f64,
    /// Second at which it ends.
    pub until_second: f64,
}

/// A policy by its name in files.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PolicyName {
    /// The daemon's policy.
    Courseshed,
    /// Baseline.
    FirstComeLeastLoad,
    /// Baseline.
    PrefixAffinity,
    /// Baseline.
    PerCallFair,
}

impl FromStr for PolicyName {
    type Err = String;

    fn from_str(text: &str) -> Result<PolicyName, String> {
        let found = all_policies()
            .into_iter()
            .find(|policy| policy.as_str() == text);
        found.ok_or_else(|| {
            let names: Vec<&str> = all_policies()
                .iter()
                .map(|policy| policy.as_str())
                .collect();
            format!("no policy is called {text}; there are {}", names.join(", "))
        })
    }
}

/// An experiment, as its file states it. Paths are relative to the file.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExperimentFile {
    /// The workload file.
    pub workload: PathBuf,
    /// The settings tree.
    pub tree: PathBuf,
    /// Policies to compare.
    #[serde(default = "all_policies")]
    pub policies: Vec<PolicyName>,
    /// Loads, as parts of the fleet's capacity.
    pub loads: Vec<f64>,
    /// Seeds to report; none of them may be a seed of calibration.
    pub seeds: Vec<u64>,
    /// Seeds on which capacity is measured.
    #[serde(default = "calibration_seeds")]
    pub calibration_seeds: Vec<u64>,
    /// Programs per second that fill the fleet; measured where none is given.
    pub capacity: Option<f64>,
    /// How long programs arrive.
    #[serde(deserialize_with = "duration")]
    pub duration: Duration,
    /// Programs that arrive before this are not measured.
    #[serde(deserialize_with = "duration")]
    pub warm_up: Duration,
    /// How long programs may go on after the last arrival.
    #[serde(deserialize_with = "duration")]
    pub drain: Duration,
    /// The fleet.
    pub engines: Vec<EngineGroup>,
    /// What goes wrong with engines.
    #[serde(default)]
    pub faults: Vec<FaultEntry>,
    /// Branches that send more for a while; every seed is run with and without them.
    #[serde(default)]
    pub surges: Vec<Surge>,
}

impl ExperimentFile {
    /// Reads and checks an experiment file.
    pub fn load(path: &Path) -> Result<ExperimentFile, ExperimentError> {
        let text = fs::read_to_string(path).context(ReadSnafu { path })?;
        let file: ExperimentFile = toml::from_str(&text)
            .map_err(Box::new)
            .context(ParseSnafu { path })?;
        file.check(path)?;
        Ok(file)
    }

    fn check(&self, path: &Path) -> Result<(), ExperimentError> {
        let invalid = |key, reason: &str| InvalidSnafu { path, key, reason }.fail();
        if self.policies.is_empty() {
            return invalid("policies", "name at least one, such as \"courseshed\"");
        }
        if self.seeds.is_empty() || self.calibration_seeds.is_empty() {
            return invalid(
                "seeds",
                "name at least one to report and one to calibrate on",
            );
        }
        if self
            .seeds
            .iter()
            .any(|seed| self.calibration_seeds.contains(seed))
        {
            return invalid("seeds", "a seed of calibration may not be reported");
        }
        let is_load = |load: &f64| load.is_finite() && *load > 0.0;
        if self.loads.is_empty() || !self.loads.iter().all(is_load) {
            return invalid("loads", "must be parts of capacity above 0, such as 0.9");
        }
        if self.capacity.is_some_and(|capacity| !is_load(&capacity)) {
            return invalid("capacity", "must be programs per second above 0");
        }
        if self.warm_up >= self.duration {
            return invalid("warm_up", "must be shorter than duration");
        }
        if self
            .engines
            .iter()
            .any(|group| group.count == 0 || group.zones.is_empty())
        {
            return invalid("engines", "each group needs a count above 0 and a zone");
        }
        Ok(())
    }
}

fn all_policies() -> Vec<PolicyName> {
    vec![
        PolicyName::Courseshed,
        PolicyName::FirstComeLeastLoad,
        PolicyName::PrefixAffinity,
        PolicyName::PerCallFair,
    ]
}

fn calibration_seeds() -> Vec<u64> {
    vec![1, 2, 3]
}

fn duration<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    let text = String::deserialize(deserializer)?;
    humantime::parse_duration(&text).map_err(|error| {
        let message = format!("`{text}` is not a duration ({error}); write 90s or 10m");
        serde::de::Error::custom(message)
    })
}
