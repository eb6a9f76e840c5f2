//! Logic of the leading controller that is not replicated.
//!
//! The leader processes heartbeats, proposes commands and answers requests. Its own state may be lost: a new leader
//! starts from the replicated state and incoming heartbeats, and marks no node down during a grace period.
//!
//! A settings lease granted at a given time guarantees that no newer version was accepted before that time. The leader
//! therefore grants leases only while its read lease from the replicated log is valid, since no other controller can
//! commit a newer version during that time.

mod heartbeats;
mod lagging;
mod requests;

use std::{collections::BTreeMap, time::Duration};

use courseshed_membership::{DampingOptions, DetectorOptions, FailureDetector, FlapDamper};
use courseshed_types::{
    CallError, ErrorCode, Incarnation, NodeId, Timestamp,
    control::{ControlPosition, ControlReply, HeardNode},
};

use crate::{
    command::{CommandBody, CommandOrigin, ControlCommand},
    compiler::TreeCompiler,
    state::{Applied, ApplyOutcome, ControlState, FleetOptions},
};
use lagging::AcceptanceTimes;

/// Time after which a proposal that was not applied is abandoned.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(10);
/// Minimum time between two proposals about the same node.
const NODE_PROPOSAL_RETRY: Duration = Duration::from_secs(2);

/// Identifies a pending request; chosen by the driver.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestToken(pub u64);

/// Parameters of the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaderOptions {
    /// Duration of a settings lease.
    pub settings_lease: Duration,
    /// Maximum rate by which the leader's clock may run faster than a node's clock, in percent.
    pub clock_rate_percent: u32,
    /// Failure detector parameters.
    pub detector: DetectorOptions,
    /// Flap damping parameters.
    pub damping: DampingOptions,
    /// Time after an election during which no node is marked down.
    pub election_grace: Duration,
    /// Time after which a node that is down is removed from the member map.
    pub forget_after: Duration,
    /// Fleet options to put in force.
    pub fleet: FleetOptions,
}

impl Default for LeaderOptions {
    fn default() -> LeaderOptions {
        LeaderOptions {
            settings_lease: Duration::from_secs(10),
            clock_rate_percent: 5,
            detector: DetectorOptions::default(),
            damping: DampingOptions::default(),
            election_grace: Duration::from_secs(8),
            forget_after: Duration::from_secs(3_600),
            fleet: FleetOptions::default(),
        }
    }
}

/// Role of this controller in the replicated log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaderRole {
    /// Leader that has applied every entry committed before its term.
    Leading,
    /// Not the leader; contains the leader if known.
    Following(Option<NodeId>),
}

/// An action for the driver.
#[derive(Debug, Clone, PartialEq)]
pub enum LeaderOutput {
    /// Propose the command to the replicated log.
    Propose(ControlCommand),
    /// Answer a request.
    Reply {
        /// The request.
        token: RequestToken,
        /// The answer.
        reply: Box<ControlReply>,
    },
}

#[derive(Debug, Clone, Copy)]
struct PendingProposal {
    token: Option<RequestToken>,
    proposed_at: Timestamp,
}

#[derive(Debug, Clone, Copy)]
struct ReportedPosition {
    incarnation: Incarnation,
    position: ControlPosition,
}

/// Counters for operators and metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LeaderCounters {
    /// Nodes marked down.
    pub nodes_down: u64,
    /// Proposed node registrations, including repeated ones.
    pub nodes_registered: u64,
    /// Registrations suppressed by flap damping.
    pub returns_damped: u64,
    /// Settings changes proposed.
    pub settings_proposed: u64,
    /// Settings changes rejected before they were proposed.
    pub settings_refused: u64,
    /// Grants proposed.
    pub grants_proposed: u64,
    /// Proposals abandoned after a timeout.
    pub proposals_lost: u64,
    /// Heartbeats received, directly or through relays.
    pub heartbeats: u64,
}

/// The leader's unreplicated state.
#[derive(Debug, Clone)]
pub struct ControlLeader<C> {
    node: NodeId,
    options: LeaderOptions,
    compiler: C,
    role: LeaderRole,
    leading_since: Timestamp,
    read_lease_until: Timestamp,
    next_serial: u64,
    pending: BTreeMap<u64, PendingProposal>,
    proposed_nodes: BTreeMap<NodeId, Timestamp>,
    down_since: BTreeMap<NodeId, Timestamp>,
    positions: BTreeMap<NodeId, ReportedPosition>,
    detector: FailureDetector,
    damper: FlapDamper,
    acceptances: AcceptanceTimes,
    configured: bool,
    counters: LeaderCounters,
}

impl<C: TreeCompiler> ControlLeader<C> {
    /// Creates a controller that is not the leader. `now` must be later than at any earlier start of this node, because
    /// proposal numbers start from it.
    pub fn new(
        node: NodeId,
        options: LeaderOptions,
        compiler: C,
        now: Timestamp,
    ) -> ControlLeader<C> {
        ControlLeader {
            node,
            options,
            compiler,
            role: LeaderRole::Following(None),
            leading_since: now,
            read_lease_until: Timestamp::ZERO,
            next_serial: now.0,
            pending: BTreeMap::new(),
            proposed_nodes: BTreeMap::new(),
            down_since: BTreeMap::new(),
            positions: BTreeMap::new(),
            detector: FailureDetector::new(options.detector, now),
            damper: FlapDamper::new(options.damping),
            acceptances: AcceptanceTimes::default(),
            configured: false,
            counters: LeaderCounters::default(),
        }
    }

    /// Whether this controller is the leader.
    pub fn leads(&self) -> bool {
        self.role == LeaderRole::Leading
    }

    /// Counters for operators and metrics.
    pub fn counters(&self) -> LeaderCounters {
        self.counters
    }

    /// The last reported settings version and map epoch of a node.
    pub fn reported_position(&self, node: NodeId) -> Option<ControlPosition> {
        self.positions.get(&node).map(|reported| reported.position)
    }

    /// All nodes that have reported since this controller became leader, with their positions.
    pub(super) fn heard_nodes(&self) -> Vec<HeardNode> {
        let positions = self.positions.iter();
        positions
            .map(|(node, reported)| HeardNode {
                node: *node,
                incarnation: reported.incarnation,
                position: reported.position,
            })
            .collect()
    }

    /// Handles a command that the replicated log rejected without writing it.
    pub fn on_not_proposed(&mut self, origin: CommandOrigin) -> Vec<LeaderOutput> {
        let pending = self.pending.remove(&origin.serial);
        let token = pending.and_then(|pending| pending.token);
        let error = CallError::not_run(
            ErrorCode::Unavailable,
            "the replicated log of the controllers did not accept the command; try again",
        );
        token
            .map(|token| reply(token, ControlReply::Error(error)))
            .into_iter()
            .collect()
    }

    /// Sets the time until which the replicated log guarantees that no other controller leads. Without such a
    /// guarantee, the driver must confirm leadership with a quorum before passing requests in, and may use
    /// `Timestamp::MAX`.
    pub fn extend_read_lease(&mut self, until: Timestamp) {
        self.read_lease_until = until;
    }

    /// Handles the start or end of leadership.
    pub fn on_role_change(
        &mut self,
        now: Timestamp,
        role: LeaderRole,
        state: &ControlState,
    ) -> Vec<LeaderOutput> {
        let was_leading = self.leads();
        self.role = role;
        match role {
            LeaderRole::Leading if !was_leading => {
                self.start_leading(now, state);
                Vec::new()
            }
            LeaderRole::Following(_) if was_leading => self.fail_pending(),
            _ => Vec::new(),
        }
    }

    /// Handles a command that was applied to `state`.
    pub fn on_applied(
        &mut self,
        now: Timestamp,
        applied: &Applied,
        state: &ControlState,
    ) -> Vec<LeaderOutput> {
        self.acceptances.record(state.position().settings, now);
        let Some(origin) = applied.origin.filter(|origin| origin.node == self.node) else {
            return Vec::new();
        };
        let pending = self.pending.remove(&origin.serial);
        let token = pending.and_then(|pending| pending.token);
        token
            .map(|token| reply(token, reply_to_outcome(&applied.outcome)))
            .into_iter()
            .collect()
    }

    /// Must be called several times a second.
    pub fn tick(&mut self, now: Timestamp, state: &ControlState) -> Vec<LeaderOutput> {
        if !self.leads() {
            return Vec::new();
        }
        let mut outputs = self.expire_proposals(now);
        outputs.extend(self.propose_fleet_options(now, state));
        outputs.extend(self.check_nodes(now, state));
        outputs
    }

    /// Unreplicated state that affects replies; part of the fingerprint of model-checker states.
    pub(crate) fn reply_state(&self) -> impl std::fmt::Debug {
        (
            (self.role, self.leading_since, self.configured),
            (&self.acceptances, &self.proposed_nodes),
        )
    }

    /// State derived from heartbeats; part of the fingerprint of model-checker states.
    pub(crate) fn heartbeat_state(&self) -> impl std::fmt::Debug {
        (
            (&self.down_since, &self.positions),
            (&self.detector, &self.damper),
        )
    }

    fn start_leading(&mut self, now: Timestamp, state: &ControlState) {
        self.leading_since = now;
        self.configured = false;
        self.proposed_nodes.clear();
        self.down_since.clear();
        self.positions.clear();
        self.detector = FailureDetector::new(self.options.detector, now);
        for node in state.map().members.keys() {
            self.detector.watch(*node, now);
        }
        self.acceptances = AcceptanceTimes::default();
        self.acceptances.record(state.position().settings, now);
    }

    fn fail_pending(&mut self) -> Vec<LeaderOutput> {
        let pending = std::mem::take(&mut self.pending);
        pending
            .into_values()
            .filter_map(|pending| pending.token)
            .map(|token| reply(token, outcome_unknown()))
            .collect()
    }

    fn expire_proposals(&mut self, now: Timestamp) -> Vec<LeaderOutput> {
        let expired: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, pending)| now.since(pending.proposed_at) > PROPOSAL_TIMEOUT)
            .map(|(serial, _)| *serial)
            .collect();
        self.counters.proposals_lost += expired.len() as u64;
        expired
            .into_iter()
            .filter_map(|serial| self.pending.remove(&serial)?.token)
            .map(|token| reply(token, outcome_unknown()))
            .collect()
    }

    fn propose_fleet_options(
        &mut self,
        now: Timestamp,
        state: &ControlState,
    ) -> Option<LeaderOutput> {
        if self.configured {
            return None;
        }
        self.configured = true;
        let wanted = self.options.fleet;
        if state.fleet_options() == Some(wanted) {
            return None;
        }
        Some(self.propose(now, None, CommandBody::Configure(wanted)))
    }

    fn propose(
        &mut self,
        now: Timestamp,
        token: Option<RequestToken>,
        body: CommandBody,
    ) -> LeaderOutput {
        self.next_serial += 1;
        let pending = PendingProposal {
            token,
            proposed_at: now,
        };
        self.pending.insert(self.next_serial, pending);
        LeaderOutput::Propose(ControlCommand {
            at: now,
            origin: CommandOrigin {
                node: self.node,
                serial: self.next_serial,
            },
            body,
        })
    }

    /// Whether the local state is guaranteed to be the newest.
    fn has_read_lease(&self, now: Timestamp) -> bool {
        self.leads() && now < self.read_lease_until
    }

    fn known_leader(&self) -> Option<NodeId> {
        match self.role {
            LeaderRole::Leading => None,
            LeaderRole::Following(leader) => leader,
        }
    }
}

fn reply(token: RequestToken, reply: ControlReply) -> LeaderOutput {
    LeaderOutput::Reply {
        token,
        reply: Box::new(reply),
    }
}

fn reply_to_outcome(outcome: &ApplyOutcome) -> ControlReply {
    match outcome {
        ApplyOutcome::Settings(record) => ControlReply::Settings(record.clone()),
        ApplyOutcome::Granted(grant) => ControlReply::Granted(grant.clone()),
        ApplyOutcome::Fence(fence) => ControlReply::Fence(*fence),
        ApplyOutcome::Done => ControlReply::Done,
        ApplyOutcome::Refused(error) => ControlReply::Error(error.clone()),
    }
}

/// The reply when a proposal may or may not be applied later.
fn outcome_unknown() -> ControlReply {
    ControlReply::Error(CallError::may_have_run(
        ErrorCode::Unavailable,
        "the controller lost leadership or quorum before the outcome was known; retry the same request",
    ))
}

#[cfg(test)]
mod tests;
