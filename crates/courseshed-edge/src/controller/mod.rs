//! A controller: a replica of the fleet's state that serves servers, operators and peers.

mod admission;
mod bootstrap;
mod group_health;
mod handle;
mod housekeeping;
mod peers;
mod pools;
mod quotas;
mod relay;
mod replica;
mod suspects;
mod warmup;
mod worker;

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use courseshed_consensus::FaultSwitch;
use courseshed_quota::QuotaPolicy;
use courseshed_types::NodeId;
use courseshed_warmup::WarmupPolicy;

pub use handle::{ControlError, ControllerHandle};
pub use housekeeping::{LossTerms, replicas_wanted};
pub use replica::StartError;

use crate::clock::Clock;
use crate::metrics::Metrics;
use crate::peers::{PeersError, start_peers};
use crate::protocol::{PeerAddresses, PeerPort};
use handle::Shared;
use snafu::{ResultExt, Snafu};

/// Settings of a controller.
pub struct ControllerSettings {
    /// The node of the controller.
    pub node: NodeId,
    /// Data directory of the log.
    pub folder: PathBuf,
    /// Whether to bootstrap a new fleet, on empty disks.
    pub is_first_start: bool,
    /// Returns nodes that run controllers.
    pub seeds: Box<dyn Fn() -> Vec<NodeId> + Send + Sync>,
    /// Maps nodes to peer addresses.
    pub addresses: PeerAddresses,
    /// Time without heartbeats after which a server is removed.
    pub server_silence: Duration,
    /// Failures to tolerate.
    pub losses: LossTerms,
    /// Terms of tenants' request quotas.
    pub quota: QuotaPolicy,
    /// How far the requests to a server that is warming up may exceed its rate.
    pub warmup: WarmupPolicy,
    /// Metrics of the process.
    pub metrics: Arc<Metrics>,
    /// Fault injection for writes of the log, for tests.
    pub disk_faults: FaultSwitch,
}

/// Errors from starting a controller.
#[derive(Debug, Snafu)]
pub enum ControllerError {
    /// The transport failed to start.
    #[snafu(display("{source}"))]
    Peers {
        /// The cause.
        source: PeersError,
    },
    /// The replica cannot be opened.
    #[snafu(display("{source}"))]
    Replica {
        /// The cause.
        source: StartError,
    },
}

/// Starts a controller. Its replica runs on a separate thread, since it blocks on disk writes.
///
/// # Errors
/// Returns [`ControllerError`] if the port or the data directory cannot be used.
pub async fn start(settings: ControllerSettings) -> Result<ControllerHandle, ControllerError> {
    let clock = Clock::start();
    let shared = Arc::new(Shared::new(settings.node, clock));
    let pools = Arc::new(pools::Pools::new(shared.clone(), settings.metrics.clone()));
    let handler = Arc::new(peers::ControllerPeers::new(shared.clone(), pools.clone()));
    let started = start_peers(
        settings.node,
        settings.addresses,
        PeerPort::Controller,
        handler,
    );
    let peers = Arc::new(started.context(PeersSnafu)?);
    shared.set_peers(peers.clone());
    let handle = ControllerHandle::new(
        shared.clone(),
        settings.addresses,
        settings.losses.zone_map.clone(),
    );
    let seeds = Arc::new(settings.seeds);
    let incarnation = bootstrap::choose_incarnation(
        &shared,
        settings.addresses,
        &settings.folder,
        settings.is_first_start,
        seeds.as_ref(),
    )
    .await;
    let initial_members =
        bootstrap::initial_voters(settings.is_first_start, settings.node, &seeds());
    let options = replica::WorkerOptions {
        node: settings.node,
        folder: settings.folder,
        incarnation,
        initial_members,
        addresses: settings.addresses,
        server_silence: settings.server_silence,
        losses: settings.losses,
        quota: settings.quota,
        warmup: settings.warmup,
        metrics: settings.metrics,
        disk_faults: settings.disk_faults,
    };
    replica::start(options, shared.clone(), peers).context(ReplicaSnafu)?;
    tokio::spawn(bootstrap::keep_joined(
        shared.clone(),
        settings.addresses,
        seeds,
    ));
    tokio::spawn(pools::run_pools(pools));
    tokio::spawn(relay::relay_heartbeats(shared.clone()));
    tokio::spawn(relay::confirm_routing(shared.clone(), settings.addresses));
    tokio::spawn(suspects::tend_suspects(shared.clone()));
    tokio::spawn(relay::relay_load(shared));
    Ok(handle)
}
