//! Heartbeats, and the proposals that follow from hearing or not hearing a node.

use std::time::Duration;

use courseshed_membership::Liveness;
use courseshed_types::{
    CallError, ErrorCode, Incarnation, NodeId, Timestamp,
    control::{ControlReply, HeardNode, Member, NodeHeartbeat, NodeState, ZoneReport},
};

use super::{
    CommandBody, ControlLeader, HeardPosition, LeaderOutput, NODE_PROPOSAL_RETRY, TreeCompiler,
};
use crate::state::ControlState;

/// Whether a sign of life comes from a start that the member map knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Acquaintance {
    Known,
    New,
    Outdated,
}

impl<C: TreeCompiler> ControlLeader<C> {
    /// Nodes that the platform's list calls leaving or does not name.
    pub fn set_platform_hints(&mut self, absent: std::collections::BTreeSet<NodeId>) {
        self.detector.set_hints(absent);
    }

    pub(super) fn on_heartbeat(
        &mut self,
        now: Timestamp,
        heartbeat: &NodeHeartbeat,
        state: &ControlState,
    ) -> (ControlReply, Vec<LeaderOutput>) {
        let member = &heartbeat.member;
        if acquaintance(member.node, member.incarnation, state) == Acquaintance::Outdated {
            return (outdated_start(member.node), Vec::new());
        }
        let proposals = self.hear_member(now, heartbeat, state);
        let reply = self.heard_reply(member.node, member.incarnation, state);
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
            outputs.extend(self.hear_known(now, heard, state));
        }
        for heartbeat in &report.changed {
            let member = &heartbeat.member;
            if acquaintance(member.node, member.incarnation, state) != Acquaintance::Outdated {
                outputs.extend(self.hear_member(now, heartbeat, state));
            }
        }
        let Some(incarnation) = report.sender_incarnation() else {
            let error = CallError::not_run(ErrorCode::InvalidRequest, "the sender is not listed");
            return (ControlReply::Error(error), outputs);
        };
        if acquaintance(report.from, incarnation, state) == Acquaintance::Outdated {
            return (outdated_start(report.from), outputs);
        }
        (self.heard_reply(report.from, incarnation, state), outputs)
    }

    /// Judges every node by when it was last heard.
    pub(super) fn judge_nodes(
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
                NodeState::Live | NodeState::Leaving => self.judge_present(now, member),
                NodeState::Down => self.judge_down(now, member, state),
            });
        }
        outputs
    }

    fn judge_present(&mut self, now: Timestamp, member: &Member) -> Option<LeaderOutput> {
        self.detector.watch(member.node, now);
        self.down_since.remove(&member.node);
        let down = self.detector.liveness(member.node, now) == Liveness::Down;
        if !down || self.proposed_lately(member.node, now) {
            return None;
        }
        self.proposed_nodes.insert(member.node, now);
        self.damper.failed(member.node, now);
        self.counters.nodes_down += 1;
        let body = CommandBody::NodeDown {
            node: member.node,
            incarnation: member.incarnation,
        };
        Some(self.propose(now, None, body))
    }

    fn judge_down(
        &mut self,
        now: Timestamp,
        member: &Member,
        state: &ControlState,
    ) -> Option<LeaderOutput> {
        let since = *self.down_since.entry(member.node).or_insert(now);
        let mut placements = state.map().shards.values();
        let keeps_replicas = placements.any(|shard| shard.replicas.contains(&member.node));
        let long = now.since(since) > self.options.forget_after;
        if !long || keeps_replicas || self.proposed_lately(member.node, now) {
            return None;
        }
        self.proposed_nodes.insert(member.node, now);
        self.detector.forget(member.node);
        self.positions.remove(&member.node);
        Some(self.propose(now, None, CommandBody::NodeGone(member.node)))
    }

    /// A sign of life that carries the whole member.
    fn hear_member(
        &mut self,
        now: Timestamp,
        heartbeat: &NodeHeartbeat,
        state: &ControlState,
    ) -> Option<LeaderOutput> {
        let member = &heartbeat.member;
        self.note_heard(now, member.node, member.incarnation, heartbeat);
        let known = state.map().members.get(&member.node);
        if known.is_some_and(|known| agrees(known, member)) {
            return None;
        }
        self.register(now, member.clone(), known)
    }

    /// A sign of life of a node that its relay found to be as the member map says.
    fn hear_known(
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
                state: alive_state(known),
                ..known.clone()
            },
            position: heard.position,
        };
        self.hear_member(now, &heartbeat, state)
    }

    fn note_heard(
        &mut self,
        now: Timestamp,
        node: NodeId,
        incarnation: Incarnation,
        heartbeat: &NodeHeartbeat,
    ) {
        self.counters.heartbeats += 1;
        self.detector.heard(node, now);
        let heard = self.positions.entry(node).or_insert(HeardPosition {
            incarnation,
            position: heartbeat.position,
        });
        if incarnation > heard.incarnation {
            *heard = HeardPosition {
                incarnation,
                position: heartbeat.position,
            };
        }
        if incarnation == heard.incarnation {
            let newest = heard.position.settings.max(heartbeat.position.settings);
            heard.position.settings = newest;
            heard.position.map = heard.position.map.max(heartbeat.position.map);
        }
    }

    fn register(
        &mut self,
        now: Timestamp,
        member: Member,
        known: Option<&Member>,
    ) -> Option<LeaderOutput> {
        let returns = known.is_some_and(|known| known.state == NodeState::Down);
        if returns && !self.damper.may_return(member.node, now) {
            self.counters.returns_damped += 1;
            return None;
        }
        if self.proposed_lately(member.node, now) {
            return None;
        }
        self.proposed_nodes.insert(member.node, now);
        self.counters.nodes_registered += 1;
        Some(self.propose(now, None, CommandBody::RegisterNode(member)))
    }

    fn proposed_lately(&self, node: NodeId, now: Timestamp) -> bool {
        let proposed = self.proposed_nodes.get(&node);
        proposed.is_some_and(|at| now.since(*at) < NODE_PROPOSAL_RETRY)
    }

    /// A start that is not in the member map gets no lease: `settings wait` would not know of it.
    fn heard_reply(
        &self,
        node: NodeId,
        incarnation: Incarnation,
        state: &ControlState,
    ) -> ControlReply {
        let known = acquaintance(node, incarnation, state) == Acquaintance::Known;
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

fn acquaintance(node: NodeId, incarnation: Incarnation, state: &ControlState) -> Acquaintance {
    match state.map().members.get(&node) {
        Some(known) if known.incarnation > incarnation => Acquaintance::Outdated,
        Some(known) if known.incarnation == incarnation => Acquaintance::Known,
        _ => Acquaintance::New,
    }
}

/// Whether the map already says of a node what its heartbeat says. The map may call a live node leaving, since
/// operators can drain it from outside.
fn agrees(known: &Member, heard: &Member) -> bool {
    let same_state = known.state == heard.state
        || (known.state == NodeState::Leaving && heard.state == NodeState::Live);
    same_state
        && known.incarnation == heard.incarnation
        && known.zone == heard.zone
        && known.region == heard.region
        && known.peer_address == heard.peer_address
        && known.http_address == heard.http_address
        && known.roles == heard.roles
}

fn alive_state(known: &Member) -> NodeState {
    match known.state {
        NodeState::Down => NodeState::Live,
        other => other,
    }
}

fn outdated_start(node: NodeId) -> ControlReply {
    let message = format!("a later start of node {node} is known; this one must stop");
    ControlReply::Error(CallError::not_run(ErrorCode::Forbidden, message))
}
