//! A node: its real view, what it saved, and what an observer saw it act on.

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
    /// What it saved at the start of the run.
    pub old_file: Vec<u8>,
    pub incarnation: u64,
    /// The newest version it was seen to act on.
    pub acted_on: Option<SettingsVersion>,
}

impl ModelNode {
    pub fn new(id: NodeId) -> ModelNode {
        ModelNode {
            id,
            view: view(id, 1, None),
            old_file: Vec::new(),
            incarnation: 1,
            acted_on: None,
        }
    }

    /// Starts again with a file of an earlier start.
    pub fn restart(&mut self, file: &[u8]) {
        self.incarnation += 1;
        self.view = view(self.id, self.incarnation, Some(file));
    }

    /// The version that the node acts on; none if it starts nothing.
    pub fn acts_on(&self, now: Timestamp, defect: Defect) -> Option<SettingsVersion> {
        let starts = self.view.may_start(&BranchPath::root(), now).is_ok();
        let starts_wrongly = match self.view.lease(now) {
            LeaseState::Valid => false,
            LeaseState::Expired => defect == Defect::ExpiredLeaseIgnored,
            LeaseState::Never => defect == Defect::SavedSettingsServed,
        };
        (starts || starts_wrongly).then(|| self.view.position().settings)
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
