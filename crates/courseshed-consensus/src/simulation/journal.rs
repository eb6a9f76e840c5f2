//! The state machine of the simulation: a list of the writes applied.

use crate::{LogIndex, RestoreError, StateMachine};

/// Names a write of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct WriteId(pub(super) u64);

impl WriteId {
    pub(super) fn encode(self) -> Vec<u8> {
        self.0.to_be_bytes().to_vec()
    }
}

/// Where a write stands among all writes, from 1.
pub(super) type Position = usize;

/// All writes applied, in order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Journal {
    writes: Vec<u64>,
}

impl Journal {
    pub(super) fn len(&self) -> Position {
        self.writes.len()
    }

    pub(super) fn writes(&self) -> Vec<WriteId> {
        self.writes.iter().copied().map(WriteId).collect()
    }

    pub(super) fn last(&self) -> Option<WriteId> {
        self.writes.last().copied().map(WriteId)
    }
}

impl StateMachine for Journal {
    type Output = Position;

    fn apply(&mut self, _: LogIndex, data: &[u8]) -> Position {
        let bytes = data.try_into().expect("a write has the size of its id");
        self.writes.push(u64::from_be_bytes(bytes));
        self.writes.len()
    }

    fn snapshot(&self) -> Vec<u8> {
        rmp_serde::to_vec(&self.writes).expect("a list of numbers can be encoded")
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), RestoreError> {
        let writes = rmp_serde::from_slice(snapshot);
        self.writes = writes.map_err(|error| RestoreError::new(error.to_string()))?;
        Ok(())
    }
}
