//! Processing of heartbeats, and the resulting registrations and removals of nodes.

use std::time::Duration;

use courseshed_membership::Liveness;
use courseshed_types::{
    CallError, ErrorCode, Incarnation, NodeId, Timestamp,
    control::{ControlReply, HeardNode, Member, NodeHeartbeat, NodeState, ZoneReport},
};

use super::{
    CommandBody, ControlLeader, LeaderOutput, NODE_PROPOSAL_RETRY, ReportedPosition, TreeCompiler,
};
use crate::state::ControlState;

/// How the incarnation of a heartbeat compares with the member map.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum IncarnationStatus {
    Current,
    New,
    Stale,
}

impl<C: TreeCompiler> ControlLeader<C> {
    /// Sets the nodes that the platform's list marks as leaving or omits.
    pub fn set_platform_hints(&mut self, absent: std::collections::BTreeSet<NodeId>) {
        self.detector.set_reported_absent(absent);
    }

    pub(super) fn on_heartbeat(
        &mut self,
        now: Timestamp,
        heartbeat: &NodeHeartbeat,
        state: &ControlState,
    ) -> (ControlReply, Vec<LeaderOutput>) {
        let member = &heartbeat.member;
        if incarnation_status(member.node, member.incarnation, state) == IncarnationStatus::Stale {
            return (stale_incarnation_reply(member.node), Vec::new());
        }
        let proposals = self.process_heartbeat(now, heartbeat, state);
        let reply = self.heartbeat_reply(member.node, member.incarnation, state);
        (reply, proposals.into_iter().collect())
    }

    pub(super) fn on_zone_report(
        &mut self,
        now: Timestamp,
        report: &ZoneReport,
        state: &ControlState,
    ) -> (ControlReply, Vec<LeaderOutput>) {
        let mut outputs = Vec::new();
        for heard in &report.heard {
            outputs.extend(self.process_short_heartbeat(now, heard, state));
        }
        for heartbeat in &report.changed {
            let member = &heartbeat.member;
            if incarnation_status(member.node, member.incarnation, state)
                != IncarnationStatus::Stale
            {
                outputs.extend(self.process_heartbeat(now, heartbeat, state));
            }
        }
        let Some(incarnation) = report.sender_incarnation() else {
            let error = CallError::not_run(
                ErrorCode::InvalidRequest,
                "the zone report does not list its sender",
            );
            return (ControlReply::Error(error), outputs);
        };
        if incarnation_status(report.from, incarnation, state) == IncarnationStatus::Stale {
            return (stale_incarnation_reply(report.from), outputs);
        }
        (
            self.heartbeat_reply(report.from, incarnation, state),
            outputs,
        )
    }

    /// Proposes state changes for nodes according to the time of their last heartbeat.
    pub(super) fn check_nodes(
        &mut self,
        now: Timestamp,
        state: &ControlState,
    ) -> Vec<LeaderOutput> {
        self.detector.tick(now);
        if now.since(self.leading_since) < self.options.election_grace {
            return Vec::new();
        }
        let mut outputs = Vec::new();
        for member in state.map().members.values() {
            outputs.extend(match member.state {
                NodeState::Live | NodeState::Leaving => self.check_present_node(now, member),
                NodeState::Down => self.check_down_node(now, member, state),
            });
        }
        outputs
    }

    fn check_present_node(&mut self, now: Timestamp, member: &Member) -> Option<LeaderOutput> {
        self.detector.watch(member.node, now);
        self.down_since.remove(&member.node);
        let down = self.detector.liveness(member.node, now) == Liveness::Down;
        if !down || self.was_proposed_recently(member.node, now) {
            return None;
        }
        self.proposed_nodes.insert(member.node, now);
        self.damper.record_failure(member.node, now);
        self.counters.nodes_down += 1;
        let body = CommandBody::NodeDown {
            node: member.node,
            incarnation: member.incarnation,
        };
        Some(self.propose(now, None, body))
    }

    fn check_down_node(
        &mut self,
        now: Timestamp,
        member: &Member,
        state: &ControlState,
    ) -> Option<LeaderOutput> {
        let since = *self.down_since.entry(member.node).or_insert(now);
        let mut placements = state.map().shards.values();
        let keeps_replicas = placements.any(|shard| shard.replicas.contains(&member.node));
        let is_expired = now.since(since) > self.options.forget_after;
        if !is_expired || keeps_replicas || self.was_proposed_recently(member.node, now) {
            return None;
        }
        self.proposed_nodes.insert(member.node, now);
        self.detector.unwatch(member.node);
        self.positions.remove(&member.node);
        Some(self.propose(now, None, CommandBody::NodeGone(member.node)))
    }

    /// Processes a heartbeat that contains the full member entry.
    fn process_heartbeat(
        &mut self,
        now: Timestamp,
        heartbeat: &NodeHeartbeat,
        state: &ControlState,
    ) -> Option<LeaderOutput> {
        let member = &heartbeat.member;
        self.record_position(now, member.node, member.incarnation, heartbeat);
        let known = state.map().members.get(&member.node);
        if known.is_some_and(|known| matches_member(known, member)) {
            return None;
        }
        self.register(now, member.clone(), known)
    }

    /// Processes a short heartbeat of a node whose entry in the relay's member map is unchanged.
    fn process_short_heartbeat(
        &mut self,
        now: Timestamp,
        heard: &HeardNode,
        state: &ControlState,
    ) -> Option<LeaderOutput> {
        let known = state.map().members.get(&heard.node)?;
        if known.incarnation != heard.incarnation {
            return None;
        }
        let heartbeat = NodeHeartbeat {
            member: Member {
                state: state_when_alive(known),
                ..known.clone()
            },
            position: heard.position,
        };
        self.process_heartbeat(now, &heartbeat, state)
    }

    fn record_position(
        &mut self,
        now: Timestamp,
        node: NodeId,
        incarnation: Incarnation,
        heartbeat: &NodeHeartbeat,
    ) {
        self.counters.heartbeats += 1;
        self.detector.record_heartbeat(node, now);
        let reported = self.positions.entry(node).or_insert(ReportedPosition {
            incarnation,
            position: heartbeat.position,
        });
        if incarnation > reported.incarnation {
            *reported = ReportedPosition {
                incarnation,
                position: heartbeat.position,
            };
        }
        if incarnation == reported.incarnation {
            let newest = reported.position.settings.max(heartbeat.position.settings);
            reported.position.settings = newest;
            reported.position.map = reported.position.map.max(heartbeat.position.map);
        }
    }

    fn register(
        &mut self,
        now: Timestamp,
        member: Member,
        known: Option<&Member>,
    ) -> Option<LeaderOutput> {
        let is_rejoining = known.is_some_and(|known| known.state == NodeState::Down);
        if is_rejoining && !self.damper.may_rejoin(member.node, now) {
            self.counters.returns_damped += 1;
            return None;
        }
        if self.was_proposed_recently(member.node, now) {
            return None;
        }
        self.proposed_nodes.insert(member.node, now);
        self.counters.nodes_registered += 1;
        Some(self.propose(now, None, CommandBody::RegisterNode(member)))
    }

    fn was_proposed_recently(&self, node: NodeId, now: Timestamp) -> bool {
        let proposed = self.proposed_nodes.get(&node);
        proposed.is_some_and(|at| now.since(*at) < NODE_PROPOSAL_RETRY)
    }

    /// Grants a lease only to incarnations in the member map, because `settings wait` does not track others.
    fn heartbeat_reply(
        &self,
        node: NodeId,
        incarnation: Incarnation,
        state: &ControlState,
    ) -> ControlReply {
        let known = incarnation_status(node, incarnation, state) == IncarnationStatus::Current;
        ControlReply::Heard {
            position: state.position(),
            settings_lease: if known {
                self.options.settings_lease
            } else {
                Duration::ZERO
            },
        }
    }
}

fn incarnation_status(
    node: NodeId,
    incarnation: Incarnation,
    state: &ControlState,
) -> IncarnationStatus {
    match state.map().members.get(&node) {
        Some(known) if known.incarnation > incarnation => IncarnationStatus::Stale,
        Some(known) if known.incarnation == incarnation => IncarnationStatus::Current,
        _ => IncarnationStatus::New,
    }
}

/// Whether a heartbeat matches the node's entry in the member map. The map may list a live node as leaving, because
/// operators can drain it.
fn matches_member(known: &Member, reported: &Member) -> bool {
    let same_state = known.state == reported.state
        || (known.state == NodeState::Leaving && reported.state == NodeState::Live);
    same_state
        && known.incarnation == reported.incarnation
        && known.zone == reported.zone
        && known.region == reported.region
        && known.peer_address == reported.peer_address
        && known.http_address == reported.http_address
        && known.roles == reported.roles
}

fn state_when_alive(known: &Member) -> NodeState {
    match known.state {
        NodeState::Down => NodeState::Live,
        other => other,
    }
}

fn stale_incarnation_reply(node: NodeId) -> ControlReply {
    let message = format!("a newer incarnation of node {node} is registered; this one must stop");
    ControlReply::Error(CallError::not_run(ErrorCode::Forbidden, message))
}
