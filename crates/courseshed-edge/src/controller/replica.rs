//! Opening the replica of the controllers' log, and opening it again after its disk took no bytes.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::mpsc::Receiver;
use std::thread;
use std::time::{Duration, Instant};

use courseshed_consensus::{
    Configuration, DiskLog, FaultSwitch, FaultyLog, GroupError, GroupId, PeerConfig,
    ReplicaAddress, ReplicatedGroup, StorageError,
};
use courseshed_quota::QuotaTerms;
use courseshed_registry::FleetState;
use courseshed_types::NodeId;
use snafu::{ResultExt, Snafu};

use super::handle::{Input, Shared};
use super::housekeeping::{LossTerms, NODE_SILENCE};
use super::worker::{Shown, Worker};
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::protocol::{PeerAddresses, replica_of};

const GROUP: GroupId = GroupId(1);
const ELECTION_TIMEOUT: Duration = Duration::from_millis(400);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
const RETAINED_ENTRIES: u64 = 256;
/// Pause before a replica whose disk took no bytes is opened again.
const REOPEN_PAUSE: Duration = Duration::from_millis(700);
/// What was tried when a flush failed. What the system holds in memory then may differ from the
/// disk, so the replica stays closed until its process starts anew.
const FLUSH: &str = "flush";

pub(super) type Group = ReplicatedGroup<FaultyLog<DiskLog>, FleetState>;

/// A replica can't be opened.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// Its folder can't be used.
    #[snafu(display("{source}"))]
    Storage {
        /// Why not.
        source: StorageError,
    },
    /// What is kept there can't be used.
    #[snafu(display("{source}"))]
    Group {
        /// Why not.
        source: GroupError,
    },
    /// The thread can't be started.
    #[snafu(display("can't start the thread of the replica: {source}"))]
    Thread {
        /// Why not.
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
    pub quota: QuotaTerms,
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
    let last_shown = Shown::default();
    let worker = Worker::new(group, options, shared, peers, last_shown);
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
    config.seed = address.replica.0 ^ address.incarnation;
    let now = shared.clock().now();
    let storage = FaultyLog::new(storage, options.disk_faults.clone());
    let group = Group::new(config, storage, FleetState::default(), now).context(GroupSnafu)?;
    log::info!(event = "replica_opened", incarnation = address.incarnation, term = group.term().0, applied = group.status().applied_index.0; "the replica of the controllers' log is open");
    Ok(group)
}

/// Runs a replica, and opens it again after its disk took no bytes.
fn run_replica(mut worker: Worker, inputs: &Receiver<Input>) {
    while let Some(failure) = worker.run(inputs) {
        log::error!(event = "replica_failed"; "{failure}");
        let may_reopen = !failure.is_flush();
        let Worker {
            group,
            options,
            shared,
            peers,
            shown,
            ..
        } = worker;
        // Lets go of the folder, which is locked as long as the replica is open.
        drop(group);
        shared.publish(shown.without_leader(), true);
        worker = loop {
            discard_for(REOPEN_PAUSE, inputs);
            if !may_reopen {
                continue;
            }
            match open_group(&options, &shared) {
                Ok(group) => break Worker::new(group, options, shared, peers, shown),
                Err(error) => log::warn!(event = "replica_not_opened"; "{error}"),
            }
        };
    }
}

/// Drops what comes for a while: whoever asked is told that no answer will come.
fn discard_for(pause: Duration, inputs: &Receiver<Input>) {
    let end = Instant::now() + pause;
    while let Ok(input) = inputs.recv_timeout(end.saturating_duration_since(Instant::now())) {
        drop(input);
    }
}

/// Why a replica stopped.
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

    /// Whether what is on disk is uncertain.
    fn is_flush(&self) -> bool {
        self.operation.is_none_or(|operation| operation == FLUSH)
    }
}

const _: () = assert!(NODE_SILENCE.as_millis() > ELECTION_TIMEOUT.as_millis());
