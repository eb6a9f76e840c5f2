//! The scheduler, as its driver sees it.

use std::time::Duration;

use courseshed_types::NodeId;

use crate::{CallDemand, CallNote, Decision, EngineListing, RunningCall};

/// Decides for one pool. See the crate's documentation.
#[derive(Debug, Default)]
pub struct PoolScheduler {
    decisions: Vec<Decision>,
}

impl PoolScheduler {
    /// A scheduler that knows nothing yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in the whole list of the pool's engines.
    pub fn set_engines(&mut self, _now: Duration, _engines: &[EngineListing]) {}

    /// A gateway asks for an engine for a call, or asks again, which keeps the call's place.
    pub fn ask(&mut self, _now: Duration, _gateway: NodeId, _demand: CallDemand) {}

    /// Takes in what became of a gateway's calls; ends both granted and waiting ones.
    pub fn note(&mut self, _now: Duration, _gateway: NodeId, _notes: &[CallNote]) {}

    /// Takes in all calls that a gateway has at the pool's engines: what it does not name is over.
    pub fn set_running(&mut self, _now: Duration, _gateway: NodeId, _calls: &[RunningCall]) {}

    /// Forgets calls whose gateway fell silent, and decides what is due.
    pub fn tick(&mut self, _now: Duration) {}

    /// What was decided since the last call.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }
}
