//! Assigns shard replicas to nodes.
//!
//! Placement starts from the assignment in the member map and moves as few replicas as possible:
//!
//! 1. Replicas on live nodes stay. A replica on a node that is down, leaving or gone is replaced if another node is
//!    available. Otherwise, while its node is in the member map, it stays: a smaller replica set would tolerate fewer
//!    failures.
//! 2. Vacancies are filled from zones without a replica of the shard, least loaded node first, with the rendezvous
//!    score as tie-breaker. Load ranks before the score so that balancing moves fewer replicas afterwards.
//! 3. Replicas move from the most to the least loaded node while that reduces an imbalance of two or more and no
//!    shard loses a zone.
//! 4. Preferred leaders (first replicas) are balanced in the same way, by reordering replicas.
//!
//! The result depends only on the map and the options, so every controller computes the same placement.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use courseshed_types::{
    NodeId, RegionName, ShardId, ZoneName,
    control::{MemberMap, NodeRole, ShardPlacement},
};
use serde::{Deserialize, Serialize};

use crate::rendezvous;

/// Smallest load difference between two nodes for which a replica or leader is moved.
const MIN_IMBALANCE: usize = 2;

/// Parameters of shard placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementOptions {
    /// Shards per region. Can be increased but not reduced, because program ids contain the shard.
    pub shards_per_region: u32,
    /// Replicas per shard.
    pub replicas: u32,
    /// Live shard nodes that a region needs before its shards are created.
    pub first_nodes: u32,
}

impl Default for PlacementOptions {
    fn default() -> PlacementOptions {
        PlacementOptions {
            shards_per_region: 16,
            replicas: 3,
            first_nodes: 1,
        }
    }
}

/// Returns the placement of all shards, including new ones.
pub fn place_shards(
    map: &MemberMap,
    options: &PlacementOptions,
) -> BTreeMap<ShardId, ShardPlacement> {
    let mut shards = add_missing_shards(map, options);
    let regions: BTreeSet<RegionName> = shards
        .values()
        .map(|placement| placement.region.clone())
        .collect();
    for region in regions {
        let mut table = RegionTable::new(map, &region, options.replicas as usize, &shards);
        table.fill_vacancies();
        table.separate_zones();
        table.balance_replicas();
        table.balance_leaders();
        table.write_back(&mut shards);
    }
    shards
}

fn add_missing_shards(
    map: &MemberMap,
    options: &PlacementOptions,
) -> BTreeMap<ShardId, ShardPlacement> {
    let mut shards = map.shards.clone();
    let mut live: BTreeMap<&RegionName, u32> = BTreeMap::new();
    for member in map.members.values() {
        if member.serves(NodeRole::Shard) {
            *live.entry(&member.region).or_default() += 1;
        }
    }
    for (region, nodes) in live {
        let kept = shards
            .values()
            .filter(|placement| &placement.region == region);
        let existing = kept.count() as u32;
        if existing == 0 && nodes < options.first_nodes {
            continue;
        }
        for _ in existing..options.shards_per_region {
            let next = shards.keys().next_back().map_or(0, |last| last.0 + 1);
            let placement = ShardPlacement {
                shard: ShardId(next),
                region: region.clone(),
                replicas: Vec::new(),
                generation: 0,
                voters: Vec::new(),
            };
            shards.insert(ShardId(next), placement);
        }
    }
    shards
}

/// Working state of placement: the shards and live nodes of one region.
struct RegionTable<'a> {
    map: &'a MemberMap,
    replication_factor: usize,
    zones: BTreeMap<NodeId, &'a ZoneName>,
    loads: BTreeMap<NodeId, usize>,
    shards: BTreeMap<ShardId, Vec<NodeId>>,
}

impl<'a> RegionTable<'a> {
    fn new(
        map: &'a MemberMap,
        region: &RegionName,
        replication_factor: usize,
        shards: &BTreeMap<ShardId, ShardPlacement>,
    ) -> RegionTable<'a> {
        let zones: BTreeMap<NodeId, &ZoneName> = map
            .members
            .values()
            .filter(|member| &member.region == region && member.serves(NodeRole::Shard))
            .map(|member| (member.node, &member.zone))
            .collect();
        let shards: BTreeMap<ShardId, Vec<NodeId>> = shards
            .values()
            .filter(|placement| &placement.region == region)
            .map(|placement| (placement.shard, placement.replicas.clone()))
            .collect();
        let mut table = RegionTable {
            map,
            replication_factor,
            loads: zones.keys().map(|node| (*node, 0)).collect(),
            zones,
            shards,
        };
        table.count_loads();
        table
    }

    fn count_loads(&mut self) {
        for node in self.shards.values().flatten() {
            if let Some(load) = self.loads.get_mut(node) {
                *load += 1;
            }
        }
    }

    fn fill_vacancies(&mut self) {
        let ids: Vec<ShardId> = self.shards.keys().copied().collect();
        for shard in ids {
            let old = self.shards[&shard].clone();
            let mut kept: Vec<NodeId> = old
                .iter()
                .copied()
                .filter(|node| self.zones.contains_key(node))
                .collect();
            while kept.len() < self.replication_factor {
                let Some(node) = self.best_candidate(shard, &kept) else {
                    break;
                };
                kept.push(node);
                *self.loads.entry(node).or_default() += 1;
            }
            self.retain_unreplaced(&old, &mut kept);
            self.shards.insert(shard, kept);
        }
    }

    /// Keeps replicas on nodes that are down or leaving if no live node can replace them.
    fn retain_unreplaced(&self, old: &[NodeId], kept: &mut Vec<NodeId>) {
        for node in old {
            if kept.len() < self.replication_factor
                && !kept.contains(node)
                && self.map.members.contains_key(node)
            {
                kept.push(*node);
            }
        }
    }

    fn best_candidate(&self, shard: ShardId, kept: &[NodeId]) -> Option<NodeId> {
        let key = format!("shard-{shard}");
        let free = self.zones.keys().copied().filter(|n| !kept.contains(n));
        free.min_by_key(|node| {
            let zone_in_use = self.zone_in_use(self.zones[node], kept);
            let score = rendezvous::score(&key, *node);
            (zone_in_use, self.loads[node], Reverse(score))
        })
    }

    fn zone_in_use(&self, zone: &ZoneName, replicas: &[NodeId]) -> bool {
        replicas
            .iter()
            .any(|node| self.zones.get(node).is_some_and(|taken| *taken == zone))
    }

    /// Moves replicas that share a zone to zones without a replica of the shard.
    fn separate_zones(&mut self) {
        let ids: Vec<ShardId> = self.shards.keys().copied().collect();
        for shard in ids {
            while let Some(redundant) = self.replica_in_shared_zone(shard) {
                let others: Vec<NodeId> = self.replicas_except(shard, redundant);
                let Some(node) = self.best_candidate(shard, &others) else {
                    break;
                };
                if self.zone_in_use(self.zones[&node], &others) {
                    break;
                }
                self.replace(shard, redundant, node);
            }
        }
    }

    fn replica_in_shared_zone(&self, shard: ShardId) -> Option<NodeId> {
        let replicas = &self.shards[&shard];
        replicas.iter().rev().copied().find(|node| {
            let zone = self.zones.get(node);
            zone.is_some_and(|zone| self.zone_in_use(zone, &self.replicas_except(shard, *node)))
        })
    }

    fn replicas_except(&self, shard: ShardId, node: NodeId) -> Vec<NodeId> {
        let replicas = self.shards[&shard].iter().copied();
        replicas.filter(|other| *other != node).collect()
    }

    fn replace(&mut self, shard: ShardId, from: NodeId, to: NodeId) {
        let replicas = self.shards.get_mut(&shard).into_iter().flatten();
        for slot in replicas.filter(|slot| **slot == from) {
            *slot = to;
        }
        if let Some(load) = self.loads.get_mut(&from) {
            *load -= 1;
        }
        *self.loads.entry(to).or_default() += 1;
    }

    fn balance_replicas(&mut self) {
        while let Some((shard, from, to)) = self.balancing_move() {
            self.replace(shard, from, to);
        }
    }

    fn balancing_move(&self) -> Option<(ShardId, NodeId, NodeId)> {
        let mut by_load: Vec<(usize, NodeId)> = self
            .loads
            .iter()
            .map(|(node, load)| (*load, *node))
            .collect();
        by_load.sort();
        for (high, from) in by_load.iter().rev() {
            for (low, to) in &by_load {
                if low + MIN_IMBALANCE > *high {
                    break;
                }
                if let Some(shard) = self.movable_shard(*from, *to) {
                    return Some((shard, *from, *to));
                }
            }
        }
        None
    }

    /// Returns the shard with the highest score for `to` whose replica can move without losing a zone.
    fn movable_shard(&self, from: NodeId, to: NodeId) -> Option<ShardId> {
        let is_movable = |shard: &ShardId| {
            let others = self.replicas_except(*shard, from);
            let held = self.shards[shard].contains(&from) && !others.contains(&to);
            held && (!self.zone_in_use(self.zones[&to], &others)
                || self.zone_in_use(self.zones[&from], &others))
        };
        self.shards
            .keys()
            .copied()
            .filter(is_movable)
            .max_by_key(|shard| rendezvous::score(&format!("shard-{shard}"), to))
    }

    fn balance_leaders(&mut self) {
        let mut leaders: BTreeMap<NodeId, usize> =
            self.loads.keys().map(|node| (*node, 0)).collect();
        for replicas in self.shards.values_mut() {
            move_live_first(replicas, &self.zones);
            if let Some(count) = replicas.first().and_then(|node| leaders.get_mut(node)) {
                *count += 1;
            }
        }
        while let Some((shard, position)) = self.leader_swap(&leaders) {
            let Some(replicas) = self.shards.get_mut(&shard) else {
                return;
            };
            replicas.swap(0, position);
            *leaders.entry(replicas[position]).or_default() -= 1;
            *leaders.entry(replicas[0]).or_default() += 1;
        }
    }

    fn leader_swap(&self, leaders: &BTreeMap<NodeId, usize>) -> Option<(ShardId, usize)> {
        for (shard, replicas) in &self.shards {
            let Some(high) = replicas.first().and_then(|node| leaders.get(node)) else {
                continue;
            };
            let position = replicas.iter().position(|node| {
                let count = leaders.get(node);
                count.is_some_and(|low| low + MIN_IMBALANCE <= *high)
            });
            if let Some(position) = position {
                return Some((*shard, position));
            }
        }
        None
    }

    fn write_back(self, shards: &mut BTreeMap<ShardId, ShardPlacement>) {
        for (shard, replicas) in self.shards {
            if let Some(placement) = shards.get_mut(&shard) {
                placement.replicas = replicas;
            }
        }
    }
}

fn move_live_first(replicas: &mut [NodeId], live: &BTreeMap<NodeId, &ZoneName>) {
    if let Some(position) = replicas.iter().position(|node| live.contains_key(node)) {
        replicas.swap(0, position);
    }
}

#[cfg(test)]
#[path = "placement_tests.rs"]
pub(crate) mod tests;
