//! Which replicas this node opens and closes to follow a member map, free of I/O.
//!
//! Invariants, on which the promises of replicas without a disk rest:
//! - a generation is founded at most once by one start of a node, and only by the starts the map names as its voters;
//!   whoever opens a replica of it in any other way starts empty and waits to be admitted;
//! - a replica that may still be needed for a quorum is not closed: only one that its shard's leader has taken out.

use std::collections::BTreeMap;

use courseshed_consensus::{Configuration, ReplicaAddress, ReplicaId};
use courseshed_transport::PeerIdentity;
use courseshed_types::{
    NodeId, RegionName, ShardId,
    control::{MemberMap, NodeState, ShardPlacement, ShardVoter},
};

/// What this start of the node knows of its replica of a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KnownReplica {
    /// The latest generation of which a replica was opened here.
    pub generation: u32,
    /// Whether it is still open.
    pub is_open: bool,
    /// Whether the replica's log says that it is a member.
    pub is_member: bool,
}

/// One step to follow the map.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReplicaChange {
    /// Drop the replica.
    Close(ShardId),
    /// Open a replica.
    Open(NewReplica),
}

/// A replica to open.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NewReplica {
    /// The shard.
    pub shard: ShardId,
    /// The region of its dispatchers.
    pub region: RegionName,
    /// Its generation.
    pub generation: u32,
    /// The members to found it with; empty to wait for its leader.
    pub founders: Configuration,
}

/// A replica that the map wants a shard to have.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WantedReplica {
    /// The node and its present start.
    pub address: ReplicaAddress,
    /// Whether the node takes part; a node that is down or leaving neither joins nor leads.
    pub is_live: bool,
}

/// What the map wants of a shard, for its leader.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReplicaTarget {
    /// The generation it speaks of.
    pub generation: u32,
    /// The replicas wanted; the first live one is preferred as leader.
    pub replicas: Vec<WantedReplica>,
    /// The voters the controllers know, by node.
    pub reported: Vec<ShardVoter>,
}

impl ReplicaTarget {
    /// What the map wants of one shard.
    pub fn new(placement: &ShardPlacement, map: &MemberMap) -> ReplicaTarget {
        let members = placement
            .replicas
            .iter()
            .filter_map(|node| map.members.get(node));
        let replicas = members.map(|member| WantedReplica {
            address: replica_address(member.node, member.incarnation.0),
            is_live: member.state == NodeState::Live,
        });
        let mut reported = placement.voters.clone();
        reported.sort_unstable();
        ReplicaTarget {
            generation: placement.generation,
            replicas: replicas.collect(),
            reported,
        }
    }

    /// The ids of the wanted replicas, in order of preference.
    pub fn ids(&self) -> Vec<ReplicaId> {
        let ids = self.replicas.iter().map(|wanted| wanted.address.replica);
        ids.collect()
    }

    /// A wanted replica.
    pub fn wanted(&self, replica: ReplicaId) -> Option<&WantedReplica> {
        let mut replicas = self.replicas.iter();
        replicas.find(|wanted| wanted.address.replica == replica)
    }
}

/// The steps by which the node's replicas follow the map.
pub fn plan_replicas(
    map: &MemberMap,
    own: PeerIdentity,
    known: &BTreeMap<ShardId, KnownReplica>,
) -> Vec<ReplicaChange> {
    let mut changes = Vec::new();
    for placement in map.shards.values() {
        let known = known.get(&placement.shard).copied();
        plan_shard(placement, own, known, &mut changes);
    }
    changes
}

fn plan_shard(
    placement: &ShardPlacement,
    own: PeerIdentity,
    known: Option<KnownReplica>,
    changes: &mut Vec<ReplicaChange>,
) {
    let votes = placement.voters.iter().any(|voter| is_own(*voter, own));
    let is_wanted = votes || placement.replicas.contains(&own.node);
    let latest = known.map_or(0, |known| known.generation);
    if latest > placement.generation || placement.generation == 0 {
        return;
    }
    let is_new_generation = latest < placement.generation;
    let is_open = known.is_some_and(|known| known.is_open);
    let is_member = known.is_some_and(|known| known.is_member);
    let is_released = !is_wanted && (!is_member || has_arrived(placement));
    if is_open && (is_new_generation || is_released) {
        changes.push(ReplicaChange::Close(placement.shard));
    }
    if is_wanted && (is_new_generation || !is_open) {
        let founders = match is_new_generation && votes {
            true => founders(placement),
            false => Configuration::default(),
        };
        changes.push(ReplicaChange::Open(NewReplica {
            shard: placement.shard,
            region: placement.region.clone(),
            generation: placement.generation,
            founders,
        }));
    }
}

fn is_own(voter: ShardVoter, own: PeerIdentity) -> bool {
    voter.node == own.node && voter.incarnation == own.incarnation
}

/// Whether the voters reported are exactly the replicas wanted, so that everyone else was taken out.
fn has_arrived(placement: &ShardPlacement) -> bool {
    let voters = placement.voters.iter().map(|voter| voter.node);
    let mut voters: Vec<NodeId> = voters.collect();
    let mut replicas = placement.replicas.clone();
    voters.sort_unstable();
    replicas.sort_unstable();
    voters == replicas
}

fn founders(placement: &ShardPlacement) -> Configuration {
    let voters = placement.voters.iter();
    Configuration::of_voters(voters.map(|voter| replica_address(voter.node, voter.incarnation.0)))
}

/// The address of a node's replicas.
pub fn replica_address(node: NodeId, incarnation: u64) -> ReplicaAddress {
    ReplicaAddress::new(ReplicaId(u64::from(node.0)), incarnation)
}
