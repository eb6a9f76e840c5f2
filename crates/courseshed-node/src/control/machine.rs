//! The state machine that the controllers' replicated log drives.

use courseshed_consensus::{LogIndex, RestoreError, StateMachine};
use courseshed_control::{Applied, ControlState};

/// The control state as the log sees it.
#[derive(Debug, Default)]
pub struct ControlMachine {
    /// The state.
    pub state: ControlState,
}

impl StateMachine for ControlMachine {
    type Output = Applied;

    fn apply(&mut self, index: LogIndex, data: &[u8]) -> Applied {
        self.state.apply(index.0, data)
    }

    fn snapshot(&self) -> Vec<u8> {
        match self.state.snapshot() {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!("{error}");
                Vec::new()
            }
        }
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), RestoreError> {
        let restored = ControlState::restore(snapshot);
        self.state = restored.map_err(|error| RestoreError::new(error.to_string()))?;
        Ok(())
    }
}
