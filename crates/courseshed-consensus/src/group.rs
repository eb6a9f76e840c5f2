//! The driver that combines a peer, its storage and a state machine.
//!
//! It is synchronous and has no clock; callers pass the current time. Inputs only change memory, and
//! `take_outputs` writes to the storage, so that one flush covers all inputs since the last call.
//!
//! Invariant: after a storage failure the replica neither processes messages nor acknowledges entries.

use std::time::Duration;

use bytes::Bytes;
use snafu::{ResultExt, Snafu};

use crate::{
    ChangeError, Entry, EntryPayload, LogIndex, LogStorage, MembershipChange, Message, Peer,
    PeerConfig, PeerStatus, ProposalId, ProposeError, ReadId, ReadReady, Ready, ReplicaAddress,
    ReplicaId, RoleChange, SettingsError, Snapshot, StorageError, Term, TransferError,
};

/// A deterministic state machine: the same entries in the same order give the same state.
pub trait StateMachine {
    /// The result of applying a command.
    type Output;

    /// Applies a committed command.
    fn apply(&mut self, index: LogIndex, data: &[u8]) -> Self::Output;

    /// Serializes the whole state for [`StateMachine::restore`].
    fn snapshot(&self) -> Vec<u8>;

    /// Replaces the whole state with a snapshot.
    ///
    /// # Errors
    /// [`RestoreError`] if the data is not a valid snapshot of this state machine.
    fn restore(&mut self, snapshot: &[u8]) -> Result<(), RestoreError>;
}

/// A state machine failed to decode a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("cannot restore the state machine from its snapshot: {reason}"))]
pub struct RestoreError {
    /// A description of the error.
    pub reason: String,
}

impl RestoreError {
    /// Creates an error with the given description.
    pub fn new(reason: impl Into<String>) -> Self {
        Self {
            reason: reason.into(),
        }
    }
}

/// Errors that prevent a replica from starting or make it stop.
#[derive(Debug, Snafu)]
pub enum GroupError {
    /// The settings are invalid.
    #[snafu(display("{source}"))]
    Settings {
        /// The first invalid setting.
        source: SettingsError,
    },
    /// The storage failed.
    #[snafu(display("{source}"))]
    Storage {
        /// The storage error.
        source: StorageError,
    },
    /// The state machine could not be restored from a snapshot.
    #[snafu(display("{source}"))]
    UnreadableSnapshot {
        /// The cause.
        source: RestoreError,
    },
    /// A leader tried to overwrite committed entries.
    #[snafu(display(
        "a leader tried to overwrite committed entries; two groups may have the same ID"
    ))]
    Inconsistent,
}

/// The outcome of one applied command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Applied<Output> {
    /// Log index of the command.
    pub index: LogIndex,
    /// Term of its entry. Only the proposal with this index and term was committed.
    pub term: Term,
    /// Result of the state machine.
    pub output: Output,
}

/// The outputs of all calls since the previous [`ReplicatedGroup::take_outputs`].
#[derive(Clone, Debug)]
pub struct GroupOutputs<Output> {
    /// Messages to send. The protocol tolerates loss, duplication and reordering.
    pub messages: Vec<Message>,
    /// Applied commands, in order. Commands covered by an installed snapshot are skipped.
    pub applied: Vec<Applied<Output>>,
    /// Confirmed read barriers whose index is applied.
    pub reads: Vec<ReadReady>,
    /// Changes of role, leader or term, in order. They invalidate pending reads.
    pub role_changes: Vec<RoleChange>,
    /// Index of an installed leader snapshot that replaced the state machine's state.
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
    /// Opens a replica: loads its storage and restores the state machine from the stored snapshot.
    ///
    /// # Errors
    /// [`GroupError`] if the settings, the storage or the snapshot are invalid.
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

    /// Injects a protocol defect, to test the simulator.
    pub(crate) fn with_defect(mut self, defect: crate::peer::Defect) -> Self {
        self.peer = self.peer.with_defect(defect);
        self
    }

    /// Processes a message from another replica.
    pub fn handle(&mut self, now: Duration, message: Message) {
        if self.failure.is_none() {
            self.peer.step(now, message);
        }
    }

    /// Advances the clock. See [`Peer::tick`].
    pub fn tick(&mut self, now: Duration) {
        if self.failure.is_none() {
            self.peer.tick(now);
        }
    }

    /// Proposes a command. When committed, it is returned as an [`Applied`] with the same index and
    /// term. If the index is applied with another term, the command was discarded.
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

    /// Proposes a membership change. See [`Peer::propose_membership`].
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

    /// Admits a replica that asks to join. See [`Peer::admit`].
    ///
    /// # Errors
    /// [`ChangeError`]: nothing was written.
    pub fn admit(
        &mut self,
        now: Duration,
        address: ReplicaAddress,
    ) -> Result<Option<MembershipChange>, ChangeError> {
        self.check_storage()?;
        self.peer.observe(now);
        self.peer.admit(address)
    }

    /// Transfers leadership. See [`Peer::transfer_leadership`].
    ///
    /// # Errors
    /// [`TransferError`] if the transfer can't be started.
    pub fn transfer_leadership(
        &mut self,
        now: Duration,
        to: ReplicaId,
    ) -> Result<(), TransferError> {
        self.peer.observe(now);
        self.peer.transfer_leadership(to)
    }

    /// Requests a read barrier. See [`Peer::read_barrier`].
    ///
    /// # Errors
    /// [`ProposeError`] if this replica is not the leader or has stopped.
    pub fn read_barrier(&mut self, now: Duration) -> Result<ReadId, ProposeError> {
        self.check_storage()?;
        self.peer.read_barrier(now)
    }

    /// Persists and applies pending work, and returns the outputs since the previous call.
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
            // Waiting reads were confirmed under a leadership that may have ended.
            self.waiting_reads.clear();
        }
        self.outputs.messages.extend(ready.messages);
        self.outputs.role_changes.extend(ready.role_change);
        if let Some(snapshot) = &ready.install {
            self.install(snapshot)?;
        }
        self.storage
            .note_committed(self.peer.durable_commit_index());
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
        // Large states are written less often, to bound the snapshot writes relative to the log.
        let outweighs_last_snapshot = self.bytes_since_snapshot >= last_size / 2;
        if (many_entries || many_bytes) && outweighs_last_snapshot {
            self.compact()?;
        }
        Ok(())
    }

    /// Takes a snapshot and compacts the log.
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

    /// Why the replica stopped, if it did. It must be reopened.
    #[must_use]
    pub fn failure(&self) -> Option<&GroupError> {
        self.failure.as_ref()
    }

    /// Whether this replica is the leader and has not failed.
    #[must_use]
    pub fn is_leader(&self) -> bool {
        self.failure.is_none() && self.peer.is_leader()
    }

    /// Whether this replica is the leader, has committed an entry of its term and has applied all
    /// committed entries, so that decisions may be based on its state machine.
    #[must_use]
    pub fn is_established(&self) -> bool {
        self.is_leader()
            && self.peer.is_established()
            && self.peer.applied_index() == self.peer.commit_index()
    }

    /// The leader of the current term, if known.
    #[must_use]
    pub fn leader(&self) -> Option<ReplicaId> {
        self.peer.leader()
    }

    /// The latest term this replica has seen.
    #[must_use]
    pub fn term(&self) -> Term {
        self.peer.term()
    }

    /// Whether the state machine may be read at `now` without contacting the other replicas.
    #[must_use]
    pub fn lease_valid(&self, now: Duration) -> bool {
        self.is_established() && self.peer.lease_valid(now)
    }

    /// When the next timer expires; `Duration::MAX` if there is none.
    #[must_use]
    pub fn next_wakeup(&self) -> Duration {
        if self.failure.is_some() {
            return Duration::MAX;
        }
        self.peer.next_wakeup()
    }

    /// A snapshot of the replica's state for operators and metrics.
    #[must_use]
    pub fn status(&self) -> PeerStatus {
        self.peer.status()
    }

    /// The underlying peer.
    #[must_use]
    pub fn peer(&self) -> &Peer {
        &self.peer
    }

    /// The state machine.
    #[must_use]
    pub fn machine(&self) -> &M {
        &self.machine
    }

    /// Mutable access to the state machine, for unreplicated state only. Replicated state must be
    /// changed only through proposals.
    pub fn machine_mut(&mut self) -> &mut M {
        &mut self.machine
    }

    /// Closes the replica and returns its storage.
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
