//! What nodes tell each other about the engines of a region.

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
