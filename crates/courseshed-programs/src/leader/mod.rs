//! What only the leader of a shard does.
//!
//! Pure: times come in with each event, and actions are taken out with [`ShardLeader::take_outputs`]. All state
//! here is soft; a new leader rebuilds it from the [`ShardState`], from what gateways ask again, and from what
//! engines tell about attempts. Invariants:
//! - an order to start an attempt is given once, by the leader that proposed its dispatch, after that dispatch
//!   was applied in the term in which it was proposed;
//! - an outcome is told only after it was applied; "not run" is told without a commit only if nothing was
//!   proposed for this copy of the request;
//! - every request token gets exactly one reply.

mod applied;
mod config;
mod dispatching;
mod grants;
mod live;
mod output;
mod pace;
#[cfg(test)]
mod pace_tests;
mod proposals;
mod recovery;
mod requests;
mod resolve;
mod retry;
mod submit;
mod upkeep;

use std::{
    collections::BTreeMap,
    hash::{Hash, Hasher},
    sync::Arc,
};

use courseshed_types::{
    CallError, CallId, ModelName, NodeId, PolicySnapshot, ProgramId, Timestamp, shard::ShardReply,
};

pub use self::{
    config::LeaderConfig,
    output::{EngineQuery, ProposalLoss, RequestToken, ShardOutput, ShardRole},
    pace::PaceLimits,
};
use self::{
    grants::GrantTable,
    live::{LiveCall, Waiter},
    proposals::ProposalTable,
    resolve::Settings,
    retry::RetryBudget,
};
use crate::{state::ShardState, verdicts};

/// The leader-side logic of one shard. See the module's documentation.
#[derive(Debug, Clone)]
pub struct ShardLeader {
    config: LeaderConfig,
    role: ShardRole,
    policy: Option<Arc<PolicySnapshot>>,
    lease_valid_until: Timestamp,
    proposals: ProposalTable,
    live: BTreeMap<CallId, LiveCall>,
    grants: GrantTable,
    retries: RetryBudget,
    next_sweep: Timestamp,
    outputs: Vec<ShardOutput>,
}

impl ShardLeader {
    /// A replica that does not lead yet.
    pub fn new(config: LeaderConfig) -> ShardLeader {
        ShardLeader {
            config,
            role: ShardRole::Follower { leader: None },
            policy: None,
            lease_valid_until: Timestamp::ZERO,
            proposals: ProposalTable::default(),
            live: BTreeMap::new(),
            grants: GrantTable::default(),
            retries: RetryBudget::new(),
            next_sweep: Timestamp::ZERO,
            outputs: Vec::new(),
        }
    }

    /// The configuration.
    pub fn config(&self) -> &LeaderConfig {
        &self.config
    }

    /// Whether this replica leads, as it was last told.
    pub fn role(&self) -> ShardRole {
        self.role
    }

    /// Whether no call and no proposal is under way, so that nothing is due soon.
    pub fn is_idle(&self) -> bool {
        self.live.is_empty() && self.proposals.len() == 0 && self.grants.has_no_parked()
    }

    /// Takes the actions that wait for the driver, in order.
    pub fn take_outputs(&mut self) -> Vec<ShardOutput> {
        std::mem::take(&mut self.outputs)
    }

    /// Newer settings, or a longer lease on them. A version never goes down.
    pub fn on_policy(&mut self, policy: Arc<PolicySnapshot>, lease_valid_until: Timestamp) {
        let is_older = |known: &Arc<PolicySnapshot>| policy.version < known.version;
        if !self.policy.as_ref().is_some_and(is_older) {
            self.policy = Some(policy);
        }
        self.lease_valid_until = self.lease_valid_until.max(lease_valid_until);
    }

    /// The replica's role changed, or its leader became known.
    pub fn on_role_change(&mut self, now: Timestamp, state: &ShardState, role: ShardRole) {
        if role == self.role {
            return;
        }
        if matches!(self.role, ShardRole::Leader { .. }) {
            self.step_down();
        }
        self.role = role;
        if matches!(role, ShardRole::Leader { .. }) {
            self.take_over(now, state);
        }
    }

    /// Answers all that wait and forgets all soft state.
    fn step_down(&mut self) {
        self.answer_lost_proposals();
        let live = std::mem::take(&mut self.live);
        for waiter in live.into_values().flat_map(|call| call.waiters) {
            self.reply_error(waiter.token, verdicts::leader_lost_while_waiting());
        }
        let parked = self.grants.take_parked();
        for submit in parked {
            self.reply_error(submit.token, verdicts::never_proposed());
        }
        self.grants = GrantTable::default();
    }

    /// Feeds what decides the leader's next steps, for model checking.
    pub(crate) fn hash_soft_state(&self, hasher: &mut impl Hasher) {
        for (call, live) in &self.live {
            call.hash(hasher);
            live.hash(hasher);
        }
        for purpose in self.proposals.in_flight() {
            purpose.hash(hasher);
        }
        self.retries.hash(hasher);
        self.next_sweep.hash(hasher);
    }

    fn term(&self) -> Option<u64> {
        match self.role {
            ShardRole::Leader { term } => Some(term),
            ShardRole::Follower { .. } => None,
        }
    }

    fn known_leader(&self) -> Option<NodeId> {
        match self.role {
            ShardRole::Leader { .. } => Some(self.config.node),
            ShardRole::Follower { leader } => leader,
        }
    }

    fn settings(&self) -> Result<Settings<'_>, CallError> {
        let policy = self.policy.as_deref().ok_or_else(verdicts::no_settings)?;
        Ok(Settings {
            policy,
            lease_valid_until: self.lease_valid_until,
            shards_in_region: self.config.shards_in_region,
            shards_of_tenant: self.config.shards_of_tenant,
        })
    }

    fn reply(&mut self, token: RequestToken, reply: ShardReply) {
        self.outputs.push(ShardOutput::Reply {
            token,
            reply: Box::new(reply),
        });
    }

    fn reply_error(&mut self, token: RequestToken, error: CallError) {
        self.reply(token, ShardReply::Error(error));
    }

    fn reply_view(&mut self, state: &ShardState, token: RequestToken, program: ProgramId) {
        match state.view(program) {
            Ok(view) => self.reply(token, ShardReply::Program(view)),
            Err(error) => self.reply_error(token, error),
        }
    }

    /// Models whose pools may know calls of this shard.
    fn pool_models(&self, state: &ShardState) -> std::collections::BTreeSet<ModelName> {
        let declared = self.policy.iter().flat_map(|policy| policy.models.iter());
        let open = state.open_calls().map(|(_, open)| &open.model);
        declared.chain(open).cloned().collect()
    }

    /// Answers a request about a call at once if that is possible, else lets it wait.
    fn answer_or_wait(&mut self, now: Timestamp, state: &ShardState, call: CallId, waiter: Waiter) {
        if let Some(reply) = state.settled_reply(call) {
            return self.reply(waiter.token, reply);
        }
        if state.open_call(call).is_none() {
            return self.reply_error(waiter.token, state.missing_call(call));
        }
        if let Some(order) = state.attach_order(call) {
            return self.reply(waiter.token, ShardReply::Attach(order));
        }
        self.wait_for_attempt(now, state, call, waiter);
    }

    fn live_mut(&mut self, call: CallId) -> Option<&mut LiveCall> {
        self.live.get_mut(&call)
    }
}
