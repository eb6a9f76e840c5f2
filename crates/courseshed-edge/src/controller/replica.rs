//! Opens the replica of the controllers' log, and reopens it after a failed disk write.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::mpsc::Receiver;
use std::thread;
use std::time::{Duration, Instant};

use courseshed_consensus::{
    Configuration, DiskLog, FaultSwitch, FaultyLog, GroupError, GroupId, PeerConfig,
    ReplicaAddress, ReplicatedGroup, StorageError,
};
use courseshed_quota::QuotaPolicy;
use courseshed_registry::FleetState;
use courseshed_types::NodeId;
use courseshed_warmup::WarmupPolicy;
use snafu::{ResultExt, Snafu};

use super::handle::{Input, Shared};
use super::housekeeping::{LossTerms, NODE_TIMEOUT};
use super::worker::{LastPublished, Worker};
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::protocol::{PeerAddresses, replica_of};

const GROUP: GroupId = GroupId(1);
const ELECTION_TIMEOUT: Duration = Duration::from_millis(400);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// Time without an answer after which the leader takes a voter for lost. A successor should have its place before the
/// next loss, which may come 4 s after the successor's start, and an election may come in between. Many round trips
/// between regions (60 ms).
pub(super) const VOTER_SILENCE: Duration = ELECTION_TIMEOUT.saturating_mul(2);
const RETAINED_ENTRIES: u64 = 256;
/// Delay before a replica is reopened after a failed disk write.
const REOPEN_DELAY: Duration = Duration::from_millis(700);
/// The operation of a failed flush. The page cache may then differ from the disk, so the replica stays
/// closed until the process restarts.
const FLUSH_OPERATION: &str = "flush";

pub(super) type Group = ReplicatedGroup<FaultyLog<DiskLog>, FleetState>;

/// Errors from opening a replica.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// The data directory cannot be opened.
    #[snafu(display("{source}"))]
    Storage {
        /// The cause.
        source: StorageError,
    },
    /// The stored state is unusable.
    #[snafu(display("{source}"))]
    Group {
        /// The cause.
        source: GroupError,
    },
    /// The replica's thread cannot be started.
    #[snafu(display("cannot start the replica's thread: {source}"))]
    Thread {
        /// The cause.
        source: std::io::Error,
    },
}

pub(super) struct WorkerOptions {
    pub node: NodeId,
    pub folder: PathBuf,
    pub incarnation: u64,
    pub initial_members: Configuration,
    pub addresses: PeerAddresses,
    pub server_silence: Duration,
    pub losses: LossTerms,
    pub quota: QuotaPolicy,
    pub warmup: WarmupPolicy,
    pub metrics: Arc<Metrics>,
    pub disk_faults: FaultSwitch,
}

pub(super) fn start(
    options: WorkerOptions,
    shared: Arc<Shared>,
    peers: Arc<Peers>,
) -> Result<(), StartError> {
    let group = open_group(&options, &shared)?;
    let inputs = shared.take_receiver();
    let last_published = LastPublished::default();
    let worker = Worker::new(group, options, shared, peers, last_published);
    let run = move || {
        if let Some(inputs) = inputs {
            run_replica(worker, &inputs);
        }
    };
    thread::Builder::new()
        .name("replica".to_owned())
        .spawn(run)
        .context(ThreadSnafu)?;
    Ok(())
}

fn open_group(options: &WorkerOptions, shared: &Shared) -> Result<Group, StartError> {
    let storage = DiskLog::open(&options.folder, options.incarnation).context(StorageSnafu)?;
    let address = ReplicaAddress::new(replica_of(options.node), storage.incarnation());
    let mut config = PeerConfig::new(GROUP, address, options.initial_members.clone());
    config.election_timeout = ELECTION_TIMEOUT;
    config.heartbeat_interval = HEARTBEAT_INTERVAL;
    config.retained_entries = RETAINED_ENTRIES;
    config.restart_election = true;
    config.voter_silence = Some(VOTER_SILENCE);
    config.seed = address.replica.0 ^ address.incarnation;
    let now = shared.clock().now();
    let storage = FaultyLog::new(storage, options.disk_faults.clone());
    let group = Group::new(config, storage, FleetState::default(), now).context(GroupSnafu)?;
    log::info!(event = "replica_opened", incarnation = address.incarnation, term = group.term().0, applied = group.status().applied_index.0; "the replica of the controllers' log is open");
    Ok(group)
}

/// Runs a replica, and reopens it after a failed disk write.
fn run_replica(mut worker: Worker, inputs: &Receiver<Input>) {
    while let Some(failure) = worker.run(inputs) {
        log::error!(event = "replica_failed"; "{failure}");
        let may_reopen = !failure.is_flush();
        let Worker {
            group,
            options,
            shared,
            peers,
            last_published,
            ..
        } = worker;
        // Releases the lock on the data directory.
        drop(group);
        shared.publish(last_published.without_leader(), true);
        worker = loop {
            discard_inputs(REOPEN_DELAY, inputs);
            if !may_reopen {
                continue;
            }
            match open_group(&options, &shared) {
                Ok(group) => break Worker::new(group, options, shared, peers, last_published),
                Err(error) => log::warn!(event = "replica_not_opened"; "{error}"),
            }
        };
    }
}

/// Drops inputs during a pause, which closes the reply channels of requests.
fn discard_inputs(pause: Duration, inputs: &Receiver<Input>) {
    let end = Instant::now() + pause;
    while let Ok(input) = inputs.recv_timeout(end.saturating_duration_since(Instant::now())) {
        drop(input);
    }
}

/// The failure of a replica.
#[derive(Debug, Snafu)]
#[snafu(display("the replica stopped: {reason}"))]
pub(super) struct ReplicaFailure {
    reason: String,
    operation: Option<&'static str>,
}

impl ReplicaFailure {
    pub(super) fn of(failure: &GroupError) -> Self {
        let operation = match failure {
            GroupError::Storage {
                source: StorageError::Io { operation, .. },
            } => Some(*operation),
            _ => None,
        };
        Self {
            reason: failure.to_string(),
            operation,
        }
    }

    /// Whether the contents of the disk are uncertain.
    fn is_flush(&self) -> bool {
        self.operation
            .is_none_or(|operation| operation == FLUSH_OPERATION)
    }
}

const _: () = assert!(NODE_TIMEOUT.as_millis() > ELECTION_TIMEOUT.as_millis());
