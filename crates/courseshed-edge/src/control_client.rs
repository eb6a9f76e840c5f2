//! Asking the leader of the controllers from a node that isn't one.

use std::sync::Arc;
use std::time::Duration;

use courseshed_records::PartitionId;
use courseshed_registry::{Command, Outcome};
use courseshed_types::NodeId;

use crate::controller::ControlError;
use crate::follower::FleetFollower;
use crate::peers::Peers;
use crate::protocol::{PeerAddresses, PeerPort, PeerReply, PeerRequest};

const ASK_LIMIT: Duration = Duration::from_millis(900);

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

    /// Has a command committed, by whichever controller leads.
    pub(crate) async fn submit(&self, command: Command) -> Result<Outcome, ControlError> {
        for controller in self.follower.controllers() {
            let mut next = Some(controller);
            for _ in 0..2 {
                let Some(controller) = next.take() else {
                    break;
                };
                match self
                    .ask(controller, PeerRequest::Submit(command.clone()))
                    .await
                {
                    Some(PeerReply::Committed(outcome)) => return Ok(outcome),
                    Some(PeerReply::NotLeader(hint)) => next = hint,
                    _ => {}
                }
            }
        }
        Err(ControlError::Unsure)
    }

    /// Tells all controllers that this store has caught up; the leader acts on it.
    pub(crate) async fn tell_caught_up(&self, incarnation: u64, partitions: &[PartitionId]) {
        for controller in self.follower.controllers() {
            let request = PeerRequest::CaughtUp {
                incarnation,
                partitions: partitions.to_vec(),
            };
            let _ = self.ask(controller, request).await;
        }
    }

    async fn ask(&self, controller: NodeId, request: PeerRequest) -> Option<PeerReply> {
        let address = self.addresses.of(controller, PeerPort::Controller);
        self.peers.set_address(controller, address);
        self.peers
            .request(controller, request, ASK_LIMIT)
            .await
            .ok()
    }
}
