//! The soft logic of the controller that leads.
//!
//! It hears nodes, proposes commands and answers requests. All of it may be lost: a new leader starts from the
//! replicated state and from what it hears, and waits a grace before it calls anyone down.
//!
//! A settings lease handed out at a time says that no newer version was accepted before that time. Therefore the
//! leader answers with a lease only while its own read lease from the replicated log holds, that is while no other
//! controller can have had a newer version committed.

mod hearing;
mod in_force;
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
use in_force::AcceptanceTimes;

/// Time after which a proposal that was not applied is given up.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after which a proposal about a node may be made again.
const NODE_PROPOSAL_RETRY: Duration = Duration::from_secs(2);

/// Names a request until it is answered; the driver chooses it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestToken(pub u64);

/// Times and sizes of the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaderOptions {
    /// How long a node may rely on settings that it has confirmed to be the newest.
    pub settings_lease: Duration,
    /// How much faster than a node's clock the leader's may run, in parts of a hundred.
    pub clock_rate_percent: u32,
    /// When nodes are called down.
    pub detector: DetectorOptions,
    /// How nodes that fail again and again are held back.
    pub damping: DampingOptions,
    /// Time after an election in which no node is called down.
    pub election_grace: Duration,
    /// Time after which a node that is down is forgotten.
    pub forget_after: Duration,
    /// How the fleet is to be configured.
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

/// What the replicated log says of this controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaderRole {
    /// It leads, and has applied every entry committed before its term.
    Leading,
    /// Another leads, if known.
    Following(Option<NodeId>),
}

/// What the driver must do.
#[derive(Debug, Clone, PartialEq)]
pub enum LeaderOutput {
    /// Propose the command to the replicated log.
    Propose(ControlCommand),
    /// Answer the request.
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
struct HeardPosition {
    incarnation: Incarnation,
    position: ControlPosition,
}

/// Numbers for operators and metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LeaderCounters {
    /// Nodes called down.
    pub nodes_down: u64,
    /// Nodes registered or registered again.
    pub nodes_registered: u64,
    /// Registrations held back by flap damping.
    pub returns_damped: u64,
    /// Settings changes proposed.
    pub settings_proposed: u64,
    /// Settings changes refused before they were proposed.
    pub settings_refused: u64,
    /// Grants proposed.
    pub grants_proposed: u64,
    /// Proposals given up.
    pub proposals_lost: u64,
    /// Heartbeats heard, directly or through relays.
    pub heartbeats: u64,
}

/// The leader's soft state.
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
    positions: BTreeMap<NodeId, HeardPosition>,
    detector: FailureDetector,
    damper: FlapDamper,
    acceptances: AcceptanceTimes,
    configured: bool,
    counters: LeaderCounters,
}

impl<C: TreeCompiler> ControlLeader<C> {
    /// A controller that does not lead yet. `now` must be later than at any earlier start of this node.
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

    /// Whether this controller leads.
    pub fn leads(&self) -> bool {
        self.role == LeaderRole::Leading
    }

    /// Numbers for operators and metrics.
    pub fn counters(&self) -> LeaderCounters {
        self.counters
    }

    /// The settings version a node has in force, as last heard.
    pub fn heard_position(&self, node: NodeId) -> Option<ControlPosition> {
        self.positions.get(&node).map(|heard| heard.position)
    }

    /// All nodes heard since this controller leads, with what they had in force.
    pub(super) fn heard_nodes(&self) -> Vec<HeardNode> {
        let heard = self.positions.iter();
        heard
            .map(|(node, heard)| HeardNode {
                node: *node,
                incarnation: heard.incarnation,
                position: heard.position,
            })
            .collect()
    }

    /// The replicated log did not take a command: nothing was written.
    pub fn on_not_proposed(&mut self, origin: CommandOrigin) -> Vec<LeaderOutput> {
        let pending = self.pending.remove(&origin.serial);
        let token = pending.and_then(|pending| pending.token);
        let error = CallError::not_run(ErrorCode::Unavailable, "the controllers' log is busy");
        token
            .map(|token| reply(token, ControlReply::Error(error)))
            .into_iter()
            .collect()
    }

    /// The replicated log guarantees until then that no other controller leads. Without such a guarantee the leader
    /// must confirm its leadership with a quorum before it passes requests in, and may give `Timestamp::MAX`.
    pub fn extend_read_lease(&mut self, until: Timestamp) {
        self.read_lease_until = until;
    }

    /// Leadership began or ended.
    pub fn on_role_change(
        &mut self,
        now: Timestamp,
        role: LeaderRole,
        state: &ControlState,
    ) -> Vec<LeaderOutput> {
        let led = self.leads();
        self.role = role;
        match role {
            LeaderRole::Leading if !led => {
                self.start_leading(now, state);
                Vec::new()
            }
            LeaderRole::Following(_) if led => self.abandon_pending(),
            _ => Vec::new(),
        }
    }

    /// A command was applied to `state`.
    pub fn on_applied(
        &mut self,
        now: Timestamp,
        applied: &Applied,
        state: &ControlState,
    ) -> Vec<LeaderOutput> {
        self.acceptances.note(state.position().settings, now);
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

    /// To be called several times a second.
    pub fn tick(&mut self, now: Timestamp, state: &ControlState) -> Vec<LeaderOutput> {
        if !self.leads() {
            return Vec::new();
        }
        let mut outputs = self.give_up_lost(now);
        outputs.extend(self.configure(now, state));
        outputs.extend(self.judge_nodes(now, state));
        outputs
    }

    /// What decides its answers besides the replicated state, for telling states of a model apart.
    pub(crate) fn answering_state(&self) -> impl std::fmt::Debug {
        (
            (self.role, self.leading_since, self.configured),
            (&self.acceptances, &self.proposed_nodes),
        )
    }

    /// What it has heard and concluded of nodes, for telling states of a model apart.
    pub(crate) fn hearing_state(&self) -> impl std::fmt::Debug {
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
        self.acceptances.note(state.position().settings, now);
    }

    fn abandon_pending(&mut self) -> Vec<LeaderOutput> {
        let pending = std::mem::take(&mut self.pending);
        pending
            .into_values()
            .filter_map(|pending| pending.token)
            .map(|token| reply(token, outcome_unknown()))
            .collect()
    }

    fn give_up_lost(&mut self, now: Timestamp) -> Vec<LeaderOutput> {
        let lost: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, pending)| now.since(pending.proposed_at) > PROPOSAL_TIMEOUT)
            .map(|(serial, _)| *serial)
            .collect();
        self.counters.proposals_lost += lost.len() as u64;
        lost.into_iter()
            .filter_map(|serial| self.pending.remove(&serial)?.token)
            .map(|token| reply(token, outcome_unknown()))
            .collect()
    }

    fn configure(&mut self, now: Timestamp, state: &ControlState) -> Option<LeaderOutput> {
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

    /// Whether answers may rely on the state being the newest there is.
    fn may_answer(&self, now: Timestamp) -> bool {
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

/// The answer when a proposal may or may not come to be applied.
fn outcome_unknown() -> ControlReply {
    ControlReply::Error(CallError::may_have_run(
        ErrorCode::Unavailable,
        "the controller lost its leadership or quorum before the outcome was known; send the same request again",
    ))
}

#[cfg(test)]
mod tests;
