//! Settings of a replica and their validation.

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
/// Half of `DEFAULT_SNAPSHOT_AFTER_BYTES`: a follower that lags further is sent the snapshot instead.
const DEFAULT_RETAINED_BYTES: usize = 4 * 1024 * 1024;
const DEFAULT_SNAPSHOT_AFTER_ENTRIES: u64 = 8 * 1024;
const DEFAULT_SNAPSHOT_AFTER_BYTES: usize = 8 * 1024 * 1024;
/// Minimum heartbeats per election timeout, so that one lost message doesn't trigger an election.
const MIN_HEARTBEATS_PER_TIMEOUT: u32 = 2;
const PERMILLE: u32 = 1000;

/// Settings of a replica.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PeerConfig {
    /// The group the replica belongs to.
    pub group: GroupId,
    /// The replica's ID.
    pub id: ReplicaId,
    /// The replica's incarnation. Overridden by the incarnation in the storage, if it has one.
    pub incarnation: u64,
    /// The members for bootstrapping a group with empty storage; must be identical on all of them.
    /// Empty for a replica that joins an existing group.
    pub initial_members: Configuration,
    /// Minimum election timeout. The actual timeout is randomized up to twice as long.
    pub election_timeout: Duration,
    /// Time between heartbeats of a leader.
    pub heartbeat_interval: Duration,
    /// Maximum bytes of entries in a message; a larger single entry is sent alone.
    pub max_batch_bytes: usize,
    /// Maximum unacknowledged appends per follower.
    pub max_inflight: usize,
    /// Number of uncommitted entries from which proposals are rejected as busy.
    pub max_uncommitted_entries: u64,
    /// Maximum size of a proposal in bytes.
    pub max_entry_bytes: usize,
    /// Whether the leader may serve reads under a lease without contacting a quorum.
    pub lease: bool,
    /// Maximum difference in rate between two replicas' clocks, in thousandths.
    pub clock_drift_permille: u32,
    /// Whether to hold a pre-vote before an election, to avoid disrupting an active leader.
    pub pre_vote: bool,
    /// Whether a replica that has started asks for an immediate election, which takes place if all
    /// voters state that they are leaderless.
    pub restart_election: bool,
    /// Whether a leader steps down when it loses contact to a quorum. Required for the lease.
    pub check_quorum: bool,
    /// Whether the leader automatically readmits members that return in a later incarnation.
    pub readmit: bool,
    /// Time without an answer after which a voter may be replaced by a learner. The leader then
    /// decides on its own when learners become voters; `None` if only explicit requests do.
    pub voter_silence: Option<Duration>,
    /// Maximum number of missing entries for a member to be promoted to voter.
    pub promotion_lag: u64,
    /// Whether commit index updates are sent immediately instead of with the next append.
    pub eager_commit: bool,
    /// Maximum bytes of snapshot data in a message.
    pub snapshot_chunk_bytes: usize,
    /// Maximum number of entries retained behind a snapshot for lagging followers.
    pub retained_entries: u64,
    /// Maximum bytes of entries retained behind a snapshot, since single entries may be large.
    pub retained_bytes: usize,
    /// Number of entries applied since the last snapshot that triggers a new one.
    pub snapshot_after_entries: u64,
    /// Bytes of entries applied since the last snapshot that trigger a new one.
    pub snapshot_after_bytes: usize,
    /// Seed for randomizing election timeouts.
    pub seed: u64,
}

/// Errors of invalid settings.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum SettingsError {
    /// The heartbeat interval is too long for the election timeout.
    #[snafu(display(
        "the heartbeat interval of {heartbeat_interval:?} must be at most half of the election timeout of {election_timeout:?}"
    ))]
    HeartbeatTooSlow {
        /// The heartbeat interval.
        heartbeat_interval: Duration,
        /// The election timeout.
        election_timeout: Duration,
    },
    /// A size or count that must be positive is zero.
    #[snafu(display("{setting} must not be zero"))]
    Zero {
        /// The setting's name.
        setting: &'static str,
    },
    /// The lease is enabled without its preconditions.
    #[snafu(display("lease requires check_quorum and a clock_drift_permille below 1000"))]
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
            restart_election: false,
            check_quorum: true,
            readmit: true,
            voter_silence: None,
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

    /// Validates the settings.
    ///
    /// # Errors
    /// [`SettingsError`] for the first invalid setting.
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

    /// The replica's ID and incarnation.
    #[must_use]
    pub fn address(&self) -> ReplicaAddress {
        ReplicaAddress::new(self.id, self.incarnation)
    }

    /// Duration of the lease after sending an append that a quorum acknowledged: the election timeout
    /// reduced by the maximum clock drift.
    #[must_use]
    pub fn lease_duration(&self) -> Duration {
        self.election_timeout * (PERMILLE - self.clock_drift_permille) / PERMILLE
    }
}
