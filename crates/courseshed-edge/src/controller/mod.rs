//! A controller: a replica of the fleet's state, and what servers, operators and peers ask of it.

mod admission;
mod founding;
mod handle;
mod housekeeping;
mod peers;
mod pools;
mod quotas;
mod relay;
mod replica;
mod worker;

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use courseshed_consensus::FaultSwitch;
use courseshed_quota::QuotaTerms;
use courseshed_types::NodeId;

pub use handle::{ControlError, ControllerHandle};
pub use housekeeping::{LossTerms, replicas_wanted};
pub use replica::StartError;

use crate::clock::Clock;
use crate::metrics::Metrics;
use crate::peers::{PeersError, start_peers};
use crate::protocol::{PeerAddresses, PeerPort};
use handle::Shared;
use snafu::{ResultExt, Snafu};

/// How a controller runs.
pub struct ControllerSettings {
    /// The machine.
    pub node: NodeId,
    /// Where its log is kept.
    pub folder: PathBuf,
    /// Whether the whole fleet starts for the first time, on empty disks.
    pub is_first_start: bool,
    /// Machines with controllers, to find the others by.
    pub seeds: Box<dyn Fn() -> Vec<NodeId> + Send + Sync>,
    /// Where peers listen.
    pub addresses: PeerAddresses,
    /// How long a server may be silent before it is dropped.
    pub server_silence: Duration,
    /// What must be borne at once.
    pub losses: LossTerms,
    /// How tenants' requests are counted.
    pub quota: QuotaTerms,
    /// Where what happens is counted.
    pub metrics: Arc<Metrics>,
    /// Makes writes of the log fail, for tests; does nothing by itself.
    pub disk_faults: FaultSwitch,
}

/// A controller doesn't start.
#[derive(Debug, Snafu)]
pub enum ControllerError {
    /// It can't speak to its peers.
    #[snafu(display("{source}"))]
    Peers {
        /// Why not.
        source: PeersError,
    },
    /// Its replica can't be opened.
    #[snafu(display("{source}"))]
    Replica {
        /// Why not.
        source: StartError,
    },
}

/// Starts a controller; its replica runs on a thread of its own, since it waits for the disk.
///
/// # Errors
/// [`ControllerError`] when the port or the folder can't be used.
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
    let incarnation = founding::choose_incarnation(
        &shared,
        settings.addresses,
        &settings.folder,
        settings.is_first_start,
        seeds.as_ref(),
    )
    .await;
    let initial_members = founding::founders(settings.is_first_start, settings.node, &seeds());
    let options = replica::WorkerOptions {
        node: settings.node,
        folder: settings.folder,
        incarnation,
        initial_members,
        addresses: settings.addresses,
        server_silence: settings.server_silence,
        losses: settings.losses,
        quota: settings.quota,
        metrics: settings.metrics,
        disk_faults: settings.disk_faults,
    };
    replica::start(options, shared.clone(), peers).context(ReplicaSnafu)?;
    tokio::spawn(founding::keep_joined(
        shared.clone(),
        settings.addresses,
        seeds,
    ));
    tokio::spawn(pools::keep_pools(pools));
    tokio::spawn(relay::relay_heard(shared.clone()));
    tokio::spawn(relay::confirm_routing(shared.clone(), settings.addresses));
    tokio::spawn(relay::relay_load(shared));
    Ok(handle)
}
