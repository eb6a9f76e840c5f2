//! Whom a node asks for settings and map.
//!
//! In order: the live nodes of its zone that rank above it as relays, then the controllers. The best ranked node of
//! a zone therefore asks the controllers itself, and no two nodes with the same map ever wait for each other.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use courseshed_membership::relays_for;
use courseshed_types::{
    NodeId, Timestamp,
    control::{Member, MemberMap, NodeRole},
};

use super::ViewOptions;

/// A controller as the node's settings file names it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ControllerSeed {
    /// The controller.
    pub node: NodeId,
    /// Its address for other nodes, `ip:port`.
    pub peer_address: String,
}

/// Where to send a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ControlTarget {
    /// The node.
    pub node: NodeId,
    /// Its address for other nodes, `ip:port`.
    pub peer_address: String,
}

/// The choice of whom to ask.
#[derive(Debug, Clone)]
pub(super) struct Upstream {
    node: NodeId,
    seeds: Vec<ControllerSeed>,
    failures_to_switch: u32,
    prefer_again_after: Duration,
    failures: u32,
    /// Relays that failed, and when.
    passed_over: BTreeMap<NodeId, Timestamp>,
    leader: Option<NodeId>,
    rotation: usize,
    /// The relay asked last; none if that was a controller.
    asked_relay: Option<NodeId>,
}

impl Upstream {
    pub(super) fn new(node: NodeId, seeds: Vec<ControllerSeed>, options: &ViewOptions) -> Upstream {
        Upstream {
            node,
            seeds,
            failures_to_switch: options.failures_to_switch,
            prefer_again_after: options.prefer_again_after,
            failures: 0,
            passed_over: BTreeMap::new(),
            leader: None,
            rotation: node.0 as usize,
            asked_relay: None,
        }
    }

    /// Whom to ask now; without a valid lease only controllers, since a relay may be as cut off as this node.
    pub(super) fn target(
        &mut self,
        now: Timestamp,
        member: &Member,
        map: &Arc<MemberMap>,
        leased: bool,
    ) -> Option<ControlTarget> {
        let keep = self.prefer_again_after;
        self.passed_over
            .retain(|_, failed_at| now.since(*failed_at) <= keep);
        let relay = self.relay(member, map).filter(|_| leased);
        self.asked_relay = relay.as_ref().map(|target| target.node);
        relay.or_else(|| self.controller(map))
    }

    fn relay(&self, member: &Member, map: &MemberMap) -> Option<ControlTarget> {
        let ranked = relays_for(&member.zone, map);
        let mut above = ranked.into_iter().take_while(|node| *node != self.node);
        let node = above.find(|node| !self.passed_over.contains_key(node))?;
        Some(ControlTarget {
            node,
            peer_address: map.members.get(&node)?.peer_address.clone(),
        })
    }

    /// The controller that leads as far as known, or else one after the other.
    pub(super) fn controller(&self, map: &MemberMap) -> Option<ControlTarget> {
        let controllers = self.controllers(map);
        if controllers.is_empty() {
            return None;
        }
        let leader = controllers
            .iter()
            .find(|target| Some(target.node) == self.leader);
        let next = &controllers[self.rotation % controllers.len()];
        Some(leader.unwrap_or(next).clone())
    }

    /// The controllers of the settings file, at the addresses of the map where it knows them, and those of the map.
    fn controllers(&self, map: &MemberMap) -> Vec<ControlTarget> {
        let mut targets: Vec<ControlTarget> = map
            .members
            .values()
            .filter(|member| member.roles.contains(&NodeRole::Controller))
            .map(|member| ControlTarget {
                node: member.node,
                peer_address: member.peer_address.clone(),
            })
            .collect();
        for seed in &self.seeds {
            if !targets.iter().any(|target| target.node == seed.node) {
                targets.push(ControlTarget {
                    node: seed.node,
                    peer_address: seed.peer_address.clone(),
                });
            }
        }
        if targets.len() > 1 && self.leader != Some(self.node) {
            targets.retain(|target| target.node != self.node);
        }
        targets.sort_by_key(|target| target.node);
        targets
    }

    pub(super) fn on_success(&mut self) {
        self.failures = 0;
    }

    /// Whether another upstream is taken from now on.
    pub(super) fn on_failure(&mut self, now: Timestamp) -> bool {
        self.failures += 1;
        if self.failures < self.failures_to_switch {
            return false;
        }
        self.failures = 0;
        match self.asked_relay {
            Some(relay) => {
                self.passed_over.insert(relay, now);
            }
            None => {
                self.leader = None;
                self.rotation = self.rotation.wrapping_add(1);
            }
        }
        true
    }

    /// A controller that does not lead named the one that does; one that can't name it is not asked again at once.
    pub(super) fn set_leader(&mut self, leader: Option<NodeId>, map: &MemberMap) {
        if leader.is_none() || leader == self.leader {
            self.rotation = self.rotation.wrapping_add(1);
        }
        self.leader = leader;
        let known = self.controllers(map);
        if !known.iter().any(|target| Some(target.node) == leader) {
            self.leader = None;
        }
    }
}
