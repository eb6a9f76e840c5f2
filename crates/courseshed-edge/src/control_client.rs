//! Client of the controllers' leader, for nodes that are not controllers.

use std::sync::Arc;
use std::time::Duration;

use courseshed_records::PartitionId;
use courseshed_registry::{Command, Outcome};
use courseshed_types::NodeId;

use crate::controller::ControlError;
use crate::follower::FleetFollower;
use crate::peers::Peers;
use crate::protocol::{PeerAddresses, PeerPort, PeerReply, PeerRequest};

const REQUEST_TIMEOUT: Duration = Duration::from_millis(900);

/// A client of the controllers.
#[derive(Clone)]
pub(crate) struct ControlClient {
    peers: Arc<Peers>,
    follower: Arc<FleetFollower>,
    addresses: PeerAddresses,
}

impl ControlClient {
    pub(crate) fn new(
        peers: Arc<Peers>,
        follower: Arc<FleetFollower>,
        addresses: PeerAddresses,
    ) -> Self {
        Self {
            peers,
            follower,
            addresses,
        }
    }

    /// Submits a command, following leader redirects.
    pub(crate) async fn submit(&self, command: Command) -> Result<Outcome, ControlError> {
        for controller in self.follower.controllers() {
            let mut next = Some(controller);
            for _ in 0..2 {
                let Some(controller) = next.take() else {
                    break;
                };
                match self
                    .request(controller, PeerRequest::Submit(command.clone()))
                    .await
                {
                    Some(PeerReply::Committed(outcome)) => return Ok(outcome),
                    Some(PeerReply::NotLeader(hint)) => next = hint,
                    _ => {}
                }
            }
        }
        Err(ControlError::OutcomeUnknown)
    }

    /// Reports to all controllers that this store has caught up; only the leader acts on it.
    pub(crate) async fn report_caught_up(&self, incarnation: u64, partitions: &[PartitionId]) {
        for controller in self.follower.controllers() {
            let request = PeerRequest::CaughtUp {
                incarnation,
                partitions: partitions.to_vec(),
            };
            let _ = self.request(controller, request).await;
        }
    }

    async fn request(&self, controller: NodeId, request: PeerRequest) -> Option<PeerReply> {
        let address = self.addresses.of(controller, PeerPort::Controller);
        self.peers.set_address(controller, address);
        self.peers
            .request(controller, request, REQUEST_TIMEOUT)
            .await
            .ok()
    }
}
