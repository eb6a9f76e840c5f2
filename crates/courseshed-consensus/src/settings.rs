//! Settings of one replica, and their checks.

use std::time::Duration;

use snafu::{Snafu, ensure};

use crate::{Configuration, GroupId, ReplicaAddress, ReplicaId};

const DEFAULT_ELECTION_TIMEOUT: Duration = Duration::from_millis(1000);
const DEFAULT_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
const DEFAULT_MAX_BATCH_BYTES: usize = 256 * 1024;
const DEFAULT_MAX_INFLIGHT: usize = 64;
const DEFAULT_MAX_UNCOMMITTED_ENTRIES: u64 = 16 * 1024;
const DEFAULT_MAX_ENTRY_BYTES: usize = 16 * 1024 * 1024;
const DEFAULT_SNAPSHOT_CHUNK_BYTES: usize = 256 * 1024;
const DEFAULT_CLOCK_DRIFT_PERMILLE: u32 = 50;
const DEFAULT_PROMOTION_LAG: u64 = 64;
const DEFAULT_RETAINED_ENTRIES: u64 = 1024;
/// Half of what is written between two snapshots: a follower that lacks more is better served by the
/// snapshot, which is seldom larger.
const DEFAULT_RETAINED_BYTES: usize = 4 * 1024 * 1024;
const DEFAULT_SNAPSHOT_AFTER_ENTRIES: u64 = 8 * 1024;
const DEFAULT_SNAPSHOT_AFTER_BYTES: usize = 8 * 1024 * 1024;
/// Heartbeats that must fit into an election timeout, so that one lost message changes nothing.
const MIN_HEARTBEATS_PER_TIMEOUT: u32 = 2;
const PERMILLE: u32 = 1000;

/// Settings of one replica.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PeerConfig {
    /// The group the replica belongs to.
    pub group: GroupId,
    /// The replica's id.
    pub id: ReplicaId,
    /// The replica's incarnation. A storage that keeps one overrules it (see `LogStorage`).
    pub incarnation: u64,
    /// The members to start with when the storage is empty. Empty: wait for a leader to admit us.
    /// Every initial member must be given the very same ones, once in the life of a group.
    pub initial_members: Configuration,
    /// Least time without a leader before an election; at most twice as long, by the seed.
    pub election_timeout: Duration,
    /// Time between heartbeats of an idle leader.
    pub heartbeat_interval: Duration,
    /// Bytes of entries in one message; one entry always fits.
    pub max_batch_bytes: usize,
    /// Appends sent to a follower before the first is answered.
    pub max_inflight: usize,
    /// Uncommitted entries beyond which proposals are refused as busy.
    pub max_uncommitted_entries: u64,
    /// Largest proposal.
    pub max_entry_bytes: usize,
    /// Whether the leader may answer reads under a lease without asking a quorum each time.
    pub lease: bool,
    /// Most by which two replicas' clocks may differ in rate, in thousandths.
    pub clock_drift_permille: u32,
    /// Whether to ask before disturbing a working leader with an election.
    pub pre_vote: bool,
    /// Whether a leader steps down that no longer hears a quorum. The lease needs it.
    pub check_quorum: bool,
    /// Whether the leader readmits members that return in a later incarnation.
    pub readmit: bool,
    /// Entries a member may lack of the log when it is made a voter.
    pub promotion_lag: u64,
    /// Whether followers are told at once of a commit, not only with the next append.
    pub eager_commit: bool,
    /// Bytes of a snapshot in one message.
    pub snapshot_chunk_bytes: usize,
    /// Entries kept behind a snapshot for followers that are a little late.
    pub retained_entries: u64,
    /// Bytes of entries kept behind a snapshot at the most: entries may be large.
    pub retained_bytes: usize,
    /// Entries applied since the last snapshot after which a new one is taken.
    pub snapshot_after_entries: u64,
    /// Bytes of entries applied since the last snapshot after which a new one is taken.
    pub snapshot_after_bytes: usize,
    /// Seeds the spread of election timeouts.
    pub seed: u64,
}

/// Why settings can't work.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum SettingsError {
    /// Heartbeats come too seldom.
    #[snafu(display(
        "the heartbeat interval of {heartbeat_interval:?} must fit twice into the election timeout of {election_timeout:?}"
    ))]
    HeartbeatTooSlow {
        /// Time between heartbeats.
        heartbeat_interval: Duration,
        /// Least election timeout.
        election_timeout: Duration,
    },
    /// A size or count that must be positive is zero.
    #[snafu(display("{setting} must not be zero"))]
    Zero {
        /// The setting's name.
        setting: &'static str,
    },
    /// A lease without its precondition.
    #[snafu(display("a lease needs check_quorum, and a clock drift below 1000 permille"))]
    UnsafeLease,
}

impl PeerConfig {
    /// Settings with defaults for a local network.
    #[must_use]
    pub fn new(group: GroupId, address: ReplicaAddress, initial_members: Configuration) -> Self {
        Self {
            group,
            id: address.replica,
            incarnation: address.incarnation,
            initial_members,
            election_timeout: DEFAULT_ELECTION_TIMEOUT,
            heartbeat_interval: DEFAULT_HEARTBEAT_INTERVAL,
            max_batch_bytes: DEFAULT_MAX_BATCH_BYTES,
            max_inflight: DEFAULT_MAX_INFLIGHT,
            max_uncommitted_entries: DEFAULT_MAX_UNCOMMITTED_ENTRIES,
            max_entry_bytes: DEFAULT_MAX_ENTRY_BYTES,
            lease: true,
            clock_drift_permille: DEFAULT_CLOCK_DRIFT_PERMILLE,
            pre_vote: true,
            check_quorum: true,
            readmit: true,
            promotion_lag: DEFAULT_PROMOTION_LAG,
            eager_commit: true,
            snapshot_chunk_bytes: DEFAULT_SNAPSHOT_CHUNK_BYTES,
            retained_entries: DEFAULT_RETAINED_ENTRIES,
            retained_bytes: DEFAULT_RETAINED_BYTES,
            snapshot_after_entries: DEFAULT_SNAPSHOT_AFTER_ENTRIES,
            snapshot_after_bytes: DEFAULT_SNAPSHOT_AFTER_BYTES,
            seed: address.incarnation,
        }
    }

    /// Checks that the settings fit together.
    ///
    /// # Errors
    /// [`SettingsError`] names the first setting that can't work.
    pub fn validate(&self) -> Result<(), SettingsError> {
        ensure!(
            self.heartbeat_interval * MIN_HEARTBEATS_PER_TIMEOUT <= self.election_timeout,
            HeartbeatTooSlowSnafu {
                heartbeat_interval: self.heartbeat_interval,
                election_timeout: self.election_timeout,
            }
        );
        let sizes = [
            ("max_batch_bytes", self.max_batch_bytes),
            ("max_inflight", self.max_inflight),
            ("max_entry_bytes", self.max_entry_bytes),
            ("snapshot_chunk_bytes", self.snapshot_chunk_bytes),
        ];
        for (setting, size) in sizes {
            ensure!(size > 0, ZeroSnafu { setting });
        }
        let lease_is_safe = self.check_quorum && self.clock_drift_permille < PERMILLE;
        ensure!(!self.lease || lease_is_safe, UnsafeLeaseSnafu);
        Ok(())
    }

    /// The replica's own address.
    #[must_use]
    pub fn address(&self) -> ReplicaAddress {
        ReplicaAddress::new(self.id, self.incarnation)
    }

    /// How long after the sending of a heartbeat that a quorum answered a leader may serve reads.
    /// Shorter than the election timeout by the clock drift.
    #[must_use]
    pub fn lease_duration(&self) -> Duration {
        self.election_timeout * (PERMILLE - self.clock_drift_permille) / PERMILLE
    }
}
