//! A record store: one replica of the records.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use courseshed_records::{JournalError, RecordStore, StoreLimits, StoreMachine};
use courseshed_registry::Command;
use courseshed_transport::{Handler, PeerIdentity, ReplySender};
use courseshed_types::{NodeId, ZoneMap};
use rand::RngExt;
use snafu::{ResultExt, Snafu};
use tokio::time::sleep;

use super::disk::Disk;
use super::replica_client::ReplicaClient;
use super::stream_attempts::StreamAttemptTable;
use super::stream_versions::StreamVersionTable;
use super::{catch_up, repair, resync};
use crate::clock::unix_time_ms;
use crate::control_client::ControlClient;
use crate::follower::{FleetFollower, FollowerKind};
use crate::metrics::Metrics;
use crate::peers::{PeersError, start_peers};
use crate::protocol::{
    FleetProtocol, PeerAddresses, PeerMessage, PeerPort, PeerReply, PeerRequest, RecordReply,
};

/// How often a store that holds no replica registers again.
const REGISTER_INTERVAL: Duration = Duration::from_secs(3);
const REGISTER_RETRY: Duration = Duration::from_millis(200);

/// Settings of a store.
pub struct StoreSettings {
    /// The node of the store.
    pub node: NodeId,
    /// The name of the machine, as used by operators.
    pub name: String,
    /// The zone of the store.
    pub zone: String,
    /// The region of each zone.
    pub zones: Arc<ZoneMap>,
    /// Data directory.
    pub folder: PathBuf,
    /// Returns nodes that run controllers.
    pub seeds: Box<dyn Fn() -> Vec<NodeId> + Send + Sync>,
    /// Maps nodes to peer addresses.
    pub addresses: PeerAddresses,
    /// Limits on memory and disk usage.
    pub limits: StoreLimits,
    /// Metrics of the process.
    pub metrics: Arc<Metrics>,
}

/// Errors from starting a store.
#[derive(Debug, Snafu)]
pub enum StoreError {
    /// The transport failed to start.
    #[snafu(display("{source}"))]
    Peers {
        /// The cause.
        source: PeersError,
    },
    /// The data directory cannot be opened.
    #[snafu(display("{source}"))]
    Journal {
        /// The cause.
        source: JournalError,
    },
    /// The disk thread cannot be started.
    #[snafu(display("cannot start the disk thread: {source}"))]
    Thread {
        /// The cause.
        source: std::io::Error,
    },
}

struct StorePeers {
    disk: Disk,
    streams: StreamVersionTable,
    attempts: StreamAttemptTable,
}

impl Handler<FleetProtocol> for StorePeers {
    fn on_message(&self, _: PeerIdentity, _: PeerMessage) {}

    fn on_request(&self, _: PeerIdentity, request: PeerRequest, reply: ReplySender<FleetProtocol>) {
        let PeerRequest::Records(mut request) = request else {
            return;
        };
        if let Some(operation) = request.attempt.take() {
            // Never waits for the disk.
            reply.send(PeerReply::Records(self.attempts.answer(*operation)));
            return;
        }
        match request.stream.take() {
            // Never waits for the disk.
            Some(operation) => {
                let version = self.streams.answer(operation);
                reply.send(PeerReply::Records(RecordReply::StreamVersion(version)));
            }
            None => self.disk.answer(request, reply),
        }
    }
}

/// Starts a store, which runs until the process exits.
///
/// # Errors
/// Returns [`StoreError`] if the port or the data directory cannot be used.
pub fn start(settings: StoreSettings) -> Result<(), StoreError> {
    let incarnation_if_new = rand::rng().random_range(1..u64::MAX);
    let started = Instant::now();
    let now = unix_time_ms();
    let opened = RecordStore::open(&settings.folder, incarnation_if_new, settings.limits, now);
    let store = opened.context(JournalSnafu)?;
    let incarnation = store.incarnation();
    let newest_record_ms = store.newest_record_ms();
    let figures = store.stats();
    log::info!(event = "store_opened", incarnation, turns = figures.turns, reservations = figures.reservations, partitions = figures.partitions, segments = figures.segments, file_bytes = figures.file_bytes, live_bytes = figures.live_bytes, took_ms = started.elapsed().as_millis() as u64; "the store is open");
    let streams = StreamVersionTable::new(settings.metrics.clone());
    tokio::spawn(streams.clone().drop_expired());
    let attempts = StreamAttemptTable::new(settings.metrics.clone());
    tokio::spawn(attempts.clone().drop_expired());
    let disk = Disk::start(store, settings.metrics.clone()).context(ThreadSnafu)?;
    let handler = Arc::new(StorePeers {
        disk: disk.clone(),
        streams,
        attempts,
    });
    let started = start_peers(settings.node, settings.addresses, PeerPort::Store, handler);
    let peers = Arc::new(started.context(PeersSnafu)?);
    let follower = FleetFollower::new(
        peers.clone(),
        settings.addresses,
        FollowerKind::Store,
        settings.seeds,
    );
    tokio::spawn(follower.clone().run());
    let control = ControlClient::new(peers.clone(), follower.clone(), settings.addresses);
    let store = StoreMachine {
        name: settings.name,
        zone: settings.zone.clone(),
        incarnation,
    };
    tokio::spawn(keep_registered(
        control.clone(),
        follower.clone(),
        settings.node,
        store,
    ));
    let client = Arc::new(ReplicaClient {
        node: settings.node,
        zone: settings.zone,
        zones: settings.zones,
        incarnation,
        peers,
        addresses: settings.addresses,
        follower,
        disk,
    });
    let metrics = settings.metrics;
    tokio::spawn(repair::run(client.clone(), metrics.clone()));
    tokio::spawn(resync::run(client.clone(), metrics, newest_record_ms));
    tokio::spawn(catch_up::run(catch_up::CatchUp { client, control }));
    Ok(())
}

/// Registers the store with the controllers, repeatedly while it holds no replica.
async fn keep_registered(
    control: ControlClient,
    follower: Arc<FleetFollower>,
    node: NodeId,
    store: StoreMachine,
) {
    loop {
        let records = follower.view().records;
        if records.has_replica_on_disk(node, store.incarnation) {
            sleep(REGISTER_INTERVAL).await;
            continue;
        }
        let store = store.clone();
        let command = Command::RegisterStore { node, store };
        let pause = match control.submit(command).await {
            Ok(_) => REGISTER_INTERVAL,
            Err(_) => REGISTER_RETRY,
        };
        sleep(pause).await;
    }
}
