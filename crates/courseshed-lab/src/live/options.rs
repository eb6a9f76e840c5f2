//! What a run of callers is asked to do.

use super::{checks::CheckLimits, draw::DrawOptions, gateways::CallerKey, retry::Patience};

/// What a run of callers is asked to do.
#[derive(Debug, Clone)]
pub struct LoadOptions {
    /// URLs of the gateways.
    pub urls: Vec<String>,
    /// Keys of the callers.
    pub keys: Vec<CallerKey>,
    /// An operator's key, to read the state of nodes.
    pub operator_key: Option<String>,
    /// URLs of the emulated engines, to learn what ran; without them several promises can't be judged.
    pub engines: Vec<String>,
    /// The programs.
    pub draw: DrawOptions,
    /// How long callers wait.
    pub patience: Patience,
    /// What the checks allow.
    pub limits: CheckLimits,
}
