//! The state machine that the replicated log of a shard drives.

use courseshed_consensus::{LogIndex, RestoreError, StateMachine};
use courseshed_programs::{ApplyResult, Shard, decode_command};
use courseshed_types::Timestamp;

/// A shard, with the time of the step under way: the log applies commands without knowing the time.
#[derive(Debug)]
pub struct ShardMachine {
    /// The shard.
    pub shard: Shard,
    /// The time of the step under way.
    pub now: Timestamp,
}

impl StateMachine for ShardMachine {
    type Output = Option<ApplyResult>;

    fn apply(&mut self, index: LogIndex, data: &[u8]) -> Option<ApplyResult> {
        match decode_command(data) {
            Ok(command) => Some(self.shard.apply(self.now, index.0, &command)),
            Err(error) => {
                log::error!(index = index.0; "a committed command can't be read: {error}");
                None
            }
        }
    }

    fn snapshot(&self) -> Vec<u8> {
        self.shard.snapshot()
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), RestoreError> {
        self.shard
            .restore(snapshot)
            .map_err(|error| RestoreError::new(error.to_string()))
    }
}
