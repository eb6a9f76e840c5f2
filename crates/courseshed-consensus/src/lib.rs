//! The replicated log: a sans-I/O consensus state machine and its storages.
//!
//! [`Peer`] is the state machine of one replica: it has no clock, socket, thread or random source.
//! [`LogStorage`] keeps what must survive, on disk or in memory. [`ReplicatedGroup`] wires a peer, a
//! storage and a [`StateMachine`] together; the daemon, the simulator and the tests all drive that.
//!
//! The protocol is Raft (Ongaro and Ousterhout, USENIX ATC 2014) with pre-vote, check-quorum, leader
//! leases, one-at-a-time membership changes, and incarnations, by which a replica without a disk can
//! lose its memory without breaking a promise. See `docs/design/replicated-log.md`.

mod configuration;
mod entry;
mod error;
mod group;
mod ids;

mod message;
pub mod model;
mod peer;
mod progress;
mod ready;
mod replica_log;
mod settings;
pub mod simulation;
mod status;
mod storage;

pub use configuration::{Configuration, Member, MemberRole, MembershipChange, MembershipError};
pub use entry::{Entry, EntryPayload, HardState, Restored, Snapshot, SnapshotMetadata};
pub use error::{ChangeError, ProposalId, ProposeError, TransferError};
pub use group::{Applied, GroupError, GroupOutputs, ReplicatedGroup, RestoreError, StateMachine};
pub use ids::{GroupId, LogIndex, ReplicaAddress, ReplicaId, Term};
pub use message::{AppendOutcome, LogEnd, Message, MessageBody, Probe};
pub use peer::Peer;
pub use ready::{Persisted, ReadId, ReadReady, Ready, RoleChange, RoleName};
pub use settings::{PeerConfig, SettingsError};
pub use status::{FollowerStatus, PeerStatus};
pub use storage::{
    DiskFault, DiskLog, FaultSwitch, FaultyLog, LogStorage, StorageError, VolatileLog, frame,
};
