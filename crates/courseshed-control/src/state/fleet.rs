//! Commands that change the member map: nodes, engines and shard placement.
//!
//! Every command recomputes the shard placement. The epoch increases by one if the map changed; commands without
//! effect leave it unchanged and can be repeated.

use std::{collections::BTreeSet, sync::Arc};

use courseshed_membership::place_shards;
use courseshed_types::{
    CallError, EngineId, ErrorCode, Incarnation, MapEpoch, NodeId,
    control::{Member, MemberMap, NodeState, ShardVoters},
    dispatch::{EngineMember, EngineState},
};
use serde::{Deserialize, Serialize};

use crate::{
    publish::Published,
    state::{ApplyOutcome, FleetOptions, bootstrap::bootstrap_shards},
};

type Outcome = Result<ApplyOutcome, CallError>;

/// Fleet state that is not part of the member map.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(super) struct Fleet {
    options: Option<FleetOptions>,
    drained_nodes: BTreeSet<NodeId>,
    /// Includes engines that are missing from the list of engines, because it may be stale and include them again.
    drained_engines: BTreeSet<EngineId>,
}

impl Fleet {
    pub(super) fn options(&self) -> Option<FleetOptions> {
        self.options
    }

    pub(super) fn configure(&mut self, published: &mut Published, wanted: FleetOptions) -> Outcome {
        let mut options = wanted;
        if let Some(old) = self.options {
            let kept = old.placement.shards_per_region;
            options.placement.shards_per_region = kept.max(wanted.placement.shards_per_region);
        }
        self.options = Some(options);
        self.edit(published, |_| ());
        Ok(ApplyOutcome::Done)
    }

    pub(super) fn register(&mut self, published: &mut Published, mut member: Member) -> Outcome {
        let known = published.map().members.get(&member.node);
        if let Some(known) = known.filter(|known| known.incarnation > member.incarnation) {
            let message = format!(
                "incarnation {} of node {} is older than its registered incarnation {}",
                member.incarnation, member.node, known.incarnation
            );
            return Err(CallError::not_run(ErrorCode::Forbidden, message));
        }
        if self.drained_nodes.contains(&member.node) {
            member.state = NodeState::Leaving;
        }
        self.edit(published, |map| {
            map.members.insert(member.node, member);
        });
        Ok(ApplyOutcome::Done)
    }

    pub(super) fn node_down(
        &mut self,
        published: &mut Published,
        node: NodeId,
        incarnation: Incarnation,
    ) -> Outcome {
        self.edit(published, |map| {
            let member = map.members.get_mut(&node);
            if let Some(member) = member.filter(|member| member.incarnation == incarnation) {
                member.state = NodeState::Down;
            }
        });
        Ok(ApplyOutcome::Done)
    }

    pub(super) fn node_leaving(&mut self, published: &mut Published, node: NodeId) -> Outcome {
        self.set_node_state(published, node, NodeState::Leaving)
    }

    pub(super) fn drain_node(
        &mut self,
        published: &mut Published,
        node: NodeId,
        leaving: bool,
    ) -> Outcome {
        if !published.map().members.contains_key(&node) {
            return Err(unknown_node(node));
        }
        if leaving {
            self.drained_nodes.insert(node);
            self.set_node_state(published, node, NodeState::Leaving)
        } else {
            self.drained_nodes.remove(&node);
            self.set_node_state(published, node, NodeState::Live)
        }
    }

    /// Sets the state of a node unless it is down; a node stays down until its next heartbeat.
    fn set_node_state(
        &mut self,
        published: &mut Published,
        node: NodeId,
        state: NodeState,
    ) -> Outcome {
        if !published.map().members.contains_key(&node) {
            return Err(unknown_node(node));
        }
        self.edit(published, |map| {
            let member = map.members.get_mut(&node);
            if let Some(member) = member.filter(|member| member.state != NodeState::Down) {
                member.state = state;
            }
        });
        Ok(ApplyOutcome::Done)
    }

    /// Removes a node that is down and holds no replicas.
    pub(super) fn node_gone(&mut self, published: &mut Published, node: NodeId) -> Outcome {
        let map = published.map();
        let down = map
            .members
            .get(&node)
            .is_some_and(|member| member.state == NodeState::Down);
        let keeps_replicas = map
            .shards
            .values()
            .any(|placement| placement.replicas.contains(&node));
        if down && !keeps_replicas {
            self.drained_nodes.remove(&node);
            self.edit(published, |map| {
                map.members.remove(&node);
            });
        }
        Ok(ApplyOutcome::Done)
    }

    /// Updates the voters of a shard; reports for another generation are ignored.
    pub(super) fn report_voters(
        &mut self,
        published: &mut Published,
        report: ShardVoters,
    ) -> Outcome {
        self.edit(published, |map| {
            let placement = map.shards.get_mut(&report.shard);
            let current = placement.filter(|placement| placement.generation == report.generation);
            if let Some(placement) = current {
                placement.voters = report.voters;
            }
        });
        Ok(ApplyOutcome::Done)
    }

    pub(super) fn set_engines(
        &mut self,
        published: &mut Published,
        engines: Vec<EngineMember>,
    ) -> Outcome {
        let engines = self.normalize_engines(engines);
        self.edit(published, |map| map.engines.engines = engines);
        Ok(ApplyOutcome::Done)
    }

    /// Normalizes a list of engines: sorted by id, without duplicates, drained engines marked leaving.
    pub(super) fn normalize_engines(&self, mut engines: Vec<EngineMember>) -> Vec<EngineMember> {
        engines.sort_by(|left, right| left.engine.cmp(&right.engine));
        engines.dedup_by(|later, first| later.engine == first.engine);
        for member in &mut engines {
            if self.drained_engines.contains(&member.engine) {
                member.state = EngineState::Leaving;
            }
        }
        engines
    }

    pub(super) fn drain_engine(
        &mut self,
        published: &mut Published,
        engine: EngineId,
        leaving: bool,
    ) -> Outcome {
        let known = published.map().engines.engines.iter();
        if !known.clone().any(|member| member.engine == engine) {
            let message = format!("no engine is called {engine}");
            return Err(CallError::not_run(ErrorCode::NotFound, message));
        }
        let state = if leaving {
            self.drained_engines.insert(engine.clone());
            EngineState::Leaving
        } else {
            self.drained_engines.remove(&engine);
            EngineState::Live
        };
        self.edit(published, |map| {
            let engines = map.engines.engines.iter_mut();
            for member in engines.filter(|member| member.engine == engine) {
                member.state = state;
            }
        });
        Ok(ApplyOutcome::Done)
    }

    fn edit(&mut self, published: &mut Published, change: impl FnOnce(&mut MemberMap)) {
        let old = Arc::clone(published.map());
        let mut map = MemberMap::clone(&old);
        change(&mut map);
        if let Some(options) = self.options {
            map.shards = place_shards(&map, &options.placement);
            bootstrap_shards(&mut map);
        }
        if map == *old {
            return;
        }
        map.epoch = MapEpoch(old.epoch.0 + 1);
        if map.engines != old.engines {
            map.engines.epoch = map.epoch;
        }
        published.set_map(Arc::new(map));
    }
}

fn unknown_node(node: NodeId) -> CallError {
    CallError::not_run(ErrorCode::NotFound, format!("no node has the id {node}"))
}
