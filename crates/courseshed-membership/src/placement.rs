//! Which nodes keep which shard.
//!
//! Placement is sticky: it starts from the placement in the member map and changes as little as it can. In order:
//!
//! 1. A replica on a live node stays. A replica on a node that is down, leaving or gone is replaced where another
//!    node can take it, and otherwise stays, because a smaller set would need every one of its members for a quorum.
//! 2. Vacancies go to nodes in zones that hold no replica of the shard yet, to the emptiest first, and among equals
//!    by rendezvous score. (Rendezvous score first, under a bound on load, was tried: levelling afterwards moved
//!    more replicas than the lost node had held.)
//! 3. Replicas move from the fullest to the emptiest node as long as that narrows a gap of two or more and leaves
//!    no shard with fewer zones.
//! 4. The preferred leader, the first replica, is spread the same way, by swapping the order only.
//!
//! The result depends on the map and the options alone, so every controller computes the same.

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

/// A gap between the fullest and the emptiest node that is worth moving a replica for.
const GAP_WORTH_MOVING: usize = 2;

/// How shards are placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementOptions {
    /// Shards of each region. May grow later, never shrink: a program's id names its shard.
    pub shards_per_region: u32,
    /// Replicas of each shard.
    pub replicas: u32,
    /// Shards of a region are made once it has this many live shard nodes.
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

/// The placement of every shard, new ones included.
pub fn place_shards(
    map: &MemberMap,
    options: &PlacementOptions,
) -> BTreeMap<ShardId, ShardPlacement> {
    let mut shards = with_new_shards(map, options);
    let regions: BTreeSet<RegionName> = shards
        .values()
        .map(|placement| placement.region.clone())
        .collect();
    for region in regions {
        let mut table = RegionTable::new(map, &region, options.replicas as usize, &shards);
        table.fill_vacancies();
        table.repair_zones();
        table.level_replicas();
        table.level_leaders();
        table.write_back(&mut shards);
    }
    shards
}

fn with_new_shards(
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
        let have = kept.count() as u32;
        if have == 0 && nodes < options.first_nodes {
            continue;
        }
        for _ in have..options.shards_per_region {
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

/// The shards and live nodes of one region while placement works on them.
struct RegionTable<'a> {
    map: &'a MemberMap,
    wanted: usize,
    zones: BTreeMap<NodeId, &'a ZoneName>,
    loads: BTreeMap<NodeId, usize>,
    shards: BTreeMap<ShardId, Vec<NodeId>>,
}

impl<'a> RegionTable<'a> {
    fn new(
        map: &'a MemberMap,
        region: &RegionName,
        wanted: usize,
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
            wanted,
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
            while kept.len() < self.wanted {
                let Some(node) = self.candidate(shard, &kept) else {
                    break;
                };
                kept.push(node);
                *self.loads.entry(node).or_default() += 1;
            }
            self.keep_unreplaced(&old, &mut kept);
            self.shards.insert(shard, kept);
        }
    }

    /// Where no live node can take a replica, the one that is down or leaving keeps its place.
    fn keep_unreplaced(&self, old: &[NodeId], kept: &mut Vec<NodeId>) {
        for node in old {
            if kept.len() < self.wanted
                && !kept.contains(node)
                && self.map.members.contains_key(node)
            {
                kept.push(*node);
            }
        }
    }

    fn candidate(&self, shard: ShardId, kept: &[NodeId]) -> Option<NodeId> {
        let key = format!("shard-{shard}");
        let free = self.zones.keys().copied().filter(|n| !kept.contains(n));
        free.min_by_key(|node| {
            let zone_taken = self.zone_taken(self.zones[node], kept);
            let score = rendezvous::score(&key, *node);
            (zone_taken, self.loads[node], Reverse(score))
        })
    }

    fn zone_taken(&self, zone: &ZoneName, replicas: &[NodeId]) -> bool {
        replicas
            .iter()
            .any(|node| self.zones.get(node).is_some_and(|taken| *taken == zone))
    }

    /// Moves replicas that share a zone into a zone the shard does not use yet.
    fn repair_zones(&mut self) {
        let ids: Vec<ShardId> = self.shards.keys().copied().collect();
        for shard in ids {
            while let Some(doubled) = self.doubled_replica(shard) {
                let others: Vec<NodeId> = self.without(shard, doubled);
                let Some(node) = self.candidate(shard, &others) else {
                    break;
                };
                if self.zone_taken(self.zones[&node], &others) {
                    break;
                }
                self.replace(shard, doubled, node);
            }
        }
    }

    fn doubled_replica(&self, shard: ShardId) -> Option<NodeId> {
        let replicas = &self.shards[&shard];
        replicas.iter().rev().copied().find(|node| {
            let zone = self.zones.get(node);
            zone.is_some_and(|zone| self.zone_taken(zone, &self.without(shard, *node)))
        })
    }

    fn without(&self, shard: ShardId, node: NodeId) -> Vec<NodeId> {
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

    fn level_replicas(&mut self) {
        while let Some((shard, from, to)) = self.levelling_move() {
            self.replace(shard, from, to);
        }
    }

    fn levelling_move(&self) -> Option<(ShardId, NodeId, NodeId)> {
        let mut by_load: Vec<(usize, NodeId)> = self
            .loads
            .iter()
            .map(|(node, load)| (*load, *node))
            .collect();
        by_load.sort();
        for (high, from) in by_load.iter().rev() {
            for (low, to) in &by_load {
                if low + GAP_WORTH_MOVING > *high {
                    break;
                }
                if let Some(shard) = self.movable_shard(*from, *to) {
                    return Some((shard, *from, *to));
                }
            }
        }
        None
    }

    /// The shard, best scored for `to`, whose replica may move without losing a zone.
    fn movable_shard(&self, from: NodeId, to: NodeId) -> Option<ShardId> {
        let fits = |shard: &ShardId| {
            let others = self.without(*shard, from);
            let held = self.shards[shard].contains(&from) && !others.contains(&to);
            held && (!self.zone_taken(self.zones[&to], &others)
                || self.zone_taken(self.zones[&from], &others))
        };
        self.shards
            .keys()
            .copied()
            .filter(fits)
            .max_by_key(|shard| rendezvous::score(&format!("shard-{shard}"), to))
    }

    fn level_leaders(&mut self) {
        let mut leaders: BTreeMap<NodeId, usize> =
            self.loads.keys().map(|node| (*node, 0)).collect();
        for replicas in self.shards.values_mut() {
            move_live_first(replicas, &self.zones);
            if let Some(count) = replicas.first().and_then(|node| leaders.get_mut(node)) {
                *count += 1;
            }
        }
        while let Some((shard, place)) = self.leader_swap(&leaders) {
            let Some(replicas) = self.shards.get_mut(&shard) else {
                return;
            };
            replicas.swap(0, place);
            *leaders.entry(replicas[place]).or_default() -= 1;
            *leaders.entry(replicas[0]).or_default() += 1;
        }
    }

    fn leader_swap(&self, leaders: &BTreeMap<NodeId, usize>) -> Option<(ShardId, usize)> {
        for (shard, replicas) in &self.shards {
            let Some(high) = replicas.first().and_then(|node| leaders.get(node)) else {
                continue;
            };
            let place = replicas.iter().position(|node| {
                let count = leaders.get(node);
                count.is_some_and(|low| low + GAP_WORTH_MOVING <= *high)
            });
            if let Some(place) = place {
                return Some((*shard, place));
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
    if let Some(place) = replicas.iter().position(|node| live.contains_key(node)) {
        replicas.swap(0, place);
    }
}

#[cfg(test)]
#[path = "placement_tests.rs"]
pub(crate) mod tests;
