//! The driver that wires a peer, its storage and a state machine together.
//!
//! It is synchronous and has no clock: the daemon, the simulator and the tests all call it with the
//! time. Calls that take something in only change memory; `take_outputs` writes to the storage, so
//! that one flush serves all that came in since the last one.
//!
//! Invariant: once the storage failed, the replica answers nothing and acknowledges nothing.

use std::time::Duration;

use bytes::Bytes;
use snafu::{ResultExt, Snafu};

use crate::{
    ChangeError, Entry, EntryPayload, LogIndex, LogStorage, MembershipChange, Message, Peer,
    PeerConfig, PeerStatus, ProposalId, ProposeError, ReadId, ReadReady, Ready, ReplicaId,
    RoleChange, SettingsError, Snapshot, StorageError, Term, TransferError,
};

/// A deterministic state machine: the same entries in the same order give the same state.
pub trait StateMachine {
    /// What applying a command answers.
    type Output;

    /// Applies a committed command.
    fn apply(&mut self, index: LogIndex, data: &[u8]) -> Self::Output;

    /// The whole state, from which [`StateMachine::restore`] makes an equal one.
    fn snapshot(&self) -> Vec<u8>;

    /// Replaces the whole state.
    ///
    /// # Errors
    /// [`RestoreError`] when the data isn't a snapshot of this state machine.
    fn restore(&mut self, snapshot: &[u8]) -> Result<(), RestoreError>;
}

/// A state machine can't read a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("the snapshot can't be read: {reason}"))]
pub struct RestoreError {
    /// What is wrong.
    pub reason: String,
}

impl RestoreError {
    /// Says what is wrong with a snapshot.
    pub fn new(reason: impl Into<String>) -> Self {
        Self {
            reason: reason.into(),
        }
    }
}

/// Why a replica can't start, or stopped.
#[derive(Debug, Snafu)]
pub enum GroupError {
    /// The settings can't work.
    #[snafu(display("{source}"))]
    Settings {
        /// The first setting that can't.
        source: SettingsError,
    },
    /// The storage failed.
    #[snafu(display("{source}"))]
    Storage {
        /// How.
        source: StorageError,
    },
    /// The state machine refused a snapshot.
    #[snafu(display("{source}"))]
    UnreadableSnapshot {
        /// Why.
        source: RestoreError,
    },
    /// A leader asked to replace committed entries.
    #[snafu(display("a leader asked to replace committed entries; two groups may share an id"))]
    Inconsistent,
}

/// The outcome of one applied command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Applied<Output> {
    /// Where the command stands in the log.
    pub index: LogIndex,
    /// The term of its entry: the proposal of this index and term, and no other, was committed.
    pub term: Term,
    /// What the state machine answered.
    pub output: Output,
}

/// What came of all calls since the last time.
#[derive(Clone, Debug)]
pub struct GroupOutputs<Output> {
    /// Messages to send. They may be lost, repeated and reordered.
    pub messages: Vec<Message>,
    /// Commands applied, in order. After a snapshot from the leader some are skipped.
    pub applied: Vec<Applied<Output>>,
    /// Read barriers that may be answered now: their index is applied.
    pub reads: Vec<ReadReady>,
    /// Changes of role, leader or term, in order. Pending reads of a former leader are void.
    pub role_changes: Vec<RoleChange>,
    /// The index of a leader's snapshot that replaced the state machine's content.
    pub installed: Option<LogIndex>,
}

impl<Output> Default for GroupOutputs<Output> {
    fn default() -> Self {
        Self {
            messages: Vec::new(),
            applied: Vec::new(),
            reads: Vec::new(),
            role_changes: Vec::new(),
            installed: None,
        }
    }
}

/// One replica of a group with its storage and its state machine.
#[derive(Debug)]
pub struct ReplicatedGroup<S: LogStorage, M: StateMachine> {
    peer: Peer,
    config: PeerConfig,
    storage: S,
    machine: M,
    outputs: GroupOutputs<M::Output>,
    waiting_reads: Vec<ReadReady>,
    entries_since_snapshot: u64,
    bytes_since_snapshot: usize,
    failure: Option<GroupError>,
}

impl<S: LogStorage, M: StateMachine> ReplicatedGroup<S, M> {
    /// Opens a replica: reads its storage and restores the state machine from the snapshot there.
    ///
    /// # Errors
    /// [`GroupError`] when the settings, the storage or the snapshot are not usable.
    pub fn new(
        mut config: PeerConfig,
        mut storage: S,
        mut machine: M,
        now: Duration,
    ) -> Result<Self, GroupError> {
        config.validate().context(SettingsSnafu)?;
        let restored = storage.load().context(StorageSnafu)?;
        if let Some(incarnation) = restored.incarnation {
            config.incarnation = incarnation;
        }
        let is_new = restored.is_empty();
        let peer = Peer::new(config.clone(), now, restored);
        if is_new && !config.initial_members.is_empty() {
            storage.install(peer.snapshot()).context(StorageSnafu)?;
        }
        restore_machine(&mut machine, peer.snapshot()).context(UnreadableSnapshotSnafu)?;
        Ok(Self {
            peer,
            config,
            storage,
            machine,
            outputs: GroupOutputs::default(),
            waiting_reads: Vec::new(),
            entries_since_snapshot: 0,
            bytes_since_snapshot: 0,
            failure: None,
        })
    }

    /// Breaks a rule on purpose, for the simulation.
    pub(crate) fn with_defect(mut self, defect: crate::peer::Defect) -> Self {
        self.peer = self.peer.with_defect(defect);
        self
    }

    /// Takes in a message from another replica.
    pub fn handle(&mut self, now: Duration, message: Message) {
        if self.failure.is_none() {
            self.peer.step(now, message);
        }
    }

    /// Lets time pass. See [`Peer::tick`].
    pub fn tick(&mut self, now: Duration) {
        if self.failure.is_none() {
            self.peer.tick(now);
        }
    }

    /// Proposes a command. Its outcome is an [`Applied`] with the returned index and term; if that
    /// index is applied with another term, the command was not and never will be committed there.
    ///
    /// # Errors
    /// [`ProposeError`]: nothing was written.
    pub fn propose(
        &mut self,
        now: Duration,
        data: impl Into<Bytes>,
    ) -> Result<ProposalId, ProposeError> {
        self.check_storage()?;
        self.peer.observe(now);
        self.peer.propose(data)
    }

    /// Proposes a change of the members. See [`Peer::propose_membership`].
    ///
    /// # Errors
    /// [`ChangeError`]: nothing was written.
    pub fn propose_membership(
        &mut self,
        now: Duration,
        change: MembershipChange,
    ) -> Result<ProposalId, ChangeError> {
        self.check_storage()?;
        self.peer.observe(now);
        self.peer.propose_membership(change)
    }

    /// Hands leadership over. See [`Peer::transfer_leadership`].
    ///
    /// # Errors
    /// [`TransferError`].
    pub fn transfer_leadership(
        &mut self,
        now: Duration,
        to: ReplicaId,
    ) -> Result<(), TransferError> {
        self.peer.observe(now);
        self.peer.transfer_leadership(to)
    }

    /// Asks for a read barrier. See [`Peer::read_barrier`].
    ///
    /// # Errors
    /// [`ProposeError`].
    pub fn read_barrier(&mut self, now: Duration) -> Result<ReadId, ProposeError> {
        self.check_storage()?;
        self.peer.read_barrier(now)
    }

    /// Writes, applies, and returns all that came of the calls since the last time.
    pub fn take_outputs(&mut self) -> GroupOutputs<M::Output> {
        while self.failure.is_none() && self.peer.has_ready() {
            let ready = self.peer.ready();
            if let Err(failure) = self.process(ready) {
                self.fail(failure);
            }
            if self.peer.is_halted() {
                self.failure = Some(GroupError::Inconsistent);
            }
        }
        std::mem::take(&mut self.outputs)
    }

    fn process(&mut self, ready: Ready) -> Result<(), GroupError> {
        let persisted = ready.persisted();
        if ready.role_change.is_some() {
            // Reads that wait were confirmed for a leadership that has ended.
            self.waiting_reads.clear();
        }
        self.outputs.messages.extend(ready.messages);
        self.outputs.role_changes.extend(ready.role_change);
        if let Some(snapshot) = &ready.install {
            self.install(snapshot)?;
        }
        self.storage.note_committed(self.peer.commit_index());
        if ready.hard_state.is_some() || !ready.entries.is_empty() {
            let written = self
                .storage
                .append(ready.hard_state.as_ref(), &ready.entries);
            written.context(StorageSnafu)?;
        }
        self.outputs.messages.extend(ready.messages_after_persist);
        for entry in &ready.committed {
            self.apply(entry);
        }
        self.peer.advance(persisted);
        self.release_reads(ready.reads);
        self.compact_if_due()
    }

    fn install(&mut self, snapshot: &Snapshot) -> Result<(), GroupError> {
        self.storage.install(snapshot).context(StorageSnafu)?;
        restore_machine(&mut self.machine, snapshot).context(UnreadableSnapshotSnafu)?;
        self.outputs.installed = Some(snapshot.metadata.index);
        self.entries_since_snapshot = 0;
        self.bytes_since_snapshot = 0;
        Ok(())
    }

    fn apply(&mut self, entry: &Entry) {
        self.entries_since_snapshot += 1;
        self.bytes_since_snapshot += entry.size_bytes();
        if let EntryPayload::Data(data) = &entry.payload {
            let output = self.machine.apply(entry.index, data);
            let applied = Applied {
                index: entry.index,
                term: entry.term,
                output,
            };
            self.outputs.applied.push(applied);
        }
    }

    fn release_reads(&mut self, confirmed: Vec<ReadReady>) {
        self.waiting_reads.extend(confirmed);
        let applied = self.peer.applied_index();
        let waiting = std::mem::take(&mut self.waiting_reads);
        let (ready, waiting) = waiting.into_iter().partition(|read| read.index <= applied);
        self.outputs.reads.extend::<Vec<ReadReady>>(ready);
        self.waiting_reads = waiting;
    }

    fn compact_if_due(&mut self) -> Result<(), GroupError> {
        let last_size = self.peer.snapshot().data.len();
        let many_entries = self.entries_since_snapshot >= self.config.snapshot_after_entries;
        let many_bytes = self.bytes_since_snapshot >= self.config.snapshot_after_bytes;
        // A large state is written less often, so that snapshots cost no more than the log itself.
        let is_worth_it = self.bytes_since_snapshot >= last_size / 2;
        if (many_entries || many_bytes) && is_worth_it {
            self.compact()?;
        }
        Ok(())
    }

    /// Takes a snapshot now and drops the log that it replaces.
    fn compact(&mut self) -> Result<(), GroupError> {
        self.entries_since_snapshot = 0;
        self.bytes_since_snapshot = 0;
        let data = self.machine.snapshot();
        let Some(snapshot) = self.peer.compact(self.peer.applied_index(), data) else {
            return Ok(());
        };
        let first_kept = snapshot.metadata.index.next();
        self.storage
            .compact(&snapshot, first_kept)
            .context(StorageSnafu)
    }

    fn fail(&mut self, failure: GroupError) {
        log::error!(group = self.config.group.0, replica = self.config.id.0; "replica stopped: {failure}");
        self.peer.step_down();
        let final_ready = self.peer.ready();
        self.outputs.messages.extend(final_ready.messages);
        self.outputs.role_changes.extend(final_ready.role_change);
        self.failure = Some(failure);
    }

    fn check_storage(&self) -> Result<(), ProposeError> {
        if self.failure.is_some() {
            return Err(ProposeError::StorageFailed);
        }
        Ok(())
    }

    /// Why the replica stopped, if it did. It must be opened anew.
    #[must_use]
    pub fn failure(&self) -> Option<&GroupError> {
        self.failure.as_ref()
    }

    /// Whether this replica leads, and its storage works.
    #[must_use]
    pub fn is_leader(&self) -> bool {
        self.failure.is_none() && self.peer.is_leader()
    }

    /// Whether this replica leads and has applied all that was committed before its term, so that
    /// its state machine may be decided upon.
    #[must_use]
    pub fn is_established(&self) -> bool {
        self.is_leader()
            && self.peer.is_established()
            && self.peer.applied_index() == self.peer.commit_index()
    }

    /// The leader, as far as known.
    #[must_use]
    pub fn leader(&self) -> Option<ReplicaId> {
        self.peer.leader()
    }

    /// The current term.
    #[must_use]
    pub fn term(&self) -> Term {
        self.peer.term()
    }

    /// Whether the state machine may be read at `now` without asking the other replicas.
    #[must_use]
    pub fn lease_valid(&self, now: Duration) -> bool {
        self.is_established() && self.peer.lease_valid(now)
    }

    /// When [`ReplicatedGroup::tick`] has something to do next; `Duration::MAX` when never.
    #[must_use]
    pub fn next_wakeup(&self) -> Duration {
        if self.failure.is_some() {
            return Duration::MAX;
        }
        self.peer.next_wakeup()
    }

    /// A summary for operators and metrics.
    #[must_use]
    pub fn status(&self) -> PeerStatus {
        self.peer.status()
    }

    /// The peer, for reading.
    #[must_use]
    pub fn peer(&self) -> &Peer {
        &self.peer
    }

    /// The state machine.
    #[must_use]
    pub fn machine(&self) -> &M {
        &self.machine
    }

    /// The state machine, for the leader's soft state only: what is replicated changes by proposals
    /// alone.
    pub fn machine_mut(&mut self) -> &mut M {
        &mut self.machine
    }

    /// Closes the replica and gives its storage back.
    pub fn into_storage(self) -> S {
        self.storage
    }
}

fn restore_machine<M: StateMachine>(
    machine: &mut M,
    snapshot: &Snapshot,
) -> Result<(), RestoreError> {
    if snapshot.metadata.index == LogIndex(0) {
        return Ok(());
    }
    machine.restore(&snapshot.data)
}
