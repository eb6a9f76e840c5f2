//! Model of the two controllers and their log, which is assumed to be correct: proposals of the elected controller
//! are committed in order, or lost with it.

use std::time::Duration;

use courseshed_membership::DetectorOptions;
use courseshed_types::{
    BranchPath, NodeId, PolicySnapshot, SettingsVersion, Timestamp,
    control::{ControlReply, ControlRequest},
    policy::BranchPolicy,
};

use super::scenario::Defect;
use crate::{
    ControlCommand, ControlLeader, ControlState, LeaderOptions, LeaderOutput, LeaderRole,
    RequestToken,
};

/// Duration of the leader lease after the last contact with a quorum.
const LOG_LEASE: Duration = Duration::from_secs(2);

pub(super) type Compiler = fn(&str, SettingsVersion) -> Result<PolicySnapshot, Vec<String>>;

/// One controller.
#[derive(Debug, Clone)]
pub(super) struct ModelController {
    pub node: NodeId,
    pub leader: ControlLeader<Compiler>,
    pub state: ControlState,
    pub proposals: Vec<ControlCommand>,
    pub lease_until: Timestamp,
}

/// A reply to a request.
#[derive(Debug, Clone)]
pub(super) struct ControllerReply {
    pub token: RequestToken,
    pub reply: ControlReply,
}

/// Both controllers and the committed state.
#[derive(Debug, Clone)]
pub(super) struct Controllers {
    pub all: [ModelController; 2],
    /// Index of the elected controller.
    pub elected: usize,
    /// Whether the elected controller reaches a quorum.
    pub has_quorum: bool,
    pub log: Vec<Vec<u8>>,
    pub committed: ControlState,
    pub defect: Defect,
}

impl Controllers {
    pub fn new(now: Timestamp, lease: Duration, down_after: Duration) -> Controllers {
        let mut controllers = Controllers {
            all: [1, 2].map(|node| ModelController::new(NodeId(node), now, lease, down_after)),
            elected: 0,
            has_quorum: true,
            log: Vec::new(),
            committed: ControlState::default(),
            defect: Defect::None,
        };
        controllers.lead(now, 0);
        controllers
    }

    fn lead(&mut self, now: Timestamp, controller_index: usize) {
        self.elected = controller_index;
        self.has_quorum = true;
        let controller = &mut self.all[controller_index];
        controller.state = self.committed.clone();
        controller.lease_until = now + LOG_LEASE;
        let state = controller.state.clone();
        controller
            .leader
            .on_role_change(now, LeaderRole::Leading, &state);
    }

    /// Advances the controllers to `now`.
    pub fn tick(&mut self, now: Timestamp) {
        if self.has_quorum {
            self.all[self.elected].lease_until = now + LOG_LEASE;
        }
        for controller_index in 0..self.all.len() {
            let controller = &mut self.all[controller_index];
            let outputs = controller.leader.tick(now, &controller.state.clone());
            self.execute(now, controller_index, outputs);
        }
    }

    /// Partitions the leader from its quorum.
    pub fn lose_quorum(&mut self) {
        self.has_quorum = false;
    }

    /// Elects the other controller once the previous leader's lease has expired; returns whether it was elected.
    pub fn elect(&mut self, now: Timestamp) -> bool {
        let has_lease = now < self.all[self.elected].lease_until;
        if self.has_quorum || (has_lease && self.defect != Defect::LeaderLeaseIgnored) {
            return false;
        }
        self.lead(now, 1 - self.elected);
        true
    }

    pub fn request(
        &mut self,
        now: Timestamp,
        controller_index: usize,
        token: RequestToken,
        request: ControlRequest,
    ) -> Vec<ControllerReply> {
        let controller = &mut self.all[controller_index];
        controller.leader.extend_read_lease(controller.lease_until);
        let state = controller.state.clone();
        let outputs = controller.leader.on_request(now, token, request, &state);
        self.execute(now, controller_index, outputs)
    }

    /// Commits the oldest proposal of the elected controller.
    pub fn commit(&mut self, now: Timestamp) -> Option<Vec<ControllerReply>> {
        let controller_index = self.elected;
        if !self.has_quorum || self.all[controller_index].proposals.is_empty() {
            return None;
        }
        let command = self.all[controller_index].proposals.remove(0);
        let bytes = command.encode().ok()?;
        self.log.push(bytes.clone());
        let index = self.log.len() as u64;
        self.committed.apply(index, &bytes);
        Some(self.apply(now, controller_index, index, &bytes))
    }

    fn apply(
        &mut self,
        now: Timestamp,
        controller_index: usize,
        index: u64,
        bytes: &[u8],
    ) -> Vec<ControllerReply> {
        let controller = &mut self.all[controller_index];
        let applied = controller.state.apply(index, bytes);
        let state = controller.state.clone();
        let outputs = controller.leader.on_applied(now, &applied, &state);
        self.execute(now, controller_index, outputs)
    }

    fn execute(
        &mut self,
        now: Timestamp,
        controller_index: usize,
        outputs: Vec<LeaderOutput>,
    ) -> Vec<ControllerReply> {
        let mut replies = Vec::new();
        for output in outputs {
            match output {
                LeaderOutput::Reply { token, reply } => replies.push(ControllerReply {
                    token,
                    reply: *reply,
                }),
                LeaderOutput::Propose(command) if self.defect == Defect::AcceptedWithoutQuorum => {
                    let bytes = command.encode().unwrap_or_default();
                    let index = self.all[controller_index].state.applied_index() + 1;
                    self.all[controller_index].proposals.push(command);
                    replies.extend(self.apply(now, controller_index, index, &bytes));
                }
                LeaderOutput::Propose(command) => {
                    self.all[controller_index].proposals.push(command)
                }
            }
        }
        replies
    }
}

impl ModelController {
    fn new(node: NodeId, now: Timestamp, lease: Duration, down_after: Duration) -> ModelController {
        let options = LeaderOptions {
            settings_lease: lease,
            clock_rate_percent: 0,
            detector: DetectorOptions {
                suspect_after: down_after,
                down_after,
                longest_tick: Duration::from_secs(1),
            },
            election_grace: Duration::ZERO,
            ..LeaderOptions::default()
        };
        ModelController {
            node,
            leader: ControlLeader::new(node, options, compile as Compiler, now),
            state: ControlState::default(),
            proposals: Vec::new(),
            lease_until: Timestamp::ZERO,
        }
    }
}

fn compile(_: &str, version: SettingsVersion) -> Result<PolicySnapshot, Vec<String>> {
    Ok(PolicySnapshot {
        version,
        branches: [(BranchPath::root(), BranchPolicy::default())].into(),
        ..PolicySnapshot::default()
    })
}
