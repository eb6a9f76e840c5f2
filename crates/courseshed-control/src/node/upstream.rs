//! Selection of the upstream from which a node obtains settings and the member map.
//!
//! Candidates are the live nodes of the zone that rank above this node as relays, then the controllers. The highest
//! ranked node of a zone therefore contacts the controllers directly, and nodes with the same map never form a cycle.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use courseshed_membership::relays_for;
use courseshed_types::{
    NodeId, Timestamp,
    control::{Member, MemberMap, NodeRole},
};

use super::ViewOptions;

/// A controller from the node's settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ControllerSeed {
    /// The controller.
    pub node: NodeId,
    /// Its address for other nodes, `ip:port`.
    pub peer_address: String,
}

/// Destination of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ControlTarget {
    /// The node.
    pub node: NodeId,
    /// Its address for other nodes, `ip:port`.
    pub peer_address: String,
}

/// Upstream selection state.
#[derive(Debug, Clone)]
pub(super) struct Upstream {
    node: NodeId,
    seeds: Vec<ControllerSeed>,
    max_consecutive_failures: u32,
    relay_retry_interval: Duration,
    failures: u32,
    /// Relays that failed, with the time of failure.
    failed_relays: BTreeMap<NodeId, Timestamp>,
    leader: Option<NodeId>,
    rotation: usize,
    /// The relay contacted last; `None` if that was a controller.
    last_relay: Option<NodeId>,
}

impl Upstream {
    pub(super) fn new(node: NodeId, seeds: Vec<ControllerSeed>, options: &ViewOptions) -> Upstream {
        Upstream {
            node,
            seeds,
            max_consecutive_failures: options.max_consecutive_failures,
            relay_retry_interval: options.relay_retry_interval,
            failures: 0,
            failed_relays: BTreeMap::new(),
            leader: None,
            rotation: node.0 as usize,
            last_relay: None,
        }
    }

    /// Returns the node to contact. Without a valid lease only controllers are used, since a relay may be partitioned
    /// as well.
    pub(super) fn target(
        &mut self,
        now: Timestamp,
        member: &Member,
        map: &Arc<MemberMap>,
        has_lease: bool,
    ) -> Option<ControlTarget> {
        let retry_interval = self.relay_retry_interval;
        self.failed_relays
            .retain(|_, failed_at| now.since(*failed_at) <= retry_interval);
        let relay = self.relay(member, map).filter(|_| has_lease);
        self.last_relay = relay.as_ref().map(|target| target.node);
        relay.or_else(|| self.controller(map))
    }

    fn relay(&self, member: &Member, map: &MemberMap) -> Option<ControlTarget> {
        let ranked = relays_for(&member.zone, map);
        let mut higher_ranked = ranked.into_iter().take_while(|node| *node != self.node);
        let node = higher_ranked.find(|node| !self.failed_relays.contains_key(node))?;
        Some(ControlTarget {
            node,
            peer_address: map.members.get(&node)?.peer_address.clone(),
        })
    }

    /// Returns the known leader among the controllers, or otherwise the next controller in rotation.
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

    /// Returns the controllers of the map, plus those of the settings file that the map does not contain.
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

    /// Records a failure; returns whether it switches to another upstream.
    pub(super) fn on_failure(&mut self, now: Timestamp) -> bool {
        self.failures += 1;
        if self.failures < self.max_consecutive_failures {
            return false;
        }
        self.failures = 0;
        match self.last_relay {
            Some(relay) => {
                self.failed_relays.insert(relay, now);
            }
            None => {
                self.leader = None;
                self.rotation = self.rotation.wrapping_add(1);
            }
        }
        true
    }

    /// Handles the leader reported by another controller. If no new leader is reported, the rotation advances to the
    /// next controller.
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
