//! The replicated log: a sans-I/O Raft implementation and its storage backends.
//!
//! [`Peer`] is the protocol state machine of one replica, without a clock, socket, thread or random
//! source. [`LogStorage`] persists its state. [`ReplicatedGroup`] combines a peer, a storage and a
//! [`StateMachine`], and is driven by the daemon, the simulator and the tests alike.
//!
//! The protocol is Raft (Ongaro and Ousterhout, USENIX ATC 2014) with pre-vote, check-quorum, leader
//! leases, single-server membership changes, and incarnations, which let a replica without a disk
//! safely rejoin after losing its state. See `docs/design/replicated-log.md`.

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
