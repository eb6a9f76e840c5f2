//! Reports requests under which servers ended to the controllers, and knows those of all gateways.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use courseshed_registry::{SuspectChanges, SuspectReport, SuspectState, SuspectVerdict};
use courseshed_types::{RequestKey, ServerKey};
use tokio::sync::mpsc::UnboundedSender;

use super::suspect_guard::PendingReport;
use crate::follower::FleetFollower;
use crate::peers::Peers;
use crate::protocol::{PeerReply, PeerRequest};

/// Timeout of a report, within which a request waits for its next send; above the round-trip time between zones.
const REPORT_TIMEOUT: Duration = Duration::from_millis(60);
/// Maximum number of controllers that are asked for a verdict.
const MAX_CONTROLLERS: usize = 2;

/// The gateway's client for suspect requests.
pub(super) struct SuspectClient {
    peers: Arc<Peers>,
    follower: Arc<FleetFollower>,
    is_shared: bool,
    pending: UnboundedSender<PendingReport>,
}

impl SuspectClient {
    /// Creates a client; unless `is_shared`, it keeps what this gateway sees to itself. Reports that no request
    /// waits for go to `pending`.
    pub(super) fn new(
        peers: Arc<Peers>,
        follower: Arc<FleetFollower>,
        is_shared: bool,
        pending: UnboundedSender<PendingReport>,
    ) -> Self {
        Self {
            peers,
            follower,
            is_shared,
            pending,
        }
    }

    /// Queues a report that no request waits for.
    pub(super) fn queue(&self, report: PendingReport) {
        if self.pending.send(report).is_err() {
            log::info!(event = "suspect_not_reported"; "the gateway is exiting; a report on a suspect request is dropped");
        }
    }

    /// What is known of a request; none if it is no suspect.
    pub(super) fn state(&self, request: RequestKey) -> Option<SuspectState> {
        self.follower
            .with_suspects(|suspects, now| suspects.state(now, request))
    }

    /// The servers that run other suspects than `request`.
    pub(super) fn servers_of_others(&self, request: RequestKey) -> BTreeSet<ServerKey> {
        self.follower
            .with_suspects(|suspects, now| suspects.servers_of_others(now, request))
    }

    /// Number of suspects known.
    pub(super) fn len(&self) -> usize {
        self.follower.with_suspects(|suspects, _| suspects.len())
    }

    /// Records a report here and at a controller. Returns this gateway's verdict, and that of a controller; none if
    /// none answered in time.
    pub(super) async fn report(
        &self,
        report: SuspectReport,
    ) -> (SuspectVerdict, Option<SuspectVerdict>) {
        let own = self.record(&report);
        if !self.is_shared || !self.follower.reports_suspects() {
            return (own, None);
        }
        let controllers = self.follower.controllers().into_iter();
        for controller in controllers.take(MAX_CONTROLLERS) {
            let request = PeerRequest::Suspects(vec![report.clone()]);
            let reply = self.peers.request(controller, request, REPORT_TIMEOUT);
            match reply.await {
                Ok(PeerReply::Suspect(Some(verdict))) => {
                    self.learn(report.request, &verdict.state);
                    return (own, Some(verdict));
                }
                Ok(_) => {}
                Err(error) => {
                    let request_key = report.request;
                    log::info!(event = "suspect_not_reported", request_key:% = request_key, controller:% = controller; "a controller did not take a report on a suspect request: {error}");
                }
            }
        }
        (own, None)
    }

    /// Records a report here alone.
    pub(super) fn record(&self, report: &SuspectReport) -> SuspectVerdict {
        self.follower
            .with_suspects(|suspects, now| suspects.record(now, report))
    }

    /// Takes over what a controller knows of a suspect.
    fn learn(&self, request: RequestKey, state: &SuspectState) {
        if state.ended.is_empty() {
            return;
        }
        let changes = SuspectChanges {
            changed: vec![(request, state.clone())],
            ..SuspectChanges::default()
        };
        self.follower
            .with_suspects(|suspects, now| suspects.apply(now, changes));
    }
}
