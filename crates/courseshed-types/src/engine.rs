//! What is said of engines: who they are, and what they compute.

use serde::{Deserialize, Serialize};

use crate::{dispatch::EngineMember, ids::MapEpoch};

/// The engines known, as the platform's list (which lags) or the settings file names them.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineDirectory {
    /// Grows with every change.
    pub epoch: MapEpoch,
    /// All engines, by id.
    pub engines: Vec<EngineMember>,
}

/// What an engine computes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Prompts and answers.
    #[default]
    Both,
    /// Prompts.
    Prefill,
    /// Answers.
    Decode,
}
