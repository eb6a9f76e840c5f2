//! A replica of a shard for a driver: the replicated state and the leader's logic together.

use std::sync::Arc;

use courseshed_types::{
    NodeId, PolicySnapshot, RequestId, Timestamp,
    control::{Grant, GrantReturn},
    dispatch::DispatchEvent,
    shard::{EngineFinding, ShardRequest},
};

use crate::{
    command::{ProposalId, ShardCommand},
    leader::{LeaderConfig, ProposalLoss, RequestToken, ShardLeader, ShardOutput, ShardRole},
    result::ApplyResult,
    state::{ShardState, SnapshotError},
};

/// One replica of a shard. Every input may leave outputs to be taken with [`Shard::take_outputs`].
#[derive(Debug, Clone)]
pub struct Shard {
    state: ShardState,
    leader: ShardLeader,
}

impl Shard {
    /// A replica before its first command.
    pub fn new(config: LeaderConfig) -> Shard {
        Shard {
            state: ShardState::of_generation(config.shard, config.generation),
            leader: ShardLeader::new(config),
        }
    }

    /// The replicated state.
    pub fn state(&self) -> &ShardState {
        &self.state
    }

    /// The leader's logic.
    pub fn leader(&self) -> &ShardLeader {
        &self.leader
    }

    /// A committed command, in the order of the log.
    pub fn apply(&mut self, now: Timestamp, index: u64, command: &ShardCommand) -> ApplyResult {
        let result = self.state.apply(index, command);
        self.leader.on_applied(now, &self.state, &result);
        result
    }

    /// The state as bytes.
    pub fn snapshot(&self) -> Vec<u8> {
        self.state.snapshot()
    }

    /// Takes over a snapshot; only followers do.
    pub fn restore(&mut self, snapshot: &[u8]) -> Result<(), SnapshotError> {
        self.state.restore(snapshot)
    }

    /// A request came; it gets exactly one reply under its token, now or later.
    pub fn on_request(&mut self, now: Timestamp, token: RequestToken, request: ShardRequest) {
        self.leader.on_request(now, &self.state, token, request);
    }

    /// The connection of a request that waits is gone.
    pub fn on_request_gone(&mut self, token: RequestToken) {
        self.leader.on_request_gone(token);
    }

    /// A gateway is known to be dead.
    pub fn on_gateway_down(&mut self, now: Timestamp, gateway: NodeId) {
        self.leader.on_gateway_down(now, &self.state, gateway);
    }

    /// A dispatcher speaks.
    pub fn on_dispatch_event(&mut self, now: Timestamp, event: DispatchEvent) {
        self.leader.on_dispatch_event(now, &self.state, event);
    }

    /// What an engine told about an attempt.
    pub fn on_engine_finding(&mut self, now: Timestamp, request: RequestId, found: EngineFinding) {
        self.leader
            .on_engine_finding(now, &self.state, request, found);
    }

    /// The controller's answer to a request for escrow.
    pub fn on_grant(&mut self, now: Timestamp, grant: Grant) {
        self.leader.on_grant(now, &self.state, grant);
    }

    /// The controller has taken a return of escrow.
    pub fn on_grant_returned(&mut self, now: Timestamp, taken: GrantReturn) {
        self.leader.on_grant_returned(now, &self.state, taken);
    }

    /// The replica's role changed, or its leader became known.
    pub fn on_role_change(&mut self, now: Timestamp, role: ShardRole) {
        self.leader.on_role_change(now, &self.state, role);
    }

    /// Newer settings, or a longer lease on them.
    pub fn on_policy(&mut self, policy: Arc<PolicySnapshot>, lease_valid_until: Timestamp) {
        self.leader.on_policy(policy, lease_valid_until);
    }

    /// A proposal will not be applied, or may not be.
    pub fn on_proposal_dropped(&mut self, now: Timestamp, origin: ProposalId, loss: ProposalLoss) {
        self.leader.on_proposal_dropped(now, origin, loss);
    }

    /// Time passed. Call it some ten times a second.
    pub fn tick(&mut self, now: Timestamp) {
        self.leader.tick(now, &self.state);
    }

    /// Takes the actions that wait for the driver, in order.
    pub fn take_outputs(&mut self) -> Vec<ShardOutput> {
        self.leader.take_outputs()
    }
}
