//! The control state as the state machine of the replicated log.

use courseshed_consensus::{LogIndex, RestoreError, StateMachine};

use crate::{Applied, ControlState};

/// The control state behind the log.
#[derive(Debug, Default)]
pub(super) struct ControlMachine {
    pub state: ControlState,
}

impl StateMachine for ControlMachine {
    type Output = Applied;

    fn apply(&mut self, index: LogIndex, data: &[u8]) -> Applied {
        self.state.apply(index.0, data)
    }

    fn snapshot(&self) -> Vec<u8> {
        self.state.snapshot().unwrap_or_default()
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), RestoreError> {
        let restored = ControlState::restore(snapshot);
        self.state = restored.map_err(|error| RestoreError::new(error.to_string()))?;
        Ok(())
    }
}
