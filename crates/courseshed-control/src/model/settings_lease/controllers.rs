//! The two controllers, and the log between them, taken for granted: a proposal is committed in order by the
//! controller that the log follows, or lost with it.

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

/// How long a leader may rely on leading after it last heard a quorum.
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

/// An answer to a request.
#[derive(Debug, Clone)]
pub(super) struct Answer {
    pub token: RequestToken,
    pub reply: ControlReply,
}

/// Both controllers and what is committed.
#[derive(Debug, Clone)]
pub(super) struct Controllers {
    pub all: [ModelController; 2],
    /// The one that the log follows.
    pub followed: usize,
    /// Whether it reaches a quorum.
    pub has_quorum: bool,
    pub log: Vec<Vec<u8>>,
    pub committed: ControlState,
    pub defect: Defect,
}

impl Controllers {
    pub fn new(now: Timestamp, lease: Duration, down_after: Duration) -> Controllers {
        let mut controllers = Controllers {
            all: [1, 2].map(|node| ModelController::new(NodeId(node), now, lease, down_after)),
            followed: 0,
            has_quorum: true,
            log: Vec::new(),
            committed: ControlState::default(),
            defect: Defect::None,
        };
        controllers.lead(now, 0);
        controllers
    }

    fn lead(&mut self, now: Timestamp, place: usize) {
        self.followed = place;
        self.has_quorum = true;
        let controller = &mut self.all[place];
        controller.state = self.committed.clone();
        controller.lease_until = now + LOG_LEASE;
        let state = controller.state.clone();
        controller
            .leader
            .on_role_change(now, LeaderRole::Leading, &state);
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Timestamp) {
        if self.has_quorum {
            self.all[self.followed].lease_until = now + LOG_LEASE;
        }
        for place in 0..self.all.len() {
            let controller = &mut self.all[place];
            let outputs = controller.leader.tick(now, &controller.state.clone());
            self.execute(now, place, outputs);
        }
    }

    /// The leader is cut off from the others.
    pub fn lose_quorum(&mut self) {
        self.has_quorum = false;
    }

    /// The other controller is elected, once the lease of the one before has run out.
    pub fn elect(&mut self, now: Timestamp) -> bool {
        let has_lease = now < self.all[self.followed].lease_until;
        if self.has_quorum || (has_lease && self.defect != Defect::LeaderLeaseIgnored) {
            return false;
        }
        self.lead(now, 1 - self.followed);
        true
    }

    pub fn request(
        &mut self,
        now: Timestamp,
        place: usize,
        token: RequestToken,
        request: ControlRequest,
    ) -> Vec<Answer> {
        let controller = &mut self.all[place];
        controller.leader.extend_read_lease(controller.lease_until);
        let state = controller.state.clone();
        let outputs = controller.leader.on_request(now, token, request, &state);
        self.execute(now, place, outputs)
    }

    /// A quorum has the oldest proposal of the controller that the log follows.
    pub fn commit(&mut self, now: Timestamp) -> Option<Vec<Answer>> {
        let place = self.followed;
        if !self.has_quorum || self.all[place].proposals.is_empty() {
            return None;
        }
        let command = self.all[place].proposals.remove(0);
        let bytes = command.encode().ok()?;
        self.log.push(bytes.clone());
        let index = self.log.len() as u64;
        self.committed.apply(index, &bytes);
        Some(self.apply(now, place, index, &bytes))
    }

    fn apply(&mut self, now: Timestamp, place: usize, index: u64, bytes: &[u8]) -> Vec<Answer> {
        let controller = &mut self.all[place];
        let applied = controller.state.apply(index, bytes);
        let state = controller.state.clone();
        let outputs = controller.leader.on_applied(now, &applied, &state);
        self.execute(now, place, outputs)
    }

    fn execute(&mut self, now: Timestamp, place: usize, outputs: Vec<LeaderOutput>) -> Vec<Answer> {
        let mut answers = Vec::new();
        for output in outputs {
            match output {
                LeaderOutput::Reply { token, reply } => answers.push(Answer {
                    token,
                    reply: *reply,
                }),
                LeaderOutput::Propose(command) if self.defect == Defect::AcceptedWithoutQuorum => {
                    let bytes = command.encode().unwrap_or_default();
                    let index = self.all[place].state.applied_index() + 1;
                    self.all[place].proposals.push(command);
                    answers.extend(self.apply(now, place, index, &bytes));
                }
                LeaderOutput::Propose(command) => self.all[place].proposals.push(command),
            }
        }
        answers
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
