//! Hash partitioning of programs. Each partition has its own replica set.
//!
//! Partitions are independent replication groups: views and epochs apply to one partition. A store
//! hosts only the partitions it is a replica of, so capacity grows with the number of stores.

use std::collections::BTreeMap;

use courseshed_types::NodeId;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{Location, MissingTurn, Record, RecordMember, RecordReplica, RecordView};

/// Number of default partitions. Must not change, since it determines the default partition of a
/// program. Ids from here on belong to regional partitions.
pub const PARTITION_COUNT: u8 = 24;

/// View of a partition that has no replicas yet.
static EMPTY_VIEW: RecordView = RecordView {
    epoch: 0,
    members: Vec::new(),
    former: Vec::new(),
    home_region: None,
};

/// Id of a partition.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct PartitionId(pub u8);

impl PartitionId {
    /// The ids of the default partitions.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..PARTITION_COUNT).map(Self)
    }

    /// Whether the partition is regional: created for turns that must stay in one region, and never
    /// the default partition of a program.
    #[must_use]
    pub fn is_regional(self) -> bool {
        self.0 >= PARTITION_COUNT
    }

    /// The partition that a program hashes to.
    #[must_use]
    pub fn of_program(program: &str) -> Self {
        let partition = xxh3_64(program.as_bytes()) % u64::from(PARTITION_COUNT);
        Self(u8::try_from(partition).expect("less than the count, which is a u8"))
    }
}

/// A new view of a partition.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewChange {
    /// The partition.
    pub partition: PartitionId,
    /// The new view.
    pub view: RecordView,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct VersionedView {
    /// Revision of the map at which the view last changed.
    revision: u64,
    view: RecordView,
}

/// The views of all partitions. Each change increments the revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartitionMap {
    revision: u64,
    views: BTreeMap<PartitionId, VersionedView>,
}

impl PartitionMap {
    /// Incremented by each change of a view.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The view of a partition; one without members if none was set.
    #[must_use]
    pub fn view(&self, partition: PartitionId) -> &RecordView {
        let known = self.views.get(&partition);
        known.map_or(&EMPTY_VIEW, |known| &known.view)
    }

    /// The partition of a program without region restrictions. If its default partition is not near,
    /// the preferred default partition of those that are; its own if none is. Rendezvous hashing
    /// limits how many programs move when a view changes.
    #[must_use]
    pub fn home_partition(
        &self,
        program: &str,
        is_near: impl Fn(&RecordView) -> bool,
    ) -> PartitionId {
        let default_partition = PartitionId::of_program(program);
        preferred_among(program, self.default_views(), is_near).unwrap_or(default_partition)
    }

    /// The program's default partition if eligible, else the eligible one that it prefers by
    /// rendezvous hashing. Includes regional partitions.
    #[must_use]
    pub fn preferred_partition(
        &self,
        program: &str,
        is_eligible: impl Fn(&RecordView) -> bool,
    ) -> Option<PartitionId> {
        preferred_among(program, self.views(), is_eligible)
    }

    /// All partitions with their views, the default ones first.
    pub fn views(&self) -> impl Iterator<Item = (PartitionId, &RecordView)> {
        self.default_views().chain(self.regional_views())
    }

    /// The default partitions with their views.
    pub fn default_views(&self) -> impl Iterator<Item = (PartitionId, &RecordView)> {
        PartitionId::all().map(|partition| (partition, self.view(partition)))
    }

    /// The regional partitions with their views.
    pub fn regional_views(&self) -> impl Iterator<Item = (PartitionId, &RecordView)> {
        let regional = self.views.range(PartitionId(PARTITION_COUNT)..);
        regional.map(|(partition, known)| (*partition, &known.view))
    }

    /// Whether every partition has replicas and all of them are active.
    #[must_use]
    pub fn is_fully_active(&self) -> bool {
        self.views().all(|(_, view)| view.is_fully_active())
    }

    /// Whether a node is a replica of any partition.
    #[must_use]
    pub fn has_member(&self, node: NodeId) -> bool {
        self.views().any(|(_, view)| view.member(node).is_some())
    }

    /// Whether this incarnation of a node's disk is a replica of any partition.
    #[must_use]
    pub fn has_replica_on_disk(&self, node: NodeId, incarnation: u64) -> bool {
        let is_same_disk = |member: &RecordMember| member.incarnation == incarnation;
        self.views()
            .any(|(_, view)| view.member(node).is_some_and(is_same_disk))
    }

    /// The number of partitions that each node is a replica of.
    #[must_use]
    pub fn replica_counts_by_node(&self) -> BTreeMap<NodeId, usize> {
        let mut replicas = BTreeMap::new();
        for (_, view) in self.views() {
            for member in &view.members {
                *replicas.entry(member.node).or_default() += 1;
            }
        }
        replicas
    }

    /// Applies a planned view. Returns false if its epoch is not the next one of the partition.
    pub fn advance(&mut self, change: ViewChange) -> bool {
        if change.view.epoch != self.view(change.partition).epoch + 1 {
            return false;
        }
        self.revision += 1;
        self.insert(change);
        true
    }

    /// The views that changed after a revision.
    #[must_use]
    pub fn changes_since(&self, revision: u64) -> Vec<ViewChange> {
        let newer = self
            .views
            .iter()
            .filter(|(_, known)| known.revision > revision);
        newer
            .map(|(partition, known)| ViewChange {
                partition: *partition,
                view: known.view.clone(),
            })
            .collect()
    }

    /// Merges a view received from another node. Returns false if it is not newer.
    pub fn merge(&mut self, change: ViewChange) -> bool {
        if change.view.epoch <= self.view(change.partition).epoch {
            return false;
        }
        self.insert(change);
        true
    }

    fn insert(&mut self, change: ViewChange) {
        let versioned = VersionedView {
            revision: self.revision,
            view: change.view,
        };
        self.views.insert(change.partition, versioned);
    }
}

/// The program's default partition if eligible, else the eligible one that it prefers by rendezvous
/// hashing.
fn preferred_among<'a>(
    program: &str,
    views: impl Iterator<Item = (PartitionId, &'a RecordView)>,
    is_eligible: impl Fn(&RecordView) -> bool,
) -> Option<PartitionId> {
    let default_partition = PartitionId::of_program(program);
    let eligible = views.filter(|(_, view)| is_eligible(view));
    let preference = |partition: &PartitionId| {
        let is_default = *partition == default_partition;
        let rank = xxh3_64_with_seed(program.as_bytes(), u64::from(partition.0));
        (is_default, rank)
    };
    eligible
        .map(|(partition, _)| partition)
        .max_by_key(preference)
}

/// A record with its partition.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartitionRecord {
    /// The partition.
    pub partition: PartitionId,
    /// The record.
    pub record: Record,
}

/// In-memory indexes of all partitions that a store has records of.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PartitionTables {
    replicas: BTreeMap<PartitionId, RecordReplica>,
}

impl PartitionTables {
    /// The index of a partition, if the store has records of it.
    #[must_use]
    pub fn replica(&self, partition: PartitionId) -> Option<&RecordReplica> {
        self.replicas.get(&partition)
    }

    /// The index of a partition, created if missing.
    pub fn replica_mut(&mut self, partition: PartitionId) -> &mut RecordReplica {
        self.replicas.entry(partition).or_default()
    }

    /// The newest epoch that this store has adopted for a partition.
    #[must_use]
    pub fn epoch(&self, partition: PartitionId) -> u64 {
        self.replica(partition).map_or(0, RecordReplica::epoch)
    }

    /// Number of programs and turns in all partitions.
    #[must_use]
    pub fn len(&self) -> usize {
        self.replicas.values().map(RecordReplica::len).sum()
    }

    /// Whether there are no programs and turns.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Indexes a record stored at a location, see [`RecordReplica::apply`].
    pub fn apply(&mut self, at_ms: u64, entry: &PartitionRecord, location: Location) {
        let replica = self.replica_mut(entry.partition);
        replica.apply(at_ms, &entry.record, location);
    }

    /// Number of missing turns whose descendants are stored, in all partitions.
    #[must_use]
    pub fn gaps(&self) -> usize {
        self.replicas.values().map(RecordReplica::gaps).sum()
    }

    /// Starts attempts to fetch missing turns, see [`RecordReplica::start_repairs`].
    pub fn start_repairs(&mut self, now_ms: u64, limit: usize) -> Vec<(PartitionId, MissingTurn)> {
        let mut started = Vec::new();
        for (partition, replica) in &mut self.replicas {
            let missing = replica.start_repairs(now_ms, limit - started.len());
            started.extend(missing.into_iter().map(|missing| (*partition, missing)));
        }
        started
    }

    /// Removes expired programs and turns.
    pub fn expire(&mut self, now_ms: u64) {
        for replica in self.replicas.values_mut() {
            replica.expire(now_ms);
        }
    }

    /// The indexes of all partitions.
    pub fn replicas(&self) -> impl Iterator<Item = (PartitionId, &RecordReplica)> {
        self.replicas
            .iter()
            .map(|(partition, replica)| (*partition, replica))
    }
}
