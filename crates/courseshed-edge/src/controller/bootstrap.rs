//! Bootstrapping the controller group, and joining it.
//!
//! At the first start of the fleet all seeds start with the same list of voters. A controller that is
//! added later, or that restarts with an empty disk, asks to be admitted and does not vote before it is.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use courseshed_consensus::{Configuration, DiskLog, ReplicaAddress};
use courseshed_types::NodeId;
use tokio::time::sleep;

use super::handle::Shared;
use crate::clock::unix_time_ms;
use crate::protocol::{PeerAddresses, PeerPort, PeerReply, PeerRequest, replica_of};

/// The incarnation of all disks at bootstrap.
const FIRST_INCARNATION: u64 = 1;
const JOIN_RETRY_DELAY: Duration = Duration::from_millis(300);
const MEMBERSHIP_CHECK_INTERVAL: Duration = Duration::from_millis(1000);
const REQUEST_TIMEOUT: Duration = Duration::from_millis(700);

/// The initial voters at bootstrap: the seeds, if this node is one of them.
pub(super) fn initial_voters(
    is_first_start: bool,
    node: NodeId,
    seeds: &[NodeId],
) -> Configuration {
    if !is_first_start || !seeds.contains(&node) {
        return Configuration::default();
    }
    let address = |seed: &NodeId| ReplicaAddress::new(replica_of(*seed), FIRST_INCARNATION);
    Configuration::of_voters(seeds.iter().map(address))
}

/// Chooses the incarnation of an empty disk, higher than that of any earlier disk of this node.
pub(super) async fn choose_incarnation(
    shared: &Shared,
    addresses: PeerAddresses,
    folder: &Path,
    is_first_start: bool,
    seeds: &(dyn Fn() -> Vec<NodeId> + Send + Sync),
) -> u64 {
    if is_first_start || DiskLog::is_kept_in(folder) {
        return FIRST_INCARNATION;
    }
    log::info!(event = "empty_disk"; "the disk is empty; asking the controllers for the last known incarnation of this node");
    loop {
        for controller in seeds() {
            let reply =
                send_request(shared, addresses, controller, PeerRequest::KnownIncarnation).await;
            if let Some(PeerReply::Incarnation(known)) = reply {
                return unix_time_ms().max(known.unwrap_or(0) + 1);
            }
        }
        sleep(JOIN_RETRY_DELAY).await;
    }
}

/// Asks to be admitted whenever this controller is not a voter.
pub(super) async fn keep_joined(
    shared: Arc<Shared>,
    addresses: PeerAddresses,
    seeds: Arc<Box<dyn Fn() -> Vec<NodeId> + Send + Sync>>,
) {
    loop {
        let published = shared.published();
        if published.is_voter && published.leader.is_some() {
            sleep(MEMBERSHIP_CHECK_INTERVAL).await;
            continue;
        }
        let mut controllers: Vec<NodeId> = published.controllers.keys().copied().collect();
        controllers.extend(seeds());
        controllers.retain(|controller| *controller != shared.node());
        for controller in controllers {
            let request = PeerRequest::Join {
                incarnation: published.incarnation,
            };
            match send_request(&shared, addresses, controller, request).await {
                Some(PeerReply::Joining) => break,
                Some(PeerReply::NotLeader(Some(leader))) if leader != shared.node() => {
                    let request = PeerRequest::Join {
                        incarnation: published.incarnation,
                    };
                    if let Some(PeerReply::Joining) =
                        send_request(&shared, addresses, leader, request).await
                    {
                        break;
                    }
                }
                _ => {}
            }
        }
        sleep(JOIN_RETRY_DELAY).await;
    }
}

async fn send_request(
    shared: &Shared,
    addresses: PeerAddresses,
    controller: NodeId,
    request: PeerRequest,
) -> Option<PeerReply> {
    if controller == shared.node() {
        return None;
    }
    let peers = shared.peers()?;
    peers.set_address(controller, addresses.of(controller, PeerPort::Controller));
    peers
        .request(controller, request, REQUEST_TIMEOUT)
        .await
        .ok()
}
