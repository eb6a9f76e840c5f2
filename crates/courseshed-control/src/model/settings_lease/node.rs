//! Model of a node: its production view, its saved state, and the newest version it has used.

use std::time::Duration;

use courseshed_types::{
    BranchPath, Incarnation, NodeId, SettingsVersion, Timestamp,
    control::{Member, NodeRole, NodeState},
};

use super::scenario::Defect;
use crate::{ControllerSeed, NodeControlView, ViewOptions, node::LeaseState};

const SECOND: Duration = Duration::from_secs(1);

/// One node.
#[derive(Debug, Clone)]
pub(super) struct ModelNode {
    pub id: NodeId,
    pub view: NodeControlView,
    /// State saved at the start of the run.
    pub initial_saved_state: Vec<u8>,
    pub incarnation: u64,
    /// The newest version that the node has used.
    pub newest_used: Option<SettingsVersion>,
}

impl ModelNode {
    pub fn new(id: NodeId) -> ModelNode {
        ModelNode {
            id,
            view: view(id, 1, None),
            initial_saved_state: Vec::new(),
            incarnation: 1,
            newest_used: None,
        }
    }

    /// Restarts the node from saved state.
    pub fn restart(&mut self, saved_state: &[u8]) {
        self.incarnation += 1;
        self.view = view(self.id, self.incarnation, Some(saved_state));
    }

    /// Returns the version that the node uses, or `None` if it starts no work.
    pub fn used_version(&self, now: Timestamp, defect: Defect) -> Option<SettingsVersion> {
        let may_start_work = self.view.may_start(&BranchPath::root(), now).is_ok();
        let starts_by_defect = match self.view.lease(now) {
            LeaseState::Valid => false,
            LeaseState::Expired => defect == Defect::ExpiredLeaseIgnored,
            LeaseState::Never => defect == Defect::SavedSettingsUsed,
        };
        (may_start_work || starts_by_defect).then(|| self.view.position().settings)
    }
}

fn view(id: NodeId, incarnation: u64, saved: Option<&[u8]>) -> NodeControlView {
    let member = Member {
        node: id,
        incarnation: Incarnation(incarnation),
        region: "south".into(),
        zone: "south-a".into(),
        peer_address: format!("10.0.0.{id}:1"),
        http_address: format!("10.0.0.{id}:2"),
        roles: vec![NodeRole::Gateway],
        state: NodeState::Live,
    };
    let seeds = [1, 2].map(|node| ControllerSeed {
        node: NodeId(node),
        peer_address: format!("10.0.0.{node}:1"),
    });
    let options = ViewOptions {
        report_every: SECOND,
        report_every_at_start: SECOND,
        request_timeout: 2 * SECOND,
        max_consecutive_failures: 1,
        relay_retry_interval: SECOND,
        least_lease: SECOND,
    };
    NodeControlView::new(member, seeds.to_vec(), options, saved)
}
